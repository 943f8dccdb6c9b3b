"""HTTP responses to callers: answers, refusals and errors."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec
from quart import Response
from returns.result import Result, Success

from rhubarbfield.callers.parsing import BadRequest, FieldName, make_size_error
from rhubarbfield.httpserver import HttpRefusal, HttpResponse
from rhubarbfield.httpserver import RefusalReason as UnreadReason
from rhubarbfield.routing.requests import BackendAnswer, Refusal, RefusalReason
from rhubarbfield.types import Outcome, RequestId

OUTCOME_HEADER = "Rhubarbfield-Outcome"
REQUEST_ID_HEADER = "Rhubarbfield-Request-Id"
REPEATED_HEADER = "Rhubarbfield-Repeated"
STATUSES_WITHOUT_CONTENT = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
JSON_TYPE = "application/json"

_STATUS_BY_REASON = {
    RefusalReason.NO_SUCH_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalReason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.ANSWER_INVALID: HTTPStatus.BAD_GATEWAY,
    RefusalReason.KEY_RUNNING: HTTPStatus.CONFLICT,
    RefusalReason.ANSWER_NOT_KEPT: HTTPStatus.CONFLICT,
    RefusalReason.KEY_CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
}


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The JSON document of a refusal.

    Attributes
    ----------
    reason
        Stable, machine-readable reason.
    sentence
        Human-readable explanation.
    field
        The header or part of the request that is invalid, or None.
    retry_after_seconds
        After how many seconds the caller should retry, or None.
    """

    outcome: Outcome
    reason: str
    sentence: str
    request_id: RequestId
    field: str | None = None
    retry_after_seconds: int | None = None


def make_response(
    result: Result[BackendAnswer, Refusal], request_id: RequestId
) -> Response:
    """Return the HTTP response to a routed request."""
    if isinstance(result, Success):
        return _make_answer_response(result.unwrap(), request_id)
    return _make_refusal_response(result.failure(), request_id)


def make_bad_request_response(
    bad_request: BadRequest, request_id: RequestId, *, content_read: bool = True
) -> Response:
    """Return the HTTP response to an invalid request.

    Unless the content was read, the connection is closed: the unread rest of
    the content would be parsed as the next request.
    """
    body = _make_bad_request_body(bad_request, request_id)
    response = _make_json_response(body, bad_request.status)
    if not content_read:
        response.headers["Connection"] = "close"
    return response


def _make_bad_request_body(
    bad_request: BadRequest, request_id: RequestId
) -> RefusalBody:
    return RefusalBody(
        outcome=Outcome.NOT_RUN,
        reason="bad-request",
        sentence=f"The request was not run: {bad_request.sentence}.",
        request_id=request_id,
        field=bad_request.field,
    )


def make_unread_response(
    refusal: HttpRefusal, request_id: RequestId, *, body_limit: int
) -> HttpResponse:
    """Return the HTTP response to a request that was refused before it was whole.

    Parameters
    ----------
    refusal
        Why it was refused.
    request_id
        Id of the response.
    body_limit
        Largest content, in bytes.
    """
    if refusal.reason is UnreadReason.OVERLOAD:
        body = _make_overload_body(refusal, request_id)
        status = HTTPStatus.SERVICE_UNAVAILABLE
    else:
        bad_request = _describe_unread(refusal, body_limit)
        body = _make_bad_request_body(bad_request, request_id)
        status = bad_request.status
    headers = {OUTCOME_HEADER: body.outcome.value, REQUEST_ID_HEADER: request_id}
    if body.retry_after_seconds is not None:
        headers["Retry-After"] = str(body.retry_after_seconds)
    return HttpResponse(status, msgspec.json.encode(body), JSON_TYPE, headers)


def _make_overload_body(refusal: HttpRefusal, request_id: RequestId) -> RefusalBody:
    retry_after = refusal.retry_after
    return RefusalBody(
        outcome=Outcome.NOT_RUN,
        reason=RefusalReason.NO_ROOM,
        sentence="The request was not run: this entry holds too many unfinished "
        "requests.",
        request_id=request_id,
        retry_after_seconds=(
            None if retry_after is None else math.ceil(retry_after.total_seconds())
        ),
    )


def _describe_unread(refusal: HttpRefusal, body_limit: int) -> BadRequest:
    match refusal.reason:
        case UnreadReason.TOO_LARGE:
            return make_size_error(body_limit)
        case UnreadReason.TOO_SLOW:
            field, sentence = "content", "the content took too long to arrive"
        case _:
            field, sentence = "request", "it is no valid HTTP/1.1 request"
    return BadRequest(field=FieldName(field), sentence=sentence, status=refusal.status)


def make_internal_error_response(request_id: RequestId) -> Response:
    """Return the HTTP response to a request that failed by an error in the entry."""
    body = RefusalBody(
        outcome=Outcome.UNKNOWN,
        reason="internal-failure",
        sentence="The request may have run: the entry failed; its log says how.",
        request_id=request_id,
    )
    return _make_json_response(body, HTTPStatus.INTERNAL_SERVER_ERROR)


def _make_answer_response(answer: BackendAnswer, request_id: RequestId) -> Response:
    response = Response(answer.body, status=answer.status)
    response.headers.clear()
    for header in answer.headers:
        response.headers.add(header.name, header.value)
    if answer.status not in STATUSES_WITHOUT_CONTENT:
        response.headers.setdefault("Content-Length", str(len(answer.body)))
    if answer.repeated:
        response.headers[REPEATED_HEADER] = "true"
    return _add_outcome_headers(response, Outcome.ANSWERED, request_id)


def _make_refusal_response(refusal: Refusal, request_id: RequestId) -> Response:
    seconds = None
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
    body = RefusalBody(
        outcome=refusal.outcome,
        reason=refusal.reason,
        sentence=refusal.sentence,
        request_id=request_id,
        retry_after_seconds=seconds,
    )
    return _make_json_response(body, _choose_status(refusal))


def _choose_status(refusal: Refusal) -> HTTPStatus:
    status = _STATUS_BY_REASON.get(refusal.reason)
    if status is not None:
        return status
    if refusal.outcome is Outcome.UNKNOWN:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE


def _make_json_response(body: RefusalBody, status: HTTPStatus) -> Response:
    response = Response(
        msgspec.json.encode(body), status=status, content_type=JSON_TYPE
    )
    if body.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(body.retry_after_seconds)
    return _add_outcome_headers(response, body.outcome, body.request_id)


def _add_outcome_headers(
    response: Response, outcome: Outcome, request_id: RequestId
) -> Response:
    response.headers[OUTCOME_HEADER] = outcome
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
