"""Dispatch of orders to one worker."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.orders import Order, Pace, Start, StartState, StopReason
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    WorkerCalls,
)
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.scheduling.stops import RETRY_DELAY, StopDispatcher
from rhubarbfield.types import Term

DEPOSED_RETRY_DELAY = timedelta(seconds=1)  # by then a deposed leader's lease is over
# A leader without a lease has it again after a heartbeat, or is cancelled.
TERM_RETRY_DELAY = timedelta(milliseconds=50)
# A worker that drains may be given tasks for this long after it was chosen, half of
# the time for which it goes on to accept them.
MAX_START_DELAY_ON_DRAINING = timedelta(seconds=1)


class OrderDispatcher:
    """Sends orders to one worker.

    Starts and paces are sent in turn; stops do not wait for them.

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
    settings
        Timeouts and limits.
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
        settings: SchedulingSettings,
        request_view: Callable[[], None],
        remove_worker: Callable[[], Awaitable[None]],
    ) -> None:
        self._contact = contact
        self._ledger = ledger
        self._host = host
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._request_view = request_view
        self._remove_worker = remove_worker
        self._stops = StopDispatcher(
            contact,
            ledger,
            host=host,
            calls=calls,
            clock=clock,
            request_view=request_view,
            remove_worker=remove_worker,
        )
        self._orders: deque[Order] = deque()
        self._orders_available = trio.Event()

    def start(self, start: Start) -> bool:
        """Queue an order to start a run that is recorded; return whether it was.

        A run that is stopping, or that a view has shown to be missing, is not
        started.
        """
        if not self._ledger.may_order(start.key):
            return False
        self._ledger.starts[start.key] = StartState.QUEUED
        self._enqueue(start)
        self._request_view()
        return True

    def stop(self, key: RunKey, reason: StopReason) -> None:
        """Order a run to stop, unless that was ordered before."""
        self._stops.stop(key, reason)

    def pace(self, key: RunKey, percent: int) -> bool:
        """Queue an order to change a run's pace; return whether it differs."""
        if self._ledger.get_pace(key) == percent:
            return False
        self._ledger.set_pace(key, percent)
        self._enqueue(Pace(key, percent))
        return True

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stops.run)
            nursery.start_soon(self._send_in_turn)

    def _enqueue(self, order: Order) -> None:
        self._orders.append(order)
        self._orders_available.set()

    async def _send_in_turn(self) -> None:
        while True:
            await self._orders_available.wait()
            self._orders_available = trio.Event()
            while self._orders:
                order = self._orders.popleft()
                if isinstance(order, Start):
                    await self._send_start(order)
                else:
                    await self._send_pace(order)

    async def _send_start(self, start: Start) -> None:
        key = start.key
        attempts = 0
        in_doubt = False
        while attempts < self._settings.order_attempts and self._may_start(start):
            now = self._clock.monotonic()
            term = self._host.get_term()
            if term is None:
                await self._clock.sleep(TERM_RETRY_DELAY)
                continue
            attempts += 1
            self._ledger.starts[key] = StartState.SENT
            self._ledger.record_order(key, self._clock.monotonic())
            order = self._make_start_order(start, term, now)
            result = await self._calls.start(self._contact.address, order)
            match result:
                case Success(worker_clock):
                    self._contact.handle_reply(worker_clock)
                    self._ledger.settle(key)
                    self._host.record_answer(self._contact.worker, start)
                    return
                case Failure(failure):
                    if await self._handle_start_failure(start, failure, in_doubt):
                        return
                    in_doubt = in_doubt or _may_be_carried_out(failure)
            await self._clock.sleep(RETRY_DELAY)
        if self._ledger.is_unsettled(key):
            # Once the worker confirms the stop, the run can no longer start there.
            is_wanted = self._host.is_wanted(key.task)
            reason = StopReason.UNANSWERED if is_wanted else StopReason.OBSOLETE
            self.stop(key, reason)

    def _may_start(self, start: Start) -> bool:
        """Return whether an order to start a run may be sent now.

        One that was never sent goes to another worker if this one gives no reply.
        """
        key = start.key
        is_sent = self._ledger.starts.get(key) is StartState.SENT
        return (
            self._ledger.is_unsettled(key)
            and self._ledger.may_order(key)
            and (is_sent or self._contact.may_extend_lease)
            and self._host.is_wanted(key.task)
            and self._contact.exit_announced_at is None
            and not self._is_late_on_draining(start)
            and self._fits_worker()
        )

    def _fits_worker(self) -> bool:
        """Return whether the worker's capacity, as last reported, holds its runs."""
        worker = self._host.find_worker(self._contact.worker)
        return worker is None or self._host.fits_capacity(worker)

    def _is_late_on_draining(self, start: Start) -> bool:
        """Return whether the worker has begun to drain since it was chosen long ago."""
        worker = self._host.find_worker(self._contact.worker)
        if worker is None or not worker.draining:
            return False
        age = self._clock.monotonic() - start.chosen_at
        return age > MAX_START_DELAY_ON_DRAINING

    def _make_start_order(self, start: Start, term: Term, now: timedelta) -> StartOrder:
        return StartOrder(
            task=start.key.task,
            run=start.key.run,
            payload=start.payload,
            checkpoint=start.checkpoint,
            lease_end=self._contact.offer_lease(now) or timedelta(),
            term=term,
            ticket=start.ticket,
        )

    async def _handle_start_failure(
        self, start: Start, failure: CallFailure, in_doubt: bool
    ) -> bool:
        """Handle a failed order to start; return whether it is settled.

        Parameters
        ----------
        start
            The order.
        failure
            How the call failed.
        in_doubt
            Whether an earlier order without a reply may still be carried out.
        """
        self._contact.log_failure("start-failed", start.key, failure)
        match failure:
            case OtherLife():
                await self._remove_worker()
                return True
            case Refused(refusal=refusal, clock=worker_clock):
                if worker_clock is not None:
                    self._contact.handle_reply(worker_clock)
                if refusal is Refusal.DEPOSED:
                    await self._clock.sleep(DEPOSED_RETRY_DELAY)
                    return False
                self._contact.handle_rejection()
                if in_doubt and refusal is not Refusal.SUPERSEDED:
                    self.stop(start.key, StopReason.UNANSWERED)
                    return True
                self._ledger.settle(start.key)
                if refusal is not Refusal.SUPERSEDED:
                    await self._ledger.record_end(start.key, RunEnd.REJECTED)
                return True
            case NoReply(was_sent=was_sent):
                self._contact.handle_no_reply()
                if was_sent or in_doubt:
                    return False
                await self._ledger.record_end(start.key, RunEnd.REJECTED)
                return True
        raise AssertionError

    async def _send_pace(self, order: Pace) -> None:
        term = self._host.get_term()
        key = order.key
        if self._ledger.has_ended(key):
            return
        if term is None:
            self._ledger.set_pace(key, None)
            return
        wanted = PaceOrder(task=key.task, run=key.run, percent=order.percent, term=term)
        result = await self._calls.pace(self._contact.address, wanted)
        match result:
            case Success(worker_clock):
                self._contact.handle_reply(worker_clock)
            case Failure(failure):
                self._contact.log_failure("pace-failed", key, failure)
                self._ledger.set_pace(key, None)


def _may_be_carried_out(failure: CallFailure) -> bool:
    return isinstance(failure, NoReply) and failure.was_sent
