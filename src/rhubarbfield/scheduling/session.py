"""What a leader knows of one worker and does with it."""

from __future__ import annotations

import logging
from collections import deque
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.commands import EndedRun, WorkerEnds
from rhubarbfield.scheduling.hosts import SessionHost
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
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd, Worker
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

LEAVE_SILENCE = timedelta(seconds=3)  # a worker that got no reply ends by then
RETRY_PAUSE = timedelta(milliseconds=250)  # between two tries of a silent worker
DEPOSED_PAUSE = timedelta(seconds=1)  # until the lease of a deposed leader is over
FULL_SPEED = 100  # percent
ROOM_PAUSE = timedelta(milliseconds=400)  # a view shows the real room by then


class WorkerSession:
    """A leader's dealings with one worker, from its first report to its end.

    Parameters
    ----------
    address
        The worker.
    host
        The leader.
    calls
        The way to workers.
    clock
        The time.
    settings
        Times and limits.
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
        self._ordered = trio.Event()
        self._watched = trio.Event()
        self._starts: dict[RunKey, StartState] = {}
        self._stopping: set[RunKey] = set()
        self._pacing: dict[RunKey, int | None] = {}
        opened = clock.monotonic()
        self._lease = WorkerLease(clock, settings)
        self._silent_since: timedelta | None = None
        self._rejects_until = timedelta()
        self._acknowledged = 0
        self._reported_at = opened
        self._left_at: timedelta | None = None
        self._viewed_at: timedelta | None = None
        self._progress = Progress()
        self.active: dict[TaskName, ActiveRun] = {}

    @property
    def worker(self) -> WorkerId:
        """The worker's id."""
        return self.address.worker

    @property
    def is_usable(self) -> bool:
        """Whether new work may be given to the worker now."""
        now = self._clock.monotonic()
        if not self._lease.has_clock or now < self._rejects_until:
            return False
        is_recent = now - self.heard_at <= self._settings.silence_limit
        if self._left_at is not None:
            return False
        return self._silent_since is None and is_recent

    @property
    def view_age(self) -> timedelta | None:
        """How old the latest view of the worker is; None before the first."""
        if self._viewed_at is None:
            return None
        return self._clock.monotonic() - self._viewed_at

    @property
    def heard_at(self) -> timedelta:
        """When the worker was last heard, by a report or a reply."""
        return max(self._reported_at, self._lease.read_at)

    def note_report(self, worker_clock: timedelta | None) -> None:
        """Learn that the worker reported itself; the report may be late."""
        self._reported_at = self._clock.monotonic()
        if not self._lease.has_clock and worker_clock is not None:
            self._lease.note_clock(worker_clock)
        if self._silent_since is not None:
            self._watched.set()

    def start(self, start: Start) -> None:
        """Tell the worker to start a run that is recorded."""
        self._starts[start.key] = StartState.QUEUED
        self._put(start)
        self._watched.set()

    def stop(self, key: RunKey) -> None:
        """Tell the worker to stop a run; told again it changes nothing."""
        if key not in self._stopping:
            self._stopping.add(key)
            self._put(Stop(key))
            self._watched.set()

    def pace(self, key: RunKey, percent: int) -> None:
        """Tell the worker to let a run work at ``percent`` of its speed."""
        if self.get_pace(key) != percent:
            self._pacing[key] = percent
            self._progress.restart(key, self._clock.monotonic())
            self._put(Pace(key, percent))

    def get_pace(self, key: RunKey) -> int | None:
        """Return the share of its speed, in percent, that a run was set to.

        It is None where it is not known: an earlier leader may have set it, or
        an order got no answer.
        """
        if key in self._pacing:
            return self._pacing[key]
        return FULL_SPEED if key in self._starts else None

    def is_stopping(self, key: RunKey) -> bool:
        """Say whether a run has been told to stop."""
        return key in self._stopping

    def note_leave(self) -> None:
        """Learn that the worker said it ends."""
        if self._left_at is None:
            self._left_at = self._clock.monotonic()
        self._watched.set()

    def list_stalled(self, limit: timedelta) -> list[RunKey]:
        """Return runs that made no progress for ``limit``, but for paused ones."""
        return [
            key
            for key in self._progress.list_stalled(limit)
            if self.get_pace(key) != 0 and key not in self._stopping
        ]

    def wake(self) -> None:
        """Look at the worker now."""
        self._watched.set()

    async def run(self) -> None:
        """Give orders and watch the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._give_orders)
            nursery.start_soon(self._watch)

    def _put(self, order: Order) -> None:
        self._orders.append(order)
        self._ordered.set()

    async def _give_orders(self) -> None:
        while True:
            await self._ordered.wait()
            self._ordered = trio.Event()
            while self._orders:
                order = self._orders.popleft()
                if isinstance(order, Start):
                    await self._order_start(order)
                elif isinstance(order, Stop):
                    await self._order_stop(order.key)
                else:
                    await self._order_pace(order)

    async def _order_start(self, start: Start) -> None:
        in_doubt = False
        for _ in range(self._settings.order_attempts):
            term = self._host.get_term()
            if term is None or self._is_over(start.key):
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
                    self._note_reply(worker_clock)
                    self._starts[start.key] = StartState.SETTLED
                    return
                case Failure(failure):
                    if await self._settle_refused(start, failure, in_doubt):
                        return
                    in_doubt = in_doubt or isinstance(failure, NoReply)
            await self._clock.sleep(RETRY_PAUSE)
        # Once the stop is answered, the run can no longer start there.
        self.stop(start.key)

    async def _settle_refused(
        self, start: Start, failure: CallFailure, in_doubt: bool
    ) -> bool:
        """Act on a failed order to start; return whether it is settled.

        Parameters
        ----------
        start
            What was ordered.
        failure
            What came of it.
        in_doubt
            Whether an earlier order without a reply may still be carried out.
        """
        self._log_failure("start-failed", start.key, failure)
        match failure:
            case OtherLife():
                await self._end_life()
                return True
            case Refused(refusal=refusal, clock=worker_clock):
                if worker_clock is not None:
                    self._note_reply(worker_clock)
                if refusal is Refusal.DEPOSED:
                    await self._clock.sleep(DEPOSED_PAUSE)
                    return False
                self._rejects_until = self._clock.monotonic() + ROOM_PAUSE
                if in_doubt and refusal is not Refusal.SUPERSEDED:
                    self.stop(start.key)
                    return True
                self._starts[start.key] = StartState.SETTLED
                if refusal is not Refusal.SUPERSEDED:
                    await self._record(start.key, RunEnd.REJECTED)
                return True
            case NoReply():
                self._note_silence()
                return False
        raise AssertionError

    async def _order_stop(self, key: RunKey) -> None:
        while (term := self._host.get_term()) is not None:
            order = StopOrder(task=key.task, run=key.run, term=term)
            result = await self._calls.stop(self.address, order)
            match result:
                case Success(worker_clock):
                    self._note_reply(worker_clock)
                    self._starts[key] = StartState.SETTLED
                    self._watched.set()
                    return
                case Failure(failure):
                    self._log_failure("stop-failed", key, failure)
                    if isinstance(failure, OtherLife):
                        await self._end_life()
                        return
                    if isinstance(failure, Refused):
                        self._note_stop_refused(key, failure)
                        return
                    self._note_silence()
            if self._host.find_worker(self.worker) is None or self._is_over(key):
                return
            await self._clock.sleep(RETRY_PAUSE)

    def _note_stop_refused(self, key: RunKey, failure: Refused) -> None:
        """Tell a run that can no longer start from a leader that is deposed."""
        if failure.refusal is Refusal.SUPERSEDED:
            self._starts[key] = StartState.SETTLED
        else:
            self._stopping.discard(key)

    def _is_over(self, key: RunKey) -> bool:
        worker = self._host.find_worker(self.worker)
        return worker is None or worker.runs.get(key.task) != key.run

    async def _order_pace(self, order: Pace) -> None:
        term = self._host.get_term()
        key = order.key
        if term is None or self._is_over(key):
            return
        wanted = PaceOrder(task=key.task, run=key.run, percent=order.percent, term=term)
        result = await self._calls.pace(self.address, wanted)
        match result:
            case Success(worker_clock):
                self._note_reply(worker_clock)
            case Failure(failure):
                self._log_failure("pace-failed", key, failure)
                self._pacing[key] = None

    async def _watch(self) -> None:
        while True:
            if not self._has_to_watch():
                self._watched = trio.Event()
                await self._watched.wait()
            await self._view_once()
            await self._clock.sleep(self._settings.view_pause)

    def _has_to_watch(self) -> bool:
        worker = self._host.find_worker(self.worker)
        if worker is None:
            return False
        if self._left_at is not None:
            return True
        return bool(worker.runs) or worker.recorded_ends > self._acknowledged

    async def _view_once(self) -> None:
        worker = self._host.find_worker(self.worker)
        term = self._host.get_term()
        if worker is None or term is None:
            return
        known = dict(worker.runs)
        recorded_ends = worker.recorded_ends
        settled = {key for key, at in self._starts.items() if at is StartState.SETTLED}
        request = ViewRequest(
            recorded_ends=recorded_ends,
            lease_end=self._lease.extend() if self._may_extend() else None,
            wait_timeout=self._choose_patience(),
            term=term,
        )
        result = await self._calls.view(self.address, request)
        match result:
            case Success(view):
                self._note_reply(view.clock)
                self._acknowledged = recorded_ends
                await self._take_view(view, known, settled)
            case Failure(OtherLife()):
                await self._end_life()
            case Failure(failure):
                self._log_failure("view-failed", None, failure)
                self._note_silence()
                await self._check_lapse()
                await self._clock.sleep(RETRY_PAUSE)

    def _choose_patience(self) -> timedelta:
        if self._silent_since is not None or not self._lease.has_clock:
            return timedelta()
        worker = self._host.find_worker(self.worker)
        if worker is not None and self._host.has_to_watch_closely(worker):
            return self._settings.watch_patience
        return self._settings.view_patience

    async def _take_view(
        self,
        view: WorkerView,
        known: dict[TaskName, RunNumber],
        settled: set[RunKey],
    ) -> None:
        self.active = {run.task: run for run in view.active}
        self._viewed_at = self._clock.monotonic()
        self._progress.note(view.active, self._clock.monotonic())
        worker = self._host.find_worker(self.worker)
        if worker is None:
            return
        listed = [end for end in view.ends if end.number > worker.recorded_ends]
        ends = [_copy_end(end) for end in listed]
        if not view.truncated:
            ends.extend(self._find_vanished(view, known, settled))
        self._stop_strangers(view, worker)
        self._host.note_view(self.worker)
        if ends:
            last = max((end.number for end in listed), default=0)
            for end in ends:
                self._forget_run(RunKey(end.task, end.run))
            report = WorkerEnds(self.worker, tuple(ends), last)
            await self._host.record_ends(report)

    def _find_vanished(
        self,
        view: WorkerView,
        known: dict[TaskName, RunNumber],
        settled: set[RunKey],
    ) -> list[EndedRun]:
        """Return runs that were recorded but are neither there nor ended."""
        present = {(run.task, run.run) for run in view.active}
        present |= {(end.task, end.run) for end in view.ends}
        vanished = []
        for task, run in known.items():
            key = RunKey(task, run)
            # Orders of earlier leaders are void once this term was seen there.
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
                vanished.append(EndedRun(task, run, RunEnd.LOST))
        return vanished

    def _stop_strangers(self, view: WorkerView, worker: Worker) -> None:
        """Stop what runs there without a record."""
        for run in view.active:
            key = RunKey(run.task, run.run)
            if worker.runs.get(run.task) != run.run and key not in self._starts:
                self.stop(key)

    def _forget_run(self, key: RunKey) -> None:
        self._starts.pop(key, None)
        self._stopping.discard(key)
        self._pacing.pop(key, None)

    async def _record(self, key: RunKey, end: RunEnd) -> None:
        self._forget_run(key)
        ended = EndedRun(key.task, key.run, end)
        await self._host.record_ends(WorkerEnds(self.worker, (ended,)))

    async def _end_life(self) -> None:
        await self._host.remove_worker(self.worker, self._list_checkpoints())

    async def _check_lapse(self) -> None:
        """Record runs as lost once they have surely ended."""
        now = self._clock.monotonic()
        if self._has_left(now):
            await self._end_life()
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
            silent=self._clock.monotonic() - self.heard_at,
        )
        saved = self._list_checkpoints()
        ends = tuple(
            EndedRun(task, run, RunEnd.LOST, saved.get(task, NO_CHECKPOINT))
            for task, run in worker.runs.items()
        )
        for end in ends:
            self._forget_run(RunKey(end.task, end.run))
        await self._host.record_ends(WorkerEnds(self.worker, ends))

    def _has_left(self, now: timedelta) -> bool:
        """Say whether a worker that said it ends has been silent ever since."""
        if self._left_at is None or self._silent_since is None:
            return False
        return now - max(self._left_at, self._silent_since) > LEAVE_SILENCE

    def _list_checkpoints(self) -> dict[TaskName, CheckpointToken]:
        return {
            task: run.checkpoint for task, run in self.active.items() if run.checkpoint
        }

    def _may_extend(self) -> bool:
        """Say whether a view should extend the lease.

        An unanswered order may have extended it all the same: asked again and
        again, a silent worker would never be known to have lapsed.
        """
        return self._lease.has_clock and self._silent_since is None

    def _note_reply(self, worker_clock: timedelta) -> None:
        if self._silent_since is not None:
            log_event(logger, logging.INFO, "worker-regained", worker=self.worker)
        self._silent_since = None
        self._lease.note_clock(worker_clock)

    def _note_silence(self) -> None:
        if self._silent_since is None:
            self._silent_since = self._clock.monotonic()
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


def _copy_end(end: ListedEnd) -> EndedRun:
    return EndedRun(end.task, end.run, end.end, end.checkpoint)
