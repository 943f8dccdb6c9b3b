"""The leader's stream to one controller that relays its calls."""

from __future__ import annotations

import heapq
import logging
import math
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.peering import MessageStream, Transport, connect, send_or_drop
from rhubarbfield.scheduling.ports import NoReply, WorkerAddress, WorkerOrder
from rhubarbfield.scheduling.relay_messages import (
    RELAY_STREAM,
    Call,
    CallBatch,
    CallNumber,
    CallResult,
    Cancel,
    Forget,
    Outbox,
    ReplyBatch,
)
from rhubarbfield.types import InstanceName

logger = logging.getLogger(__name__)

PING_INTERVAL = timedelta(milliseconds=300)
# Counted rather than timed, so that a pause of this process loses no relay.
MAX_MISSED_PINGS = 5
RECONNECT_DELAY = timedelta(milliseconds=250)
MAX_RECONNECT_DELAY = timedelta(seconds=4)  # to a controller that relays no calls


class _PendingCall:
    """A call whose caller waits for the result."""

    __slots__ = ("result", "settled")

    def __init__(self) -> None:
        self.settled = trio.Event()
        self.result: CallResult = NoReply("no reply in time")

    def settle(self, result: CallResult) -> None:
        self.result = result
        self.settled.set()


class RelayLink:
    """Carries calls to one relay while its stream works.

    Parameters
    ----------
    relay
        Name of the relaying controller.
    address
        Its host and peer port.
    transport
        Transport used to reach it.
    clock
        Source of time.
    on_connected
        Called each time the relay has answered on a new stream.

    Attributes
    ----------
    is_connected
        Whether the relay has answered on the current stream.
    is_closing
        Whether the relay has told on it that it is about to end.
    missed_pings
        Number of the latest pings without a sign of life.
    workers
        Addresses of the workers that are called through this relay, in the order
        in which they were assigned; the owner changes them.
    attempted
        Set once the relay has answered, or the first stream to it has failed.
    """

    def __init__(
        self,
        relay: InstanceName,
        address: tuple[str, int],
        *,
        transport: Transport,
        clock: Clock,
        on_connected: Callable[[], None],
    ) -> None:
        self._relay = relay
        self._address = address
        self._transport = transport
        self._clock = clock
        self._on_connected = on_connected
        self._outbox: Outbox[Call | Cancel | Forget] = Outbox(clock)
        self._pending: dict[CallNumber, _PendingCall] = {}
        # A heap; calls that have ended stay in it until they are the first.
        self._deadlines: list[tuple[float, CallNumber]] = []
        self._first_changed = trio.Event()
        self._last_number = 0
        self._was_heard = False
        self.is_connected = False
        self.is_closing = False
        self.missed_pings = 0
        self.workers: dict[str, None] = {}
        self.attempted = trio.Event()

    async def call(
        self, to: WorkerAddress, order: WorkerOrder, timeout: timedelta
    ) -> CallResult:
        """Return the result of an order; ``NoReply`` if the relay has none in time."""
        self._last_number += 1
        number = CallNumber(self._last_number)
        call = self._pending[number] = _PendingCall()
        self._add_deadline(number, trio.current_time() + timeout.total_seconds())
        self._outbox.put(Call(number, to, order))
        try:
            await call.settled.wait()
        finally:
            if self._pending.pop(number, None) is not None:
                self._outbox.put(Cancel(number))
        return call.result

    def forget(self, address: str) -> None:
        """Let the relay close its connections to an address."""
        if self.is_connected:
            self._outbox.put(Forget(address))

    async def run(self) -> None:
        """Keep a stream to the relay until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_calls)
            await self._keep_stream()

    def _add_deadline(self, number: CallNumber, deadline: float) -> None:
        heapq.heappush(self._deadlines, (deadline, number))
        if self._deadlines[0][1] == number:
            self._first_changed.set()

    async def _expire_calls(self) -> None:
        """End calls whose time has passed.

        A cancel scope for each call would cost more than the rest of the call.
        """
        while True:
            self._first_changed = trio.Event()
            with trio.move_on_at(self._expire_due()):
                await self._first_changed.wait()

    def _expire_due(self) -> float:
        """End the calls that are due; return when the next one is."""
        now = trio.current_time()
        while self._deadlines:
            deadline, number = self._deadlines[0]
            call = self._pending.get(number)
            if call is not None and deadline > now:
                return deadline
            heapq.heappop(self._deadlines)
            if call is not None:
                call.settled.set()
        return math.inf

    async def _keep_stream(self) -> None:
        host, port = self._address
        delay = RECONNECT_DELAY
        while True:
            has_answered = False
            async with (
                connect(self._transport, host, port) as connection,
                connection.open(RELAY_STREAM) as stream,
            ):
                if stream is not None:
                    try:
                        has_answered = await self._use(stream)
                    finally:
                        # The end of a stream would wait for the relay to read.
                        connection.close()
            self.attempted.set()
            if has_answered:
                delay = RECONNECT_DELAY
            await self._clock.sleep(delay)
            delay = min(delay * 2, MAX_RECONNECT_DELAY)

    async def _use(self, stream: MessageStream) -> bool:
        """Exchange calls and replies until the stream is lost.

        Returns
        -------
        bool
            Whether the relay answered.
        """
        try:
            async with trio.open_nursery() as nursery:
                for pump in (self._send_calls, self._send_pings, self._receive):
                    nursery.start_soon(
                        _run_then_cancel, pump, stream, nursery.cancel_scope
                    )
            has_answered = self.is_connected
            if has_answered:
                log_event(
                    logger,
                    logging.WARNING,
                    "relay-lost",
                    relay=self._relay,
                    calls=len(self._pending),
                    workers=len(self.workers),
                )
            return has_answered
        finally:
            self._drop_calls()

    def _drop_calls(self) -> None:
        """Fail the calls in flight; the relay may have carried them out."""
        self.is_connected = self.is_closing = False
        self.workers.clear()
        self._outbox.clear()
        pending, self._pending = self._pending, {}
        for call in pending.values():
            call.settle(NoReply("the relay was lost"))

    async def _send_calls(self, stream: MessageStream) -> None:
        while True:
            entries = await self._outbox.take()
            # The relay counts the wait here, too, as lateness.
            batch = CallBatch(self._outbox.taken_since, entries)
            if entries and not await send_or_drop(stream, batch):
                return

    async def _send_pings(self, stream: MessageStream) -> None:
        self.missed_pings = 0
        while self.missed_pings < MAX_MISSED_PINGS:
            self._was_heard = False
            with trio.move_on_after(PING_INTERVAL.total_seconds()):
                if not await stream.send(CallBatch(self._clock.monotonic(), [])):
                    return
                await trio.sleep_forever()
            self.missed_pings = 0 if self._was_heard else self.missed_pings + 1

    async def _receive(self, stream: MessageStream) -> None:
        try:
            while (batch := await stream.receive()) is not None:
                self._handle_replies(batch)  # type: ignore[arg-type]
        except msgspec.MsgspecError as error:
            log_event(
                logger,
                logging.WARNING,
                "relay-unreadable",
                relay=self._relay,
                error=str(error),
            )

    def _handle_replies(self, batch: ReplyBatch) -> None:
        self._was_heard = True
        if batch.is_closing and not self.is_closing:
            self.is_closing = True
            self.workers.clear()
            log_event(
                logger,
                logging.INFO,
                "relay-closing",
                relay=self._relay,
                calls=len(self._pending),
            )
        if not self.is_connected:
            self.is_connected = True
            self.attempted.set()
            log_event(logger, logging.INFO, "relay-connected", relay=self._relay)
            self._on_connected()
        for reply in batch.replies:
            call = self._pending.pop(reply.number, None)
            if call is not None:
                call.settle(reply.result)


async def _run_then_cancel(
    pump: Callable[[MessageStream], Awaitable[None]],
    stream: MessageStream,
    scope: trio.CancelScope,
) -> None:
    await pump(stream)
    scope.cancel()
