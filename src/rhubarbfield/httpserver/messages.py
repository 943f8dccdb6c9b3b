"""Requests, responses and limits of the HTTP server."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import timedelta
from enum import Enum
from http import HTTPStatus

import msgspec

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
OVERLOAD_RETRY_DELAY = timedelta(seconds=1)

Field = tuple[bytes, bytes]


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was read whole.

    Attributes
    ----------
    method
        Method, in capitals.
    path
        Path with its percent-encoding decoded, without the query.
    headers
        Header values by name in lower case; of repeated headers, the last one.
    body
        Content.
    target
        Request target as it was sent.
    fields
        Header fields as they were sent, with names in lower case.
    client
        Address of the client, or "" if it has left already.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    target: bytes = b""
    fields: Sequence[Field] = ()
    client: str = ""


class HttpResponse(msgspec.Struct, frozen=True):
    """A whole response.

    Attributes
    ----------
    status, body, content_type
        Status and content.
    headers
        Further headers. ``Connection: close`` ends the connection after the
        response.
    fields
        Header fields in place of ``content_type`` and ``headers``, where names may
        repeat.
    """

    status: int
    body: bytes = b""
    content_type: str = TEXT_TYPE
    headers: Mapping[str, str] = {}
    fields: Sequence[Field] | None = None


class RefusalReason(Enum):
    """Why a request is refused that the handler never saw."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    OVERLOAD = "overload"


class HttpRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request that was not read whole, or for which there is no room.

    Attributes
    ----------
    reason, status
        Why, and the status that fits.
    retry_after
        After what time another attempt is worthwhile, or None.
    """

    reason: RefusalReason
    status: HTTPStatus
    retry_after: timedelta | None = None


# A 429 or 503 would promise to some clients that an earlier attempt at the same
# request did not succeed either.
OVERLOAD = HttpRefusal(
    RefusalReason.OVERLOAD, HTTPStatus.GATEWAY_TIMEOUT, OVERLOAD_RETRY_DELAY
)
TOO_SLOW = HttpRefusal(RefusalReason.TOO_SLOW, HTTPStatus.REQUEST_TIMEOUT)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
RefusalMaker = Callable[[HttpRefusal], HttpResponse]


def make_refusal(refusal: HttpRefusal) -> HttpResponse:
    """Return a response without content for a refusal."""
    headers: dict[str, str] = {}
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        headers["Retry-After"] = str(seconds)
    return HttpResponse(refusal.status, headers=headers)


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of connections.

    Attributes
    ----------
    body_bytes, header_bytes
        Largest content and headers of a request.
    idle_timeout
        Longest wait for more bytes of a request, for the next request, and for a
        client to read more of a response.
    keep_alive
        Longest wait for the next request if it differs from ``idle_timeout``.
    body_timeout
        How long the content of a request may take to arrive, or None if only
        ``idle_timeout`` bounds it.
    drain_timeout
        How long requests in progress may take after a stop was requested.
    """

    body_bytes: int = 262_144
    header_bytes: int = 16_384
    idle_timeout: timedelta = timedelta(seconds=15)
    keep_alive: timedelta | None = None
    body_timeout: timedelta | None = None
    drain_timeout: timedelta = timedelta(seconds=2)
