"""Requests to backend servers over HTTP.

Each backend server has its own connection pool, so that its connections are
counted separately. Requests that must not run twice use a new connection: the
server may have closed an idle one, in which case it is unknown whether a
request sent on it was read. The pool closes a connection on which a request
timed out, was cancelled or failed, and never reuses it.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import Any

import httpx
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.backends.answers import InvalidAnswerError, check_answer, read_body
from rhubarbfield.backends.pools import PoolRegistry
from rhubarbfield.clock import Clock
from rhubarbfield.routing.ports import (
    BackendTarget,
    DeliveryState,
    ExchangeFailure,
    FailureReason,
    Lease,
)
from rhubarbfield.routing.requests import BackendAnswer, CallerRequest, Header
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId

REQUEST_ID_HEADER = "Rhubarbfield-Request-Id"
DISPATCH_HEADER = "Rhubarbfield-Dispatch-Id"
EPOCH_HEADER = "Rhubarbfield-Epoch"
TIMEOUT_HEADER = "Rhubarbfield-Timeout"
TENANT_HEADER = "Rhubarbfield-Tenant"
CLASS_HEADER = "Rhubarbfield-Class"
KEY_HEADER = "Idempotency-Key"
HEADER_ENCODING = "latin-1"
HEADERS_SENDING_EVENT = "http11.send_request_headers.started"
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_logger = logging.getLogger(__name__)

Exchanged = Result[BackendAnswer, ExchangeFailure]


class _LeaseLapsedError(Exception):
    """Raised inside the pool to stop a request before its first byte is sent."""


class _SendTracker:
    """Tracks whether a request was sent, and checks its lease right before."""

    def __init__(self, clock: Clock, lease: Lease) -> None:
        self.sent = False
        self._clock = clock
        self._lease = lease

    async def trace(self, event: str, _info: dict[str, Any]) -> None:
        """Check the lease right before the first byte and mark the request as sent."""
        if event != HEADERS_SENDING_EVENT:
            return
        if not self._lease.is_valid(self._clock.monotonic()):
            raise _LeaseLapsedError
        self.sent = True

    @property
    def delivery(self) -> DeliveryState:
        """Whether any byte of the request may have been sent."""
        return DeliveryState.SENT if self.sent else DeliveryState.NOT_SENT

    def make_failure(
        self, reason: FailureReason, error: BaseException | str
    ) -> Exchanged:
        """Return the failure of the request."""
        if not self.sent and reason is not FailureReason.LEASE_LAPSED:
            reason = FailureReason.CONNECT
        detail = str(error) or type(error).__name__
        return Failure(
            ExchangeFailure(delivery=self.delivery, reason=reason, detail=detail)
        )


class HttpBackends:
    """The :class:`~rhubarbfield.routing.BackendPort` that uses HTTP/1.1.

    Parameters
    ----------
    clock
        Source of the monotonic time that leases are checked against.
    settings
        Current settings, with ``answer_limit``.
    """

    def __init__(self, clock: Clock, settings: LiveSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._pools = PoolRegistry()

    async def exchange(
        self, target: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Exchanged:
        """Send ``request`` and return the whole answer within ``timeout``."""
        tracker = _SendTracker(self._clock, target.lease)
        result = tracker.make_failure(FailureReason.TIMEOUT, "no answer in time")
        with trio.move_on_after(timeout.total_seconds()):
            return await self._exchange(target, request, timeout, tracker)
        if tracker.sent:
            result = tracker.make_failure(FailureReason.TIMEOUT, "no answer in time")
        return result

    async def forget(self, server: BackendServerId) -> None:
        """Close the idle connections to ``server``."""
        await self._pools.close(server)

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close_all()

    async def _exchange(
        self,
        target: BackendTarget,
        request: CallerRequest,
        timeout: timedelta,
        tracker: _SendTracker,
    ) -> Exchanged:
        try:
            outgoing = _make_request(target, request, timeout, tracker)
            async with self._pools.use(
                target, dedicated=not request.idempotent
            ) as pool:
                response = await pool.handle_async_request(outgoing)
                try:
                    return await self._read(target, request, response)
                finally:
                    with trio.CancelScope(shield=True):
                        await response.aclose()
        except _LeaseLapsedError:
            return tracker.make_failure(
                FailureReason.LEASE_LAPSED, "the lease has lapsed"
            )
        except InvalidAnswerError as error:
            return tracker.make_failure(error.reason, error)
        except httpx.TransportError as error:
            return tracker.make_failure(FailureReason.CUT_SHORT, error)
        except Exception as error:
            # An unexpected error in one request must not stop the whole process.
            _logger.exception("request %s failed", request.request_id)
            return tracker.make_failure(FailureReason.CUT_SHORT, error)

    async def _read(
        self, target: BackendTarget, request: CallerRequest, response: httpx.Response
    ) -> Exchanged:
        check_answer(target, request, response)
        body = await read_body(response, self._settings.current.answer_limit)
        if response.headers.get("Rhubarbfield-Outcome") == "not-run":
            return Failure(
                ExchangeFailure(
                    delivery=DeliveryState.REFUSED_BY_SERVER,
                    reason=FailureReason.REFUSED,
                    detail=f"status {response.status_code}",
                )
            )
        return Success(
            BackendAnswer(
                status=response.status_code,
                headers=_filter_headers(response.headers, request.method),
                body=body,
            )
        )


def _make_request(
    target: BackendTarget,
    request: CallerRequest,
    timeout: timedelta,
    tracker: _SendTracker,
) -> httpx.Request:
    headers = [
        (each.name, each.value)
        for each in request.headers
        if each.name.lower() not in DROPPED_HEADERS and each.name.lower() != "host"
    ]
    headers.append((REQUEST_ID_HEADER, request.request_id))
    headers.append((DISPATCH_HEADER, target.dispatch_id))
    headers.append((EPOCH_HEADER, str(target.epoch)))
    headers.append((TIMEOUT_HEADER, f"{timeout.total_seconds():.3f}"))
    headers.append((TENANT_HEADER, request.tenant))
    headers.append((CLASS_HEADER, request.request_class))
    if request.idempotency_key is not None:
        headers.append((KEY_HEADER, request.idempotency_key))
    if not request.idempotent or not target.idle_connections:
        headers.append(("Connection", "close"))
    return httpx.Request(
        request.method,
        f"http://{target.address}{request.path}",
        headers=[
            (name.encode(HEADER_ENCODING), value.encode(HEADER_ENCODING))
            for name, value in headers
        ],
        content=request.body,
        extensions={"trace": tracker.trace},
    )


def _filter_headers(headers: httpx.Headers, method: str) -> tuple[Header, ...]:
    dropped = DROPPED_HEADERS
    if method == "HEAD":
        dropped = dropped - {"content-length"}
    return tuple(
        Header(name, value)
        for name, value in headers.multi_items()
        if name not in dropped and not name.startswith("rhubarbfield-")
    )
