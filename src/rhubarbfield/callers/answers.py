"""What a caller gets: answers, refusals, and complaints about requests."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec
from quart import Response
from returns.result import Result, Success

from rhubarbfield.callers.parsing import BadRequest
from rhubarbfield.routing.requests import BackendAnswer, Refusal, RefusalReason
from rhubarbfield.types import Outcome, RequestId

OUTCOME_HEADER = "Rhubarbfield-Outcome"
REQUEST_ID_HEADER = "Rhubarbfield-Request-Id"
REPEATED_HEADER = "Rhubarbfield-Repeated"
SERVER_SET_HEADER = "date"
WITHOUT_CONTENT = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
JSON_TYPE = "application/json"

_STATUSES = {
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
        A stable word for programs.
    sentence
        The explanation for a person.
    field
        The header or part of the request that is wrong, if one is.
    retry_after_seconds
        When another attempt is worth it.
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
        return _make_answer(result.unwrap(), request_id)
    return _make_refusal(result.failure(), request_id)


def make_complaint(
    bad: BadRequest, request_id: RequestId, *, content_read: bool = True
) -> Response:
    """Return the HTTP response to a request that says something wrong.

    Unless its content was read, the connection is closed: what is left of the
    content would be taken for the next request.
    """
    body = RefusalBody(
        outcome=Outcome.NOT_RUN,
        reason="bad-request",
        sentence=f"The request was not run: {bad.sentence}.",
        request_id=request_id,
        field=bad.field,
    )
    response = _make_json(body, bad.status)
    if not content_read:
        response.headers["Connection"] = "close"
    return response


def make_internal_failure(request_id: RequestId) -> Response:
    """Return the HTTP response to a request that met a fault of the entry."""
    body = RefusalBody(
        outcome=Outcome.UNKNOWN,
        reason="internal-failure",
        sentence="The request may have run: the entry failed; its log says how.",
        request_id=request_id,
    )
    return _make_json(body, HTTPStatus.INTERNAL_SERVER_ERROR)


def _make_answer(answer: BackendAnswer, request_id: RequestId) -> Response:
    response = Response(answer.body, status=answer.status)
    response.headers.clear()
    for header in answer.headers:
        if header.name.lower() != SERVER_SET_HEADER:
            response.headers.add(header.name, header.value)
    if answer.status not in WITHOUT_CONTENT:
        response.headers.setdefault("Content-Length", str(len(answer.body)))
    if answer.repeated:
        response.headers[REPEATED_HEADER] = "true"
    return _mark(response, Outcome.ANSWERED, request_id)


def _make_refusal(refusal: Refusal, request_id: RequestId) -> Response:
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
    return _make_json(body, _choose_status(refusal))


def _choose_status(refusal: Refusal) -> HTTPStatus:
    status = _STATUSES.get(refusal.reason)
    if status is not None:
        return status
    if refusal.outcome is Outcome.UNKNOWN:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE


def _make_json(body: RefusalBody, status: HTTPStatus) -> Response:
    response = Response(
        msgspec.json.encode(body), status=status, content_type=JSON_TYPE
    )
    if body.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(body.retry_after_seconds)
    return _mark(response, body.outcome, body.request_id)


def _mark(response: Response, outcome: Outcome, request_id: RequestId) -> Response:
    response.headers[OUTCOME_HEADER] = outcome
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
