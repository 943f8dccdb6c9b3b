"""Leading a deployment: placing work and keeping watch over workers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from datetime import timedelta

import msgspec
import trio
from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.appliers import WholeSchedulingState
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.commands import (
    EndRuns,
    ForgetJobs,
    OpenOccurrences,
    RemoveWorker,
    RunsRecorded,
    RunStart,
    SaveHarm,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
    WorkerReport,
)
from rhubarbfield.scheduling.interference import Interference
from rhubarbfield.scheduling.model import CheckpointToken, Queue, TaskName
from rhubarbfield.scheduling.neighbours import Neighbours
from rhubarbfield.scheduling.placing import (
    Placer,
    WaitingStep,
    WorkerRoom,
    admits,
    may_hold,
    measure_rooms,
)
from rhubarbfield.scheduling.ports import WorkerAddress, WorkerCalls
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import Start, WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import (
    Job,
    RunEnd,
    SchedulingState,
    TaskPhase,
    Worker,
)
from rhubarbfield.scheduling.trust import Trust
from rhubarbfield.types import JobId, LogIndex, Term, WorkerId

logger = logging.getLogger(__name__)

PROPOSE_PAUSE = timedelta(milliseconds=100)  # before a proposal is repeated
ROUND_PAUSE = timedelta(milliseconds=10)  # changes that come together share a round
IDLE_ROUND = timedelta(milliseconds=250)  # due times and distrust are looked at
MILLISECOND = timedelta(milliseconds=1)


class Heartbeat(msgspec.Struct, frozen=True):
    """What a worker sends from time to time.

    Attributes
    ----------
    report
        What it says of itself.
    sequence
        Grows with each heartbeat of this life.
    clock
        Its own clock, if it told.
    remaining
        At least so long it goes on, if it is draining and told.
    """

    report: WorkerReport
    sequence: int
    clock: timedelta | None = None
    remaining: timedelta | None = None


class Batcher:
    """Joins what several tasks want to record into one proposal.

    Parameters
    ----------
    propose
        Commits the ends of runs; repeats until it has.
    """

    def __init__(self, propose: Callable[[tuple[WorkerEnds, ...]], object]) -> None:
        self._propose = propose
        self._pending: list[WorkerEnds] = []
        self._recorded = trio.Event()
        self._filled = trio.Event()

    async def record(self, ends: WorkerEnds) -> None:
        """Return once ``ends`` are committed."""
        self._pending.append(ends)
        recorded = self._recorded
        self._filled.set()
        await recorded.wait()

    async def run(self) -> None:
        """Commit what is pending, until cancelled."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            pending, self._pending = self._pending, []
            recorded, self._recorded = self._recorded, trio.Event()
            await self._propose(tuple(pending))  # type: ignore[misc]
            recorded.set()


class SchedulingLeader:
    """What the leader does in one term.

    Parameters
    ----------
    log
        The deployment's log, which this instance leads.
    calls
        The way to workers.
    clock
        The time.
    settings
        Times and limits.
    """

    def __init__(
        self,
        log: ReplicatedLog[WholeSchedulingState],
        *,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
    ) -> None:
        self._log = log
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._trust = Trust(settings)
        self._interference = Interference()
        self._interference.restore(self.state.harm.values())
        self._neighbours = Neighbours(self, self._interference, clock)
        self._backlog = Backlog(clock)
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._scopes: dict[WorkerId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._avoided: dict[TaskName, set[WorkerId]] = {}
        self._ended_at: dict[JobId, timedelta] = {}
        self._ends = Batcher(self._commit_ends)
        leadership = log.replica.leadership
        self._term = leadership.term if leadership is not None else Term(0)
        self._reported_clocks: dict[WorkerId, timedelta] = {}
        self._sequences: dict[WorkerId, int] = {}

    @property
    def state(self) -> SchedulingState:
        """The replicated state."""
        return self._log.state.scheduling

    async def run(self) -> None:
        """Lead until cancelled."""
        log_event(logger, logging.INFO, "leading-started", term=self._term)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._ends.run)
            nursery.start_soon(self._follow_state)
            nursery.start_soon(self._wake_regularly)
            nursery.start_soon(self._place_work)
            nursery.start_soon(self._save_harm)

    # What sessions need of their leader.

    def find_worker(self, worker: WorkerId) -> Worker | None:
        """Return the replicated record of a worker."""
        return self.state.workers.get(worker)

    def get_term(self) -> Term | None:
        """Return the term in which orders may be given now, or None."""
        leadership = self._log.replica.leadership
        if leadership is None or leadership.term != self._term:
            return None
        return self._term

    async def record_ends(self, ends: WorkerEnds) -> None:
        """Record ends; returns once they are committed."""
        await self._ends.record(ends)

    async def remove_worker(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that a life of a machine is over."""
        log_event(logger, logging.INFO, "worker-gone", worker=worker)
        await self._propose_until_done(
            RemoveWorker(worker=worker, checkpoints=checkpoints)
        )

    def note_view(self, worker: WorkerId) -> None:
        """Learn that a worker has just been seen."""
        record = self.find_worker(worker)
        session = self._sessions.get(worker)
        if record is not None and session is not None:
            self._neighbours.note_view(record, session)
        self._wake.set()

    def has_to_watch_closely(self, worker: Worker) -> bool:
        """Return whether tasks there are harmed by their neighbours at once."""
        return self._neighbours.has_both(worker)

    def find_other_place(self, task: TaskName, worker: WorkerId) -> bool:
        """Say whether a task could go on elsewhere without harm, right now."""
        found = self.state.find_task(task)
        if found is None:
            return False
        job, occurrence, number, _ = found
        queue = self.state.find_queue(job.queue)
        if queue is None:
            return False
        waiting = WaitingStep(job, queue, occurrence, number)
        rooms = self._measure_rooms()
        rooms.pop(worker, None)
        return any(
            may_hold(waiting, room) and admits(waiting.step, room, self._interference)
            for room in rooms.values()
        )

    # What others ask of the leader.

    async def take_report(self, beat: Heartbeat) -> bool:
        """Take in what a worker says of itself; return whether it is recorded.

        One that was overtaken by a later one changes nothing.
        """
        report, clock = beat.report, beat.clock
        if beat.sequence <= self._sequences.get(report.worker, -1):
            return report.worker in self.state.workers
        if clock is not None:
            self._reported_clocks[report.worker] = clock
        session = self._sessions.get(report.worker)
        if session is not None:
            session.note_report(clock)
        if not await self._record_report(report):
            return False
        self._sequences[report.worker] = beat.sequence
        return True

    async def _record_report(self, report: WorkerReport) -> bool:
        if _is_known(self.state, report):
            return True
        self._wake_former_lives(report)
        result = await self._log.propose(UpdateWorkers(reports=(report,)))
        if not isinstance(result, Success):
            return False
        log_event(
            logger,
            logging.INFO,
            "worker-reported",
            worker=report.worker,
            machine=report.machine,
            draining=report.draining,
        )
        return True

    async def forget_worker(self, worker: WorkerId) -> bool:
        """Take in that a worker ends; return whether it is recorded."""
        session = self._sessions.get(worker)
        if session is not None:
            session.note_leave()
        return True

    def _wake_former_lives(self, report: WorkerReport) -> None:
        for worker in self.state.workers.values():
            is_same = worker.machine == report.machine or (
                worker.address == report.address
            )
            if is_same and worker.worker in self._sessions:
                self._sessions[worker.worker].wake()

    # Loops.

    async def _wake_regularly(self) -> None:
        while True:
            await self._clock.sleep(IDLE_ROUND)
            self._wake.set()

    async def _follow_state(self) -> None:
        """Keep a session with each worker, and wake placing at each change."""
        while True:
            seen = self._log.changes
            self._match_sessions()
            self._wake.set()
            await self._log.wait_change(seen)

    def _match_sessions(self) -> None:
        for worker in self.state.workers.values():
            session = self._sessions.get(worker.worker)
            if session is None or session.address.address != worker.address:
                self._open_session(worker)
        for gone in self._sessions.keys() - self.state.workers.keys():
            self._close_session(gone)

    def _open_session(self, worker: Worker) -> None:
        assert self._nursery is not None
        if worker.worker in self._sessions:
            self._close_session(worker.worker)
        session = WorkerSession(
            WorkerAddress(worker.worker, worker.address),
            host=self,
            calls=self._calls,
            clock=self._clock,
            settings=self._settings,
        )
        session.note_report(self._reported_clocks.get(worker.worker))
        self._sessions[worker.worker] = session
        scope = self._scopes[worker.worker] = trio.CancelScope()
        self._nursery.start_soon(self._run_session, session, scope)

    async def _run_session(
        self, session: WorkerSession, scope: trio.CancelScope
    ) -> None:
        with scope:
            await session.run()

    def _close_session(self, worker: WorkerId) -> None:
        del self._sessions[worker]
        self._scopes.pop(worker).cancel()
        self._trust.forget(worker)
        self._neighbours.forget(worker)
        self._reported_clocks.pop(worker, None)
        self._sequences.pop(worker, None)

    async def _save_harm(self) -> None:
        """Leave what is learned of images to the next leader."""
        while True:
            await self._clock.sleep(self._settings.save_harm_every)
            changed = self._interference.take_changes()
            if changed:
                await self._propose_until_done(SaveHarm(estimates=changed))

    async def _place_work(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if self.get_term() is None:
                continue
            self._stop_unwanted()
            self._stop_stalled()
            self._evacuate()
            await self._open_due()
            await self._forget_old()
            await self._forget_silent()
            await self._start_some()
            await self._clock.sleep(ROUND_PAUSE)

    def _measure_rooms(self) -> dict[WorkerId, WorkerRoom]:
        rooms = measure_rooms(self.state, self._is_usable)
        for worker, room in rooms.items():
            room.exposures = self._neighbours.list_exposures(room.worker)
            room.failures = self._trust.count_failures(worker)
            if self._trust.is_on_probation(worker):
                room.limit = 1
        return rooms

    async def _start_some(self) -> None:
        rooms = self._measure_rooms()
        placer = Placer(
            self.state,
            rooms,
            avoided=self._avoided,
            interference=self._interference,
            rank=self._rank,
            is_starved=self._is_starved,
        )
        starts = placer.choose()
        if not starts:
            return
        result = await self._log.propose(StartRuns(starts=starts))
        match result:
            case Success(RunsRecorded(recorded=recorded)):
                for position in recorded:
                    self._order(starts[position])
            case _:
                log_event(
                    logger, logging.WARNING, "starts-not-recorded", count=len(starts)
                )
                await self._clock.sleep(PROPOSE_PAUSE)

    def _order(self, start: RunStart) -> None:
        session = self._sessions.get(start.worker)
        found = self.state.find_task(start.task)
        if session is None or found is None:
            return
        job, _, _, task = found
        log_event(
            logger,
            logging.INFO,
            "run-placed",
            task=start.task,
            run=start.run,
            worker=start.worker,
        )
        session.start(
            Start(
                RunKey(start.task, start.run),
                job.submission.payload,
                task.checkpoint,
            )
        )

    def _rank(self, job: Job, queue: Queue) -> tuple[float, ...]:
        return self._backlog.rank(job, queue)

    def _is_starved(self, job: Job) -> bool:
        return self._backlog.is_idle(job, self._settings.starved_after)

    def _is_usable(self, worker: Worker) -> bool:
        session = self._sessions.get(worker.worker)
        now = self._clock.monotonic()
        return (
            session is not None
            and session.is_usable
            and self._trust.is_trusted(worker.worker, now)
        )

    def _stop_unwanted(self) -> None:
        for worker in self.state.workers.values():
            session = self._sessions.get(worker.worker)
            if session is None:
                continue
            for name, run in worker.runs.items():
                if self._is_unwanted(name):
                    session.stop(RunKey(name, run))

    def _is_unwanted(self, name: TaskName) -> bool:
        found = self.state.find_task(name)
        if found is None:
            return True
        job, _, _, task = found
        return not job.is_open or task.phase in (TaskPhase.DONE, TaskPhase.FAILED)

    def _stop_stalled(self) -> None:
        """Give tasks that make no progress to other workers."""
        now = self._clock.monotonic()
        for worker, session in self._sessions.items():
            stalled = session.list_stalled(self._settings.stalled_after)
            for key in stalled:
                found = self.state.find_task(key.task)
                step = found[0].get_step(found[2]) if found is not None else None
                if step is None or step.standing:
                    continue
                log_event(
                    logger,
                    logging.WARNING,
                    "run-stalled",
                    task=key.task,
                    run=key.run,
                    worker=worker,
                )
                # One task of spare cores may only be short of cores.
                if len(stalled) > 1 or not step.uses_spare_cores:
                    self._trust.note_stall(worker, now)
                self._avoided.setdefault(key.task, set()).add(worker)
                session.stop(key)

    def _evacuate(self) -> None:
        """Stop standing tasks on workers that leave, while there is other room."""
        rooms = self._measure_rooms()
        for worker in self.state.workers.values():
            session = self._sessions.get(worker.worker)
            if session is None or not worker.draining:
                continue
            for name, run in worker.runs.items():
                key = RunKey(name, run)
                if not session.is_stopping(key) and self._has_place(name, rooms):
                    log_event(
                        logger,
                        logging.INFO,
                        "run-evacuated",
                        task=name,
                        run=run,
                        worker=worker.worker,
                    )
                    session.stop(key)

    def _has_place(self, name: TaskName, rooms: dict[WorkerId, WorkerRoom]) -> bool:
        """Take a place for a standing task on another worker, if there is one."""
        found = self.state.find_task(name)
        if found is None:
            return False
        job, occurrence, number, _ = found
        step = job.get_step(number)
        queue = self.state.find_queue(job.queue)
        if queue is None or not step.standing:
            return False
        waiting = WaitingStep(job, queue, occurrence, number)
        for room in rooms.values():
            if may_hold(waiting, room):
                room.take(step)
                return True
        return False

    async def _forget_silent(self) -> None:
        """Drop workers without runs that have not been heard for long."""
        now = self._clock.monotonic()
        for worker in list(self.state.workers.values()):
            session = self._sessions.get(worker.worker)
            if session is None or worker.runs:
                continue
            if now - session.heard_at > self._settings.forget_silent:
                await self.remove_worker(worker.worker, {})

    async def _open_due(self) -> None:
        now_ms = self._clock.now().timestamp() * 1000
        due = [
            (job.job, number)
            for job in self.state.jobs.values()
            for number in _list_due(job, now_ms)
        ]
        if due:
            await self._log.propose(OpenOccurrences(due=tuple(due)))

    async def _forget_old(self) -> None:
        now = self._clock.monotonic()
        old = []
        for job in self.state.jobs.values():
            if not job.is_open:
                ended = self._ended_at.setdefault(job.job, now)
                if now - ended > self._settings.remember_ended:
                    old.append(job.job)
                self._backlog.forget(job.job)
        if old:
            await self._log.propose(ForgetJobs(jobs=tuple(old)))
            for name in old:
                self._ended_at.pop(name, None)

    async def _commit_ends(self, ends: tuple[WorkerEnds, ...]) -> None:
        for report in ends:
            self._learn_outcomes(report)
        await self._propose_until_done(EndRuns(workers=ends))

    def _learn_outcomes(self, report: WorkerEnds) -> None:
        now = self._clock.monotonic()
        for ended in report.ends:
            log_event(
                logger,
                logging.INFO,
                "run-ended",
                task=ended.task,
                run=ended.run,
                worker=report.worker,
                end=ended.end.value,
            )
            if ended.end is RunEnd.DONE:
                self._trust.note_success(report.worker)
                self._avoided.pop(ended.task, None)
            elif ended.end is RunEnd.FAILED:
                job = JobId(ended.task.split(".", 1)[0])
                self._trust.note_failure(report.worker, job, now)
                self._avoided.setdefault(ended.task, set()).add(report.worker)

    async def _propose_until_done(self, command: Command) -> Reply:
        """Commit a command that may safely be proposed again."""
        while True:
            result = await self._log.propose(command)
            if isinstance(result, Success):
                return result.unwrap()
            log_event(
                logger,
                logging.WARNING,
                "proposal-repeated",
                command=type(command).__name__,
                reason=str(result.failure()),
            )
            await self._clock.sleep(PROPOSE_PAUSE)

    @property
    def position(self) -> LogIndex:
        """Up to where the log is applied here."""
        return self._log.position


def _is_known(state: SchedulingState, report: WorkerReport) -> bool:
    worker = state.workers.get(report.worker)
    return (
        worker is not None
        and worker.address == report.address
        and worker.draining == report.draining
        and worker.capacity == report.capacity
        and worker.labels == report.labels
        and worker.service == report.service
    )


def _list_due(job: Job, now_ms: float) -> list[int]:
    recurrence = job.submission.recurrence
    if recurrence is None or not job.is_open:
        return []
    if now_ms < recurrence.first_ms:
        return []
    passed = recurrence.times
    if recurrence.interval_ms > 0:
        elapsed = (now_ms - recurrence.first_ms) / recurrence.interval_ms
        passed = min(passed, math.floor(elapsed) + 1)
    return [number for number in range(passed) if number not in job.occurrences]
