"""Checks that an answer is complete and belongs to the request."""

from __future__ import annotations

import httpx

from rhubarbfield.routing.ports import BackendTarget, FailureReason
from rhubarbfield.routing.requests import CallerRequest

FIRST_FINAL_STATUS = 200
BODYLESS_STATUSES = frozenset({204, 304})


class InvalidAnswerError(Exception):
    """Raised for an answer that must not be passed on to the caller.

    Parameters
    ----------
    reason
        What is wrong with the answer.
    """

    def __init__(self, reason: FailureReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def check_answer(
    target: BackendTarget, request: CallerRequest, response: httpx.Response
) -> None:
    """Check the status and headers of an answer.

    Raises
    ------
    InvalidAnswerError
        If it answers another request, or its length is not known.
    """
    echoed = response.headers.get("Rhubarbfield-Request-Id")
    if echoed is not None and echoed != request.request_id:
        raise InvalidAnswerError(FailureReason.MISMATCHED)
    if response.status_code < FIRST_FINAL_STATUS:
        raise InvalidAnswerError(FailureReason.MISMATCHED)
    if not target.answers_until_close and not _has_length(request, response):
        raise InvalidAnswerError(FailureReason.UNBOUNDED)


async def read_body(response: httpx.Response, limit: int) -> bytes:
    """Return the complete body of an answer.

    Raises
    ------
    InvalidAnswerError
        If the body is larger than ``limit`` bytes.
    """
    content_length = response.headers.get("content-length", "0")
    if content_length.isdecimal() and int(content_length) > limit:
        raise InvalidAnswerError(FailureReason.TOO_LARGE)
    content = bytearray()
    async for chunk in response.aiter_raw():
        content += chunk
        if len(content) > limit:
            raise InvalidAnswerError(FailureReason.TOO_LARGE)
    return bytes(content)


def _has_length(request: CallerRequest, response: httpx.Response) -> bool:
    if request.method == "HEAD" or response.status_code in BODYLESS_STATUSES:
        return True
    headers = response.headers
    chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    return chunked or "content-length" in headers
