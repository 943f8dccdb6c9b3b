"""Orders to one worker to stop runs."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.orders import StartState, Stop, StopOutcome, StopReason
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    Refusal,
    Refused,
    StopOrder,
    WorkerCalls,
)
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.state import RunEnd

logger = logging.getLogger(__name__)

# A worker has few connections; others are for the starts and for the view.
MAX_CONCURRENT_STOPS = 2
RETRY_DELAY = timedelta(milliseconds=250)  # between calls to an unresponsive worker


class StopDispatcher:
    """Sends orders to stop, each until its outcome is known.

    They do not wait for starts, and one without a reply does not hold up the others.

    Parameters
    ----------
    contact
        The contact with the worker.
    ledger
        The orders that the worker was given.
    host
        The leader.
    calls
        Client for calls to workers.
    clock
        Source of time.
    request_view
        Requests a view of the worker.
    remove_worker
        Records that this incarnation of the worker has ended.
    """

    def __init__(
        self,
        contact: WorkerContact,
        ledger: OrderLedger,
        *,
        host: SessionHost,
        calls: WorkerCalls,
        clock: Clock,
        request_view: Callable[[], None],
        remove_worker: Callable[[], Awaitable[None]],
    ) -> None:
        self._contact = contact
        self._ledger = ledger
        self._host = host
        self._calls = calls
        self._clock = clock
        self._request_view = request_view
        self._remove_worker = remove_worker
        self._sender, self._receiver = trio.open_memory_channel[Stop](
            math.inf  # one for each run on the worker at most
        )
        self._slots = trio.Semaphore(MAX_CONCURRENT_STOPS)

    def stop(self, key: RunKey, reason: StopReason) -> None:
        """Order a run to stop, unless that was ordered before."""
        if key not in self._ledger.stops:
            stop = Stop(key, reason, self._clock.monotonic())
            self._ledger.stops[key] = stop
            self._sender.send_nowait(stop)
            self._request_view()

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            async for stop in self._receiver:
                nursery.start_soon(self._stop_run, stop)

    async def _stop_run(self, stop: Stop) -> None:
        if self._ledger.starts.get(stop.key) is StartState.QUEUED:
            # No order to start it will be sent from now on.
            self._log(stop, StopOutcome.WITHDRAWN)
            await self._ledger.record_end(stop.key, RunEnd.STOPPED)
            return
        while (outcome := await self._send_in_turn(stop)) is None:
            await self._clock.sleep(RETRY_DELAY)
        self._log(stop, outcome)
        is_current = self._ledger.stops.get(stop.key) is stop
        if is_current and self._ledger.has_ended(stop.key):
            # The end of a run that is not recorded is not recorded either.
            del self._ledger.stops[stop.key]

    async def _send_in_turn(self, stop: Stop) -> StopOutcome | None:
        async with self._slots:
            if self._ledger.stops.get(stop.key) is not stop:
                return StopOutcome.ENDED
            return await self._send(stop)

    async def _send(self, stop: Stop) -> StopOutcome | None:
        """Send an order to stop once; return its outcome, None if unknown."""
        term = self._host.get_term()
        if term is None:
            return None
        stop.attempts += 1
        if stop.sent_at is None:
            stop.sent_at = self._clock.monotonic()
        order = StopOrder(task=stop.key.task, run=stop.key.run, term=term)
        result = await self._calls.stop(self._contact.address, order)
        match result:
            case Success(worker_clock):
                self._contact.handle_reply(worker_clock)
                stop.may_be_done = True
                self._ledger.confirm_stop(stop.key)
                self._request_view()
                return StopOutcome.CONFIRMED
            case Failure(failure):
                return await self._handle_failure(stop, failure)
        raise AssertionError

    async def _handle_failure(
        self, stop: Stop, failure: CallFailure
    ) -> StopOutcome | None:
        """Handle a failed order; return its outcome, None if unknown.

        Refused orders are repeated, too: an unhealthy worker may recover, and the
        sessions of a deposed leader are closed soon.
        """
        self._contact.log_failure("stop-failed", stop.key, failure)
        match failure:
            case OtherLife():
                await self._remove_worker()
                return StopOutcome.ENDED
            case Refused(refusal=Refusal.SUPERSEDED):
                stop.may_be_done = True
                self._ledger.confirm_stop(stop.key)
                return StopOutcome.CONFIRMED
            case NoReply(was_sent=was_sent):
                stop.may_be_done = stop.may_be_done or was_sent
                self._contact.handle_no_reply()
        return None

    def _log(self, stop: Stop, outcome: StopOutcome) -> None:
        sent_at = stop.sent_at
        log_event(
            logger,
            logging.INFO,
            "run-stopped",
            task=stop.key.task,
            run=stop.key.run,
            worker=self._contact.worker,
            reason=stop.reason.value,
            outcome=outcome.value,
            attempts=stop.attempts,
            queued=None if sent_at is None else sent_at - stop.ordered_at,
            took=self._clock.monotonic() - stop.ordered_at,
        )
