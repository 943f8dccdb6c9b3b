"""HTTP calls to the platform's runners, which the scheduler calls workers."""

from __future__ import annotations

import logging
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.httpclient import HttpClient, HttpReply
from rhubarbfield.platform.jobwire import DECODE_ERRORS
from rhubarbfield.platform.wire import REFUSALS, WireReply, WireView
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)

logger = logging.getLogger(__name__)

MAX_CONNECTIONS_PER_RUNNER = 4  # for orders, a view and one hanging call
KEEP_ALIVE_EXPIRY = timedelta(seconds=1.8)  # runners close idle connections after 2 s
EXPECTED_INSTANCE_HEADER = "X-Expected-Instance"
# Runners accept waits of whole milliseconds up to this; longer ones are cut to it.
MAX_VIEW_WAIT = timedelta(seconds=2)
UNHEALTHY_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)

_reply_decoder = msgspec.json.Decoder(WireReply)
_view_decoder = msgspec.json.Decoder(WireView)


class RunnerCalls:
    """A :class:`~rhubarbfield.scheduling.ports.WorkerCalls` over HTTP.

    Parameters
    ----------
    order_timeout
        Longest time to wait for the reply to an order.
    """

    def __init__(self, order_timeout: timedelta) -> None:
        self._order_timeout = order_timeout
        self._clients: dict[str, HttpClient] = {}

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        body: dict[str, Any] = {
            "Task": order.task,
            "Run": order.run,
            "Spec": order.payload,
            "DeadlineMs": int(order.lease_end / MILLISECOND),
            "FencingToken": order.term,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return await self._send_order(to, "/run-start", body)

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run."""
        body = {"Task": order.task, "Run": order.run, "FencingToken": order.term}
        return await self._send_order(to, "/run-stop", body)

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Limit a run to a percentage of its full speed."""
        body = {
            "Task": order.task,
            "Run": order.run,
            "Percent": order.percent,
            "FencingToken": order.term,
        }
        return await self._send_order(to, "/pace", body)

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return the runs that are active on the runner or ended there."""
        wait = min(request.wait_timeout, MAX_VIEW_WAIT)
        body: dict[str, Any] = {
            "FencingToken": request.term,
            "AckedUpto": request.recorded_ends,
        }
        if request.lease_end is not None:
            body["DeadlineMs"] = int(request.lease_end / MILLISECOND)
        if wait > timedelta():
            body["WaitMs"] = int(wait / MILLISECOND)
        result = await self._post(to, "/hold", body, wait + self._order_timeout)
        match result:
            case Success(content):
                return _read_view(content)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError

    async def forget(self, address: str) -> None:
        """Close the connections to an address."""
        client = self._clients.pop(address, None)
        if client is not None:
            await client.close()

    async def _send_order(
        self, to: WorkerAddress, path: str, body: dict[str, Any]
    ) -> Result[timedelta, CallFailure]:
        result = await self._post(to, path, body, self._order_timeout)
        match result:
            case Success(content):
                reply = _read_reply(content)
                if reply is None or reply.clock_ms is None:
                    return Failure(NoReply("unreadable reply"))
                return Success(reply.clock_ms * MILLISECOND)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError

    async def _post(
        self,
        to: WorkerAddress,
        path: str,
        body: dict[str, Any],
        timeout: timedelta,
    ) -> Result[bytes, CallFailure]:
        try:
            result = await self._get_client(to.address).post(
                path,
                msgspec.json.encode(body),
                headers=(
                    ("Content-Type", "application/json"),
                    (EXPECTED_INSTANCE_HEADER, to.worker),
                ),
                timeout=timeout,
            )
        except Exception as error:
            # One worker with unusable data must not end the calls to the others.
            logger.exception("call-broken worker=%s", to.worker)
            return Failure(NoReply(repr(error)))
        match result:
            case Success(HttpReply(status=HTTPStatus.OK, body=content)):
                return Success(content)
            case Success(reply):
                return Failure(_read_failure(reply.status, reply.body))
            case Failure(failure):
                return Failure(NoReply(failure.detail, failure.was_sent))
        raise AssertionError

    def _get_client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self._clients[address] = HttpClient(
                host,
                int(port),
                max_connections=MAX_CONNECTIONS_PER_RUNNER,
                connect_timeout=self._order_timeout,
                keep_alive_expiry=KEEP_ALIVE_EXPIRY,
            )
        return client


def _read_failure(status: int, content: bytes) -> CallFailure:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return OtherLife()
    if status in UNHEALTHY_STATUSES:
        return Refused(Refusal.UNHEALTHY)
    reply = _read_reply(content)
    refusal = REFUSALS.get(reply.reason if reply is not None else "")
    clock_ms = reply.clock_ms if reply is not None else None
    clock = None if clock_ms is None else clock_ms * MILLISECOND
    if status == HTTPStatus.CONFLICT and refusal is not None:
        return Refused(refusal, clock)
    if status == HTTPStatus.BAD_REQUEST:
        return Refused(Refusal.MALFORMED, clock)
    return NoReply(f"status {status}")


def _read_reply(content: bytes) -> WireReply | None:
    try:
        return _reply_decoder.decode(content)
    except DECODE_ERRORS as error:
        logger.warning("reply-unreadable error=%s", error)
        return None


def _read_view(content: bytes) -> Result[WorkerView, CallFailure]:
    try:
        return Success(_view_decoder.decode(content).to_view())
    except (
        *DECODE_ERRORS,
        ValueError,
        TypeError,
        IndexError,
        OverflowError,
    ) as error:
        return Failure(NoReply(f"unreadable lists of runs: {error}"))
