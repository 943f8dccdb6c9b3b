"""Dispatch of orders to one worker."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.commands import EndedRun, WorkerEnds
from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.orders import Order, Pace, Start, StartState, Stop
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    WorkerCalls,
)
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd

RETRY_DELAY = timedelta(milliseconds=250)  # between calls to an unresponsive worker
DEPOSED_RETRY_DELAY = timedelta(seconds=1)  # by then a deposed leader's lease is over
FULL_SPEED = 100  # percent


class OrderDispatcher:
    """Sends orders to one worker, in turn.

    Parameters
    ----------
    contact
        The contact with the worker.
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
        *,
        host: SessionHost,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
        request_view: Callable[[], None],
        remove_worker: Callable[[], Awaitable[None]],
    ) -> None:
        self._contact = contact
        self._host = host
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._request_view = request_view
        self._remove_worker = remove_worker
        self._orders: deque[Order] = deque()
        self._orders_available = trio.Event()
        self._starts: dict[RunKey, StartState] = {}
        self._stopping: set[RunKey] = set()
        self._ending: set[RunKey] = set()  # their ends are not committed yet
        self._paces: dict[RunKey, int | None] = {}

    @property
    def settled(self) -> set[RunKey]:
        """Runs that were ordered here and have started or can't start any more."""
        return {
            key for key, state in self._starts.items() if state is StartState.SETTLED
        }

    def has_ordered(self, key: RunKey) -> bool:
        """Return whether the run was ordered here and its end is not known."""
        return key in self._starts

    def start(self, start: Start) -> None:
        """Queue an order to start a run that is recorded.

        A run that a view has already shown to be missing is not started.
        """
        if start.key in self._ending:
            return
        self._starts[start.key] = StartState.QUEUED
        self._enqueue(start)
        self._request_view()

    def stop(self, key: RunKey) -> None:
        """Queue an order to stop a run, unless one was queued before."""
        if key not in self._stopping:
            self._stopping.add(key)
            self._enqueue(Stop(key))
            self._request_view()

    def pace(self, key: RunKey, percent: int) -> bool:
        """Queue an order to change a run's pace; return whether it differs."""
        if self.get_pace(key) == percent:
            return False
        self._paces[key] = percent
        self._enqueue(Pace(key, percent))
        return True

    def get_pace(self, key: RunKey) -> int | None:
        """Return the pace that was ordered for a run, in percent of full speed.

        None if it is unknown: an earlier leader may have set it, or an order got
        no reply.
        """
        if key in self._paces:
            return self._paces[key]
        return FULL_SPEED if key in self._starts else None

    def is_stopping(self, key: RunKey) -> bool:
        """Return whether an order to stop the run was queued."""
        return key in self._stopping

    async def record_ends(
        self, ends: tuple[EndedRun, ...], recorded_ends: int = 0
    ) -> None:
        """Forget the orders about ended runs; returns once the ends are committed."""
        keys = {RunKey(end.task, end.run) for end in ends}
        for key in keys:
            self._starts.pop(key, None)
            self._stopping.discard(key)
            self._paces.pop(key, None)
        self._ending |= keys
        report = WorkerEnds(self._contact.worker, ends, recorded_ends)
        await self._host.record_ends(report)
        self._ending -= keys

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            await self._orders_available.wait()
            self._orders_available = trio.Event()
            while self._orders:
                order = self._orders.popleft()
                if isinstance(order, Start):
                    await self._send_start(order)
                elif isinstance(order, Stop):
                    await self._send_stop(order.key)
                else:
                    await self._send_pace(order)

    def _enqueue(self, order: Order) -> None:
        self._orders.append(order)
        self._orders_available.set()

    async def _send_start(self, start: Start) -> None:
        in_doubt = False
        for _ in range(self._settings.order_attempts):
            term = self._host.get_term()
            if term is None or self._has_ended(start.key):
                return
            if start.key in self._stopping:
                break
            order = StartOrder(
                task=start.key.task,
                run=start.key.run,
                payload=start.payload,
                checkpoint=start.checkpoint,
                lease_end=self._contact.lease.extend(),
                term=term,
                ticket=start.ticket,
            )
            result = await self._calls.start(self._contact.address, order)
            match result:
                case Success(worker_clock):
                    self._contact.handle_reply(worker_clock)
                    self._starts[start.key] = StartState.SETTLED
                    return
                case Failure(failure):
                    if await self._handle_start_failure(start, failure, in_doubt):
                        return
                    in_doubt = in_doubt or isinstance(failure, NoReply)
            await self._clock.sleep(RETRY_DELAY)
        # Once the worker confirms the stop, the run can no longer start there.
        self.stop(start.key)

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
                    self.stop(start.key)
                    return True
                self._starts[start.key] = StartState.SETTLED
                if refusal is not Refusal.SUPERSEDED:
                    await self._record_end(start.key, RunEnd.REJECTED)
                return True
            case NoReply():
                self._contact.handle_no_reply()
                return False
        raise AssertionError

    async def _send_stop(self, key: RunKey) -> None:
        while (term := self._host.get_term()) is not None:
            order = StopOrder(task=key.task, run=key.run, term=term)
            result = await self._calls.stop(self._contact.address, order)
            match result:
                case Success(worker_clock):
                    self._contact.handle_reply(worker_clock)
                    self._starts[key] = StartState.SETTLED
                    self._request_view()
                    return
                case Failure(failure):
                    self._contact.log_failure("stop-failed", key, failure)
                    if isinstance(failure, OtherLife):
                        await self._remove_worker()
                        return
                    if isinstance(failure, Refused):
                        self._handle_stop_refusal(key, failure)
                        return
                    self._contact.handle_no_reply()
            if self._has_ended(key):
                return
            await self._clock.sleep(RETRY_DELAY)

    def _handle_stop_refusal(self, key: RunKey, failure: Refused) -> None:
        """Settle the run if it can no longer start; else allow another stop order.

        Any other refusal means that this leader may be deposed.
        """
        if failure.refusal is Refusal.SUPERSEDED:
            self._starts[key] = StartState.SETTLED
        else:
            self._stopping.discard(key)

    def _has_ended(self, key: RunKey) -> bool:
        worker = self._host.find_worker(self._contact.worker)
        return worker is None or worker.runs.get(key.task) != key.run

    async def _send_pace(self, order: Pace) -> None:
        term = self._host.get_term()
        key = order.key
        if term is None or self._has_ended(key):
            return
        wanted = PaceOrder(task=key.task, run=key.run, percent=order.percent, term=term)
        result = await self._calls.pace(self._contact.address, wanted)
        match result:
            case Success(worker_clock):
                self._contact.handle_reply(worker_clock)
            case Failure(failure):
                self._contact.log_failure("pace-failed", key, failure)
                self._paces[key] = None

    async def _record_end(self, key: RunKey, end: RunEnd) -> None:
        await self.record_ends((EndedRun(key.task, key.run, end),))
