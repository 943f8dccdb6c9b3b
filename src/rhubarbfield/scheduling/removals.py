"""Removal of workers that have ended, and what is known of their last moments."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import RemoveWorker
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.metrics import (
    RUNS_ENDED,
    TASKS_GIVEN_UP,
    WORKERS_GONE,
)
from rhubarbfield.scheduling.model import CheckpointToken, TaskName
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.recording import propose_until_committed
from rhubarbfield.scheduling.registry import SessionRegistry
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.silences import (
    MAX_PAST_SILENCES,
    PastSilences,
    Silence,
)
from rhubarbfield.scheduling.state import (
    RunEnd,
    SchedulingState,
    TaskPhase,
)
from rhubarbfield.scheduling.suspicion import assess_runs, is_common_cause
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

MAX_CRASHED_WORKERS = 1024  # that are remembered
# For a reply that lists ends and is under way as the worker ends.
LAST_VIEW_TIMEOUT = timedelta(milliseconds=300)


class RemovalCause(Enum):
    """Why an incarnation of a machine ended.

    Attributes
    ----------
    LEFT
        It had announced that it would.
    CRASHED
        Another incarnation answers at its address, without an announcement.
    """

    LEFT = "left"
    CRASHED = "crashed"


class Removals:
    """Records that workers have ended.

    Parameters
    ----------
    log
        The deployment's log.
    registry
        The leader's sessions with the workers.
    clock
        Source of time.
    settle_ends
        Returns once all ends that are known so far are committed.
    on_lost
        Called with each run that ended with its worker.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        registry: SessionRegistry,
        clock: Clock,
        *,
        settle_ends: Callable[[], Awaitable[None]],
        on_lost: Callable[[RunKey], None],
    ) -> None:
        self._log = log
        self._registry = registry
        self._clock = clock
        self._settle_ends = settle_ends
        self._on_lost = on_lost
        self._past_silences = PastSilences()
        # Removed workers on which a run had just started.
        self._ended_by_start: deque[WorkerId] = deque(maxlen=MAX_PAST_SILENCES)
        self._in_progress: dict[WorkerId, trio.Event] = {}
        # When workers were removed as crashed, the latest last.
        self._crashed_at: dict[WorkerId, timedelta] = {}

    def check_report(self, worker: WorkerId) -> None:
        """Log the report of a worker that was removed as crashed.

        It may have been under way since before the crash.
        """
        self._check_life("removed-worker-reported", logging.INFO, worker)

    def check_view(self, worker: WorkerId) -> None:
        """Log the first view of a worker after it was removed as crashed."""
        if worker in self._in_progress:  # the view may be older than the crash
            return
        self._check_life("removed-worker-answered", logging.WARNING, worker)
        self._crashed_at.pop(worker, None)

    def _check_life(self, event: str, level: int, worker: WorkerId) -> None:
        crashed_at = self._crashed_at.get(worker)
        if crashed_at is not None:
            age = self._clock.monotonic() - crashed_at
            log_event(logger, level, event, worker=worker, age=age)

    async def remove(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that an incarnation of a machine has ended.

        Several calls to one worker may show that at the same time.
        """
        if worker in self._in_progress:
            await self._in_progress[worker].wait()
            return
        removed = self._in_progress[worker] = trio.Event()
        try:
            await self._remove(worker, checkpoints)
        finally:
            removed.set()
            del self._in_progress[worker]

    async def _remove(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        # The removal makes lost what is not recorded as ended before.
        session = self._registry.sessions.get(worker)
        if session is not None:
            with trio.move_on_after(LAST_VIEW_TIMEOUT.total_seconds()):
                await session.wait_for_view()
        await self._settle_ends()
        session = self._registry.sessions.get(worker)
        record = self._state.workers.get(worker)
        runs = {} if record is None else dict(record.runs)
        crashed: tuple[CrashedRun, ...] = ()
        if session is not None:
            if not session.is_leaving:
                crashed = tuple(self._list_crashed(session))
            self._report(session, crashed)
        # The commit closes the session, and may so end this task.
        for task, run in runs.items():
            self._on_lost(RunKey(task, run))
        command = RemoveWorker(worker=worker, checkpoints=checkpoints, crashed=crashed)
        await propose_until_committed(self._log, command, self._clock)
        self._report_given_up(crashed)

    def assess_runs(self, session: WorkerSession) -> list[CrashedRun]:
        """Return what a crash of a worker says about the runs it has."""
        return assess_runs(
            session.presence.list_runs(),
            has_common_cause=self._judge_cause(self._list_simultaneous(session)),
            find_step=self._state.find_step,
        )

    @property
    def _state(self) -> SchedulingState:
        return self._log.state.scheduling

    def _list_crashed(self, session: WorkerSession) -> list[CrashedRun]:
        """Return the runs that a crash ended, among them those of a lapsed lease."""
        record = self._state.workers.get(session.worker)
        lapsed = [] if record is None else record.lapsed
        counted = {each.task for each in lapsed}
        assessed = self.assess_runs(session)
        return [*lapsed, *(each for each in assessed if each.task not in counted)]

    def _judge_cause(self, simultaneous: list[WorkerId]) -> bool:
        """Return whether workers that fell silent together had a common cause."""
        return is_common_cause(
            len(simultaneous),
            lambda: sum(not self._had_fresh_runs(worker) for worker in simultaneous),
        )

    def _had_fresh_runs(self, worker: WorkerId) -> bool:
        session = self._registry.sessions.get(worker)
        if session is not None:
            return session.presence.has_fresh_runs
        return worker in self._ended_by_start

    def _list_simultaneous(self, session: WorkerSession) -> list[WorkerId]:
        return self._past_silences.list_simultaneous(
            session.worker, self._find_silence(session), self._registry.map_silences()
        )

    def _find_silence(self, session: WorkerSession) -> Silence:
        now = self._clock.monotonic()
        return session.presence.silence or Silence(session.last_contact_at, now)

    def _report(self, session: WorkerSession, crashed: tuple[CrashedRun, ...]) -> None:
        """Log what is lost with a worker, and how it fell silent."""
        worker = session.worker
        record = self._state.workers.get(worker)
        if record is None:
            return
        now = self._clock.monotonic()
        silence = self._find_silence(session)
        simultaneous = self._list_simultaneous(session)
        cause = RemovalCause.LEFT if session.is_leaving else RemovalCause.CRASHED
        log_event(
            logger,
            logging.INFO,
            "worker-gone",
            worker=worker,
            machine=record.machine,
            cause=cause.value,
            heard=now - silence.heard_at,
            missed=now - silence.missed_at,
            simultaneous=len(simultaneous),
            common_cause=self._judge_cause(simultaneous),
            runs=len(record.runs),
        )
        WORKERS_GONE.labels(cause.value).inc()
        if cause is RemovalCause.CRASHED:
            self._crashed_at[worker] = now
            if len(self._crashed_at) > MAX_CRASHED_WORKERS:
                del self._crashed_at[next(iter(self._crashed_at))]
        self._past_silences.add(worker, silence)
        if session.presence.has_fresh_runs:
            self._ended_by_start.append(worker)
        assessed = {each.task: each for each in crashed}
        for run in session.presence.list_runs():
            found = assessed.get(run.key.task)
            log_event(
                logger,
                logging.INFO,
                "ended-run-assessed" if run.has_ended else "run-lost",
                task=run.key.task,
                run=run.key.run,
                worker=worker,
                worked=run.worked,
                is_certain=run.is_certain,
                evidence=None if found is None else found.evidence.value,
                recent=None if found is None else found.recent,
            )
            if not run.has_ended:
                RUNS_ENDED.labels(RunEnd.LOST.value).inc()

    def _report_given_up(self, crashed: tuple[CrashedRun, ...]) -> None:
        """Log the tasks that the crash of a worker has ended for good."""
        for each in crashed:
            found = self._state.find_task(each.task)
            if found is None or found[3].phase is not TaskPhase.FAILED:
                continue
            task = found[3]
            log_event(
                logger,
                logging.WARNING,
                "task-given-up",
                task=each.task,
                run=each.run,
                crashes=task.crashes,
                certain_crashes=task.certain_crashes,
                blame=task.blame,
                evidence=each.evidence.value,
            )
            TASKS_GIVEN_UP.inc()
