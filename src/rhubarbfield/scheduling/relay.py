"""Carries out a leader's calls to workers on another controller."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
import trio
from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.peering import MessageStream, send_or_drop
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerOrder,
)
from rhubarbfield.scheduling.relay_messages import (
    Call,
    CallBatch,
    CallNumber,
    CallReply,
    CallResult,
    Cancel,
    Forget,
    Outbox,
    ReplyBatch,
)
from rhubarbfield.types import Term

logger = logging.getLogger(__name__)

# From the leader's send to the call to the worker, beyond the usual transit time.
MAX_ORDER_WAIT = timedelta(milliseconds=500)
# Clocks that differ by 2% drift apart by a fraction of MAX_ORDER_WAIT meanwhile.
TRANSIT_WINDOW = timedelta(seconds=2)
CLOSE_POLL_INTERVAL = timedelta(milliseconds=20)
LEADER_SILENCE_TIMEOUT = timedelta(seconds=5)  # a leader pings several times a second


class TransitDelays:
    """Measures how much longer than usual messages were under way.

    The clocks of sender and receiver have an unknown offset, so the shortest
    apparent transit time of the last one or two windows counts as no delay.
    """

    def __init__(self) -> None:
        self._window_ends_at: timedelta | None = None
        self._shortest = timedelta.max
        self._shortest_before = timedelta.max

    def measure(self, sent_at: timedelta, received_at: timedelta) -> timedelta:
        """Return the delay of a message.

        Parameters
        ----------
        sent_at
            Reading of the sender's clock.
        received_at
            Reading of the local clock.
        """
        transit = received_at - sent_at
        if self._window_ends_at is None or received_at >= self._window_ends_at:
            self._shortest_before, self._shortest = self._shortest, transit
            self._window_ends_at = received_at + TRANSIT_WINDOW
        self._shortest = min(self._shortest, transit)
        return transit - min(self._shortest, self._shortest_before)


class WorkerRelay:
    """Serves the streams of leaders.

    Parameters
    ----------
    calls
        Client for calls to workers.
    clock
        Source of time.
    is_leading
        Returns whether this instance leads and calls workers itself.

    Attributes
    ----------
    is_closing
        Whether leaders should use other relays, since this one is about to end.
    """

    def __init__(
        self, calls: WorkerCalls, clock: Clock, is_leading: Callable[[], bool]
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._is_leading = is_leading
        self._term = Term(0)
        self._streams: list[_ServedStream] = []
        self.is_closing = False

    async def serve(self, stream: MessageStream) -> None:
        """Carry out the orders on a stream until it ends; the rest is dropped."""
        served = _ServedStream(self, stream, self._clock)
        self._streams.append(served)
        try:
            await served.run()
        finally:
            self._streams.remove(served)
            with trio.CancelScope(shield=True):
                await self._forget_unused(served.addresses)
            log_event(
                logger,
                logging.INFO,
                "relaying-ended",
                term=self._term,
                calls=served.calls,
                late=served.late,
                workers=len(served.addresses),
            )

    async def close(self, timeout: timedelta) -> None:
        """Return once leaders use other relays and have the replies of this one.

        A worker lists an end to the relay alone, and may leave before it is asked
        again.

        Parameters
        ----------
        timeout
            How long to wait for workers that do not reply.
        """
        self.is_closing = True
        with trio.move_on_after(timeout.total_seconds()):
            while any(stream.is_in_use for stream in self._streams):
                await self._clock.sleep(CLOSE_POLL_INTERVAL)

    def observe_term(self, term: Term) -> bool:
        """Record the term of an order; return False if a later one was seen."""
        if term < self._term:
            return False
        self._term = term
        return True

    async def carry_out(self, call: Call) -> CallResult:
        """Call the worker."""
        result = await self._call_worker(call.to, call.order)
        if isinstance(result, Failure):
            return result.failure()
        return result.unwrap()

    async def _call_worker(
        self, to: WorkerAddress, order: WorkerOrder
    ) -> Result[Any, CallFailure]:
        match order:
            case StartOrder():
                return await self._calls.start(to, order)
            case StopOrder():
                return await self._calls.stop(to, order)
            case PaceOrder():
                return await self._calls.pace(to, order)
            case ViewRequest():
                return await self._calls.view(to, order)
        raise AssertionError

    async def forget(self, address: str) -> None:
        """Close the connections to an address."""
        await self._calls.forget(address)

    async def _forget_unused(self, addresses: set[str]) -> None:
        """Close connections that neither another stream nor this instance uses."""
        if self._is_leading():
            return
        used = {address for other in self._streams for address in other.addresses}
        for address in addresses - used:
            await self._calls.forget(address)


class _ServedStream:
    """The stream of one leader.

    Attributes
    ----------
    addresses
        Addresses of the workers that were called.
    calls, late
        Number of calls received, and of those that were dropped as late.
    """

    def __init__(self, relay: WorkerRelay, stream: MessageStream, clock: Clock) -> None:
        self._relay = relay
        self._stream = stream
        self._clock = clock
        self._outbox: Outbox[CallReply] = Outbox(clock)
        self._delays = TransitDelays()
        self._scopes: dict[CallNumber, trio.CancelScope] = {}
        self._is_sending = False
        self._has_announced_close = False
        self.addresses: set[str] = set()
        self.calls = 0
        self.late = 0

    @property
    def is_in_use(self) -> bool:
        """Whether the leader may send further calls, or waits for replies."""
        has_replies = self._is_sending or not self._outbox.is_empty
        return not self._has_announced_close or has_replies or bool(self._scopes)

    async def run(self) -> None:
        """Carry out orders until the stream ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_replies, nursery.cancel_scope)
            try:
                await self._receive(nursery)
            except msgspec.MsgspecError as error:
                log_event(
                    logger, logging.WARNING, "orders-unreadable", error=str(error)
                )
            nursery.cancel_scope.cancel()

    async def _receive(self, nursery: trio.Nursery) -> None:
        while (batch := await self._receive_batch()) is not None:
            now = self._clock.monotonic()
            delay = self._delays.measure(batch.sent_at, now)
            if not batch.entries and not await self._stream.send(self._pack([])):
                return
            for entry in batch.entries:
                match entry:
                    case Call():
                        scope = self._scopes[entry.number] = trio.CancelScope()
                        due_at = now - delay + MAX_ORDER_WAIT
                        nursery.start_soon(self._handle_call, entry, scope, due_at)
                    case Cancel(number=number):
                        if number in self._scopes:
                            self._scopes[number].cancel()
                    case Forget(address=address):
                        self.addresses.discard(address)
                        await self._relay.forget(address)

    async def _receive_batch(self) -> CallBatch | None:
        """Return the next batch; None if the stream has ended or is silent."""
        with trio.move_on_after(LEADER_SILENCE_TIMEOUT.total_seconds()):
            batch = await self._stream.receive()
            assert batch is None or isinstance(batch, CallBatch)
            return batch
        return None

    async def _handle_call(
        self, call: Call, scope: trio.CancelScope, due_at: timedelta
    ) -> None:
        self.calls += 1
        try:
            with scope:
                await trio.lowlevel.checkpoint_if_cancelled()
                result = await self._carry_out(call, due_at)
                self._outbox.put(CallReply(call.number, result))
        finally:
            del self._scopes[call.number]

    async def _carry_out(self, call: Call, due_at: timedelta) -> CallResult:
        if not self._relay.observe_term(call.order.term):
            return Refused(Refusal.DEPOSED)
        if self._clock.monotonic() > due_at:
            self.late += 1
            return NoReply("the order waited too long at the relay")
        self.addresses.add(call.to.address)
        return await self._relay.carry_out(call)

    async def _send_replies(self, scope: trio.CancelScope) -> None:
        while True:
            replies = await self._outbox.take()
            self._is_sending = True
            if replies and not await send_or_drop(self._stream, self._pack(replies)):
                scope.cancel()
                return
            self._is_sending = False

    def _pack(self, replies: list[CallReply]) -> ReplyBatch:
        is_closing = self._relay.is_closing
        self._has_announced_close |= is_closing
        return ReplyBatch(replies, is_closing)
