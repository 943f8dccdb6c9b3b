"""Session of the leader with one worker: orders, views and the lease."""

from __future__ import annotations

import logging
from collections import deque
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.commands import EndedRun, WorkerEnds
from rhubarbfield.scheduling.leases import WorkerLease
from rhubarbfield.scheduling.metrics import LEASES_LAPSED
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    RunNumber,
    TaskName,
)
from rhubarbfield.scheduling.orders import Order, Pace, Start, StartState, Stop
from rhubarbfield.scheduling.ports import (
    ActiveRun,
    CallFailure,
    ListedEnd,
    NoReply,
    OtherLife,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerView,
)
from rhubarbfield.scheduling.progress import Progress, RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd, Worker
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

# A worker that announced its exit ends within this time, even if it gets no reply.
EXIT_CONFIRMATION_DELAY = timedelta(seconds=3)
RETRY_DELAY = timedelta(milliseconds=250)  # between calls to an unresponsive worker
DEPOSED_RETRY_DELAY = timedelta(seconds=1)  # by then a deposed leader's lease is over
FULL_SPEED = 100  # percent
REJECTION_BACKOFF = timedelta(milliseconds=400)  # by then a view shows actual headroom


class WorkerSession:
    """Sends orders to one worker and polls its state while the leader leads.

    Parameters
    ----------
    address
        Id and address of the worker.
    host
        The leader.
    calls
        Client for calls to workers.
    clock
        Source of time.
    settings
        Timeouts and limits.

    Attributes
    ----------
    active
        Runs on the worker, from the latest view.
    """

    def __init__(
        self,
        address: WorkerAddress,
        *,
        host: SessionHost,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
    ) -> None:
        self.address = address
        self._host = host
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._orders: deque[Order] = deque()
        self._orders_available = trio.Event()
        self._view_requested = trio.Event()
        self._starts: dict[RunKey, StartState] = {}
        self._stopping: set[RunKey] = set()
        self._paces: dict[RunKey, int | None] = {}
        opened = clock.monotonic()
        self._lease = WorkerLease(clock, settings)
        self._unresponsive_since: timedelta | None = None
        self._no_starts_until = timedelta()
        self._acknowledged_ends = 0
        self._reported_at = opened
        self._exit_announced_at: timedelta | None = None
        self._viewed_at: timedelta | None = None
        self._progress = Progress()
        self.active: dict[TaskName, ActiveRun] = {}

    @property
    def worker(self) -> WorkerId:
        """Id of the worker."""
        return self.address.worker

    @property
    def is_usable(self) -> bool:
        """Whether new runs may be started on the worker now."""
        now = self._clock.monotonic()
        if not self._lease.has_clock or now < self._no_starts_until:
            return False
        is_recent = now - self.last_contact_at <= self._settings.silence_timeout
        if self._exit_announced_at is not None:
            return False
        return self._unresponsive_since is None and is_recent

    @property
    def view_age(self) -> timedelta | None:
        """Age of the latest view of the worker; None before the first."""
        if self._viewed_at is None:
            return None
        return self._clock.monotonic() - self._viewed_at

    @property
    def last_contact_at(self) -> timedelta:
        """Monotonic time of the last report or reply of the worker."""
        return max(self._reported_at, self._lease.clock_read_at)

    def handle_report(
        self, worker_clock: timedelta | None, age: timedelta = timedelta()
    ) -> None:
        """Record that the worker reported itself; the report may be late.

        Parameters
        ----------
        worker_clock
            The worker's clock in the report, if it has one.
        age
            Time since the report was received.
        """
        self._reported_at = max(self._reported_at, self._clock.monotonic() - age)
        if not self._lease.has_clock and worker_clock is not None:
            # The worker's clock has advanced since. A lease counted from the
            # reading ends earlier on the worker, and counts as lapsed later here.
            self._lease.update_clock(worker_clock)
        if self._unresponsive_since is not None:
            self._view_requested.set()

    def start(self, start: Start) -> None:
        """Queue an order to start a run that is recorded."""
        self._starts[start.key] = StartState.QUEUED
        self._enqueue(start)
        self._view_requested.set()

    def stop(self, key: RunKey) -> None:
        """Queue an order to stop a run, unless one was queued before."""
        if key not in self._stopping:
            self._stopping.add(key)
            self._enqueue(Stop(key))
            self._view_requested.set()

    def pace(self, key: RunKey, percent: int) -> None:
        """Queue an order to let a run work at ``percent`` of its full speed."""
        if self.get_pace(key) != percent:
            self._paces[key] = percent
            self._progress.reset(key, self._clock.monotonic())
            self._enqueue(Pace(key, percent))

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

    def handle_exit_announcement(self) -> None:
        """Record that the worker announced its exit."""
        if self._exit_announced_at is None:
            self._exit_announced_at = self._clock.monotonic()
        self._view_requested.set()

    def list_stalled(self, limit: timedelta) -> list[RunKey]:
        """Return runs without progress for ``limit``, unless paused or stopping."""
        return [
            key
            for key in self._progress.list_stalled(limit)
            if self.get_pace(key) != 0 and key not in self._stopping
        ]

    def request_view(self) -> None:
        """Request a view of the worker now."""
        self._view_requested.set()

    async def run(self) -> None:
        """Send orders and poll the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_orders)
            nursery.start_soon(self._poll_views)

    def _enqueue(self, order: Order) -> None:
        self._orders.append(order)
        self._orders_available.set()

    async def _send_orders(self) -> None:
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
                lease_end=self._lease.extend(),
                term=term,
                ticket=start.ticket,
            )
            result = await self._calls.start(self.address, order)
            match result:
                case Success(worker_clock):
                    self._handle_reply(worker_clock)
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
        self._log_failure("start-failed", start.key, failure)
        match failure:
            case OtherLife():
                await self._remove_worker()
                return True
            case Refused(refusal=refusal, clock=worker_clock):
                if worker_clock is not None:
                    self._handle_reply(worker_clock)
                if refusal is Refusal.DEPOSED:
                    await self._clock.sleep(DEPOSED_RETRY_DELAY)
                    return False
                self._no_starts_until = self._clock.monotonic() + REJECTION_BACKOFF
                if in_doubt and refusal is not Refusal.SUPERSEDED:
                    self.stop(start.key)
                    return True
                self._starts[start.key] = StartState.SETTLED
                if refusal is not Refusal.SUPERSEDED:
                    await self._record_end(start.key, RunEnd.REJECTED)
                return True
            case NoReply():
                self._handle_no_reply()
                return False
        raise AssertionError

    async def _send_stop(self, key: RunKey) -> None:
        while (term := self._host.get_term()) is not None:
            order = StopOrder(task=key.task, run=key.run, term=term)
            result = await self._calls.stop(self.address, order)
            match result:
                case Success(worker_clock):
                    self._handle_reply(worker_clock)
                    self._starts[key] = StartState.SETTLED
                    self._view_requested.set()
                    return
                case Failure(failure):
                    self._log_failure("stop-failed", key, failure)
                    if isinstance(failure, OtherLife):
                        await self._remove_worker()
                        return
                    if isinstance(failure, Refused):
                        self._handle_stop_refusal(key, failure)
                        return
                    self._handle_no_reply()
            if self._host.find_worker(self.worker) is None or self._has_ended(key):
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
        worker = self._host.find_worker(self.worker)
        return worker is None or worker.runs.get(key.task) != key.run

    async def _send_pace(self, order: Pace) -> None:
        term = self._host.get_term()
        key = order.key
        if term is None or self._has_ended(key):
            return
        wanted = PaceOrder(task=key.task, run=key.run, percent=order.percent, term=term)
        result = await self._calls.pace(self.address, wanted)
        match result:
            case Success(worker_clock):
                self._handle_reply(worker_clock)
            case Failure(failure):
                self._log_failure("pace-failed", key, failure)
                self._paces[key] = None

    async def _poll_views(self) -> None:
        while True:
            if not self._needs_view():
                self._view_requested = trio.Event()
                await self._view_requested.wait()
            await self._view_once()
            await self._clock.sleep(self._settings.view_interval)

    def _needs_view(self) -> bool:
        worker = self._host.find_worker(self.worker)
        if worker is None:
            return False
        if self._exit_announced_at is not None:
            return True
        return bool(worker.runs) or worker.recorded_ends > self._acknowledged_ends

    async def _view_once(self) -> None:
        worker = self._host.find_worker(self.worker)
        term = self._host.get_term()
        if worker is None or term is None:
            return
        recorded_runs = dict(worker.runs)
        recorded_ends = worker.recorded_ends
        settled = {
            key for key, state in self._starts.items() if state is StartState.SETTLED
        }
        request = ViewRequest(
            recorded_ends=recorded_ends,
            lease_end=self._lease.extend() if self._may_extend_lease() else None,
            wait_timeout=self._choose_wait_timeout(),
            term=term,
        )
        result = await self._calls.view(self.address, request)
        match result:
            case Success(view):
                self._handle_reply(view.clock)
                self._acknowledged_ends = recorded_ends
                await self._apply_view(view, recorded_runs, settled)
            case Failure(OtherLife()):
                await self._remove_worker()
            case Failure(failure):
                self._log_failure("view-failed", None, failure)
                self._handle_no_reply()
                await self._check_lapse()
                await self._clock.sleep(RETRY_DELAY)

    def _choose_wait_timeout(self) -> timedelta:
        if self._unresponsive_since is not None or not self._lease.has_clock:
            return timedelta()
        worker = self._host.find_worker(self.worker)
        if worker is not None and self._host.needs_frequent_views(worker):
            return self._settings.watched_view_timeout
        return self._settings.view_timeout

    async def _apply_view(
        self,
        view: WorkerView,
        recorded_runs: dict[TaskName, RunNumber],
        settled: set[RunKey],
    ) -> None:
        self.active = {run.task: run for run in view.active}
        self._viewed_at = self._clock.monotonic()
        self._progress.update(view.active, self._clock.monotonic())
        worker = self._host.find_worker(self.worker)
        if worker is None:
            return
        listed = [end for end in view.ends if end.number > worker.recorded_ends]
        ends = [_convert_end(end) for end in listed]
        if not view.truncated:
            ends.extend(self._find_missing(view, recorded_runs, settled))
        self._stop_unrecorded(view, worker)
        self._host.handle_view(self.worker)
        if ends:
            last = max((end.number for end in listed), default=0)
            for end in ends:
                self._forget_run(RunKey(end.task, end.run))
            report = WorkerEnds(self.worker, tuple(ends), last)
            await self._host.record_ends(report)

    def _find_missing(
        self,
        view: WorkerView,
        recorded_runs: dict[TaskName, RunNumber],
        settled: set[RunKey],
    ) -> list[EndedRun]:
        """Return recorded runs that the view lists neither as active nor as ended."""
        present = {(run.task, run.run) for run in view.active}
        present |= {(end.task, end.run) for end in view.ends}
        missing = []
        for task, run in recorded_runs.items():
            key = RunKey(task, run)
            # The worker rejects orders of earlier leaders once it has seen this term.
            is_certain = key in settled or key not in self._starts
            if is_certain and (task, run) not in present:
                log_event(
                    logger,
                    logging.INFO,
                    "run-vanished",
                    worker=self.worker,
                    task=task,
                    run=run,
                )
                missing.append(EndedRun(task, run, RunEnd.LOST))
        return missing

    def _stop_unrecorded(self, view: WorkerView, worker: Worker) -> None:
        """Stop runs on the worker that are not recorded."""
        for run in view.active:
            key = RunKey(run.task, run.run)
            if worker.runs.get(run.task) != run.run and key not in self._starts:
                self.stop(key)

    def _forget_run(self, key: RunKey) -> None:
        self._starts.pop(key, None)
        self._stopping.discard(key)
        self._paces.pop(key, None)

    async def _record_end(self, key: RunKey, end: RunEnd) -> None:
        self._forget_run(key)
        ended = EndedRun(key.task, key.run, end)
        await self._host.record_ends(WorkerEnds(self.worker, (ended,)))

    async def _remove_worker(self) -> None:
        await self._host.remove_worker(self.worker, self._list_checkpoints())

    async def _check_lapse(self) -> None:
        """Record runs as lost once their lease has certainly lapsed."""
        now = self._clock.monotonic()
        if self._has_exited(now):
            await self._remove_worker()
            return
        if now < self._lease.lapses_at:
            return
        worker = self._host.find_worker(self.worker)
        if worker is None or not worker.runs:
            return
        LEASES_LAPSED.inc()
        log_event(
            logger,
            logging.WARNING,
            "lease-lapsed",
            worker=self.worker,
            runs=len(worker.runs),
            silent=self._clock.monotonic() - self.last_contact_at,
        )
        saved = self._list_checkpoints()
        ends = tuple(
            EndedRun(task, run, RunEnd.LOST, saved.get(task, NO_CHECKPOINT))
            for task, run in worker.runs.items()
        )
        for end in ends:
            self._forget_run(RunKey(end.task, end.run))
        await self._host.record_ends(WorkerEnds(self.worker, ends))

    def _has_exited(self, now: timedelta) -> bool:
        """Return whether the worker announced its exit and has not replied since."""
        if self._exit_announced_at is None or self._unresponsive_since is None:
            return False
        return (
            now - max(self._exit_announced_at, self._unresponsive_since)
            > EXIT_CONFIRMATION_DELAY
        )

    def _list_checkpoints(self) -> dict[TaskName, CheckpointToken]:
        return {
            task: run.checkpoint for task, run in self.active.items() if run.checkpoint
        }

    def _may_extend_lease(self) -> bool:
        """Return whether a view should extend the lease.

        A call without a reply may still have extended the lease. If repeated
        calls to an unresponsive worker did so, its lease would never be known to
        have lapsed.
        """
        return self._lease.has_clock and self._unresponsive_since is None

    def _handle_reply(self, worker_clock: timedelta) -> None:
        if self._unresponsive_since is not None:
            log_event(logger, logging.INFO, "worker-regained", worker=self.worker)
        self._unresponsive_since = None
        self._lease.update_clock(worker_clock)

    def _handle_no_reply(self) -> None:
        if self._unresponsive_since is None:
            self._unresponsive_since = self._clock.monotonic()
            log_event(logger, logging.WARNING, "worker-silent", worker=self.worker)

    def _log_failure(
        self, event: str, key: RunKey | None, failure: CallFailure
    ) -> None:
        log_event(
            logger,
            logging.INFO,
            event,
            worker=self.worker,
            task=key.task if key else None,
            run=key.run if key else None,
            failure=str(failure),
        )


def _convert_end(end: ListedEnd) -> EndedRun:
    return EndedRun(end.task, end.run, end.end, end.checkpoint)
