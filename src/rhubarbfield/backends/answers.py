"""Whether an answer is whole, and the answer to the request that was sent."""

from __future__ import annotations

import httpx

from rhubarbfield.routing.ports import BackendTarget, FailureReason
from rhubarbfield.routing.requests import CallerRequest

FIRST_SUCCESS = 200
WITHOUT_BODY = frozenset({204, 304})


class InvalidAnswerError(Exception):
    """An answer that must not be passed on.

    Parameters
    ----------
    reason
        What is wrong with it.
    """

    def __init__(self, reason: FailureReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def check_answer(
    server: BackendTarget, request: CallerRequest, response: httpx.Response
) -> None:
    """Raise :class:`InvalidAnswerError` if the head of an answer is not right."""
    echoed = response.headers.get("Rhubarbfield-Request-Id")
    if echoed is not None and echoed != request.request_id:
        raise InvalidAnswerError(FailureReason.MISMATCHED)
    if response.status_code < FIRST_SUCCESS:
        raise InvalidAnswerError(FailureReason.MISMATCHED)
    if not server.answers_until_close and not _has_length(request, response):
        raise InvalidAnswerError(FailureReason.UNBOUNDED)


async def read_body(response: httpx.Response, limit: int) -> bytes:
    """Return the whole content of an answer.

    Raises
    ------
    InvalidAnswerError
        If it is larger than ``limit`` bytes.
    """
    announced = response.headers.get("content-length", "0")
    if announced.isdecimal() and int(announced) > limit:
        raise InvalidAnswerError(FailureReason.TOO_LARGE)
    content = bytearray()
    async for chunk in response.aiter_raw():
        content += chunk
        if len(content) > limit:
            raise InvalidAnswerError(FailureReason.TOO_LARGE)
    return bytes(content)


def _has_length(request: CallerRequest, response: httpx.Response) -> bool:
    if request.method == "HEAD" or response.status_code in WITHOUT_BODY:
        return True
    headers = response.headers
    chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    return chunked or "content-length" in headers
