"""Conversion of results to HTTP responses."""

from __future__ import annotations

from typing import Any

import msgspec
from quart import Response
from returns.result import Failure, Result

from rhubarbfield.httpserver import (
    JSON_TYPE,
    HttpRefusal,
    HttpResponse,
    RefusalReason,
)
from rhubarbfield.operators.failures import FailureKind, OperatorFailure
from rhubarbfield.operators.messages import MAX_BODY_BYTES, FailureAnswer

RETRY_AFTER_SECONDS = 1
TOO_LARGE_MESSAGE = f"a request has at most {MAX_BODY_BYTES} bytes"
_STATUS_BY_KIND = {
    FailureKind.UNAUTHORIZED: 401,
    FailureKind.MALFORMED: 400,
    FailureKind.TOO_LARGE: 413,
    FailureKind.SYNTAX: 400,
    FailureKind.INVALID: 422,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CLASH: 409,
    FailureKind.NUMBER_REFUSED: 409,
    FailureKind.NOT_LEADER: 503,
    FailureKind.NO_QUORUM: 503,
    FailureKind.UNKNOWN_OUTCOME: 504,
    FailureKind.BUSY: 503,
    FailureKind.UNREACHABLE: 502,
    FailureKind.INTERNAL: 500,
}
_STATUS_OK = 200
STATUS_UNAVAILABLE = 503
STATUS_NOT_FOUND = 404


Answer = Result[Any, OperatorFailure]


def fail(kind: FailureKind, message: str) -> Answer:
    """Return an :class:`OperatorFailure` as a failed result.

    Parameters
    ----------
    kind
        Why the request failed.
    message
        Text for the operator.
    """
    return Failure(OperatorFailure(kind=kind, message=message))


def make_response(outcome: Answer) -> Response:
    """Return the HTTP response for a result.

    Parameters
    ----------
    outcome
        A struct to send, or a failure, whose kind determines the status.
    """
    match outcome:
        case Failure(OperatorFailure() as failure):
            return _answer_failure(failure)
    return encode(outcome.unwrap())


def make_unread_response(refusal: HttpRefusal) -> HttpResponse:
    """Return the HTTP response to a request that was refused before it was whole."""
    match refusal.reason:
        case RefusalReason.TOO_LARGE:
            kind, message = FailureKind.TOO_LARGE, TOO_LARGE_MESSAGE
        case RefusalReason.OVERLOAD:
            kind = FailureKind.BUSY
            message = "the controller holds too many unfinished requests"
        case RefusalReason.TOO_SLOW:
            kind, message = FailureKind.MALFORMED, "the body took too long to arrive"
        case _:
            kind, message = FailureKind.MALFORMED, "this is no valid HTTP/1.1 request"
    failure = OperatorFailure(kind=kind, message=message)
    status = _STATUS_BY_KIND[kind]
    headers = (
        {"Retry-After": str(RETRY_AFTER_SECONDS)}
        if status == STATUS_UNAVAILABLE
        else {}
    )
    content = msgspec.json.encode(FailureAnswer(failure=failure))
    return HttpResponse(status, content, JSON_TYPE, headers)


def _answer_failure(failure: OperatorFailure) -> Response:
    status = _STATUS_BY_KIND[failure.kind]
    response = encode(FailureAnswer(failure=failure), status)
    if status == STATUS_UNAVAILABLE:
        response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    return response


def encode(value: msgspec.Struct, status: int = _STATUS_OK) -> Response:
    """Return a response with ``value`` as JSON."""
    return Response(msgspec.json.encode(value), status, mimetype="application/json")
