"""Starts of the runs that a placement round has chosen."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta

from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog, Unavailable
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.commands import RunsRecorded, RunStart, StartRuns
from rhubarbfield.scheduling.metrics import FIRST_START_SECONDS, RUNS_PLACED
from rhubarbfield.scheduling.orders import Start
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.recording import PROPOSE_RETRY_DELAY
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.start_stages import StageTimes, StartStage
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")


class RunStarter:
    """Records chosen runs in the log, then orders their workers to start them.

    Parameters
    ----------
    log
        The deployment's log.
    sessions
        The leader's session with each worker.
    quarantine
        The quarantine of workers.
    backlog
        Ages of open jobs.
    stages
        Durations of the stages of starts.
    clock
        Source of time.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        *,
        sessions: Mapping[WorkerId, WorkerSession],
        quarantine: WorkerQuarantine,
        backlog: Backlog,
        stages: StageTimes,
        clock: Clock,
    ) -> None:
        self._log = log
        self._sessions = sessions
        self._quarantine = quarantine
        self._backlog = backlog
        self._stages = stages
        self._clock = clock

    @property
    def _state(self) -> SchedulingState:
        return self._log.state.scheduling

    async def start(self, starts: tuple[RunStart, ...]) -> None:
        """Record runs and order those that are recorded to start."""
        unstarted = self._list_unstarted(starts)
        chosen_at = self._clock.monotonic()
        recorded = await self._record_starts(starts)
        self._stages.record(StartStage.RECORD, self._clock.monotonic() - chosen_at)
        self.order(recorded, chosen_at)
        self._measure_first_starts(unstarted)

    async def _record_starts(self, starts: tuple[RunStart, ...]) -> list[RunStart]:
        """Record runs that are to start; return those that are recorded.

        A proposal with an unknown outcome is repeated until it is committed. The
        state then shows which runs are recorded, whichever proposal did it.
        """
        is_in_doubt = False
        while True:
            result = await self._log.propose(StartRuns(starts=starts))
            match result:
                case Success(RunsRecorded()):
                    return [start for start in starts if self._is_recorded(start)]
                case Failure(Unavailable(in_doubt=True)):
                    is_in_doubt = True
            log_event(
                logger,
                logging.WARNING,
                "starts-not-recorded",
                count=len(starts),
                in_doubt=is_in_doubt,
            )
            await self._clock.sleep(PROPOSE_RETRY_DELAY)
            if not is_in_doubt:
                return []

    def _is_recorded(self, start: RunStart) -> bool:
        found = self._state.find_task(start.task)
        return found is not None and found[3].live.get(start.run) == start.worker

    def _list_unstarted(self, starts: Iterable[RunStart]) -> list[Job]:
        """Return the jobs of ``starts`` that have not started any task yet."""
        found = (self._state.find_task(start.task) for start in starts)
        jobs = {each[0].job: each[0] for each in found if each is not None}
        return [job for job in jobs.values() if not job.started]

    def _measure_first_starts(self, jobs: Iterable[Job]) -> None:
        for job in jobs:
            if job.started:
                age = self._backlog.find_age(job)
                FIRST_START_SECONDS.observe(age.total_seconds())
                self._stages.record(StartStage.FIRST, age)

    def order(self, starts: Iterable[RunStart], chosen_at: timedelta) -> None:
        """Order workers to start recorded runs.

        Parameters
        ----------
        starts
            The runs that a round has chosen.
        chosen_at
            Monotonic time at which the workers were chosen.
        """
        ordered: dict[WorkerId, list[RunKey]] = {}
        for start in starts:
            if self._send(start, chosen_at):
                key = RunKey(start.task, start.run)
                ordered.setdefault(start.worker, []).append(key)
        now = self._clock.monotonic()
        for worker, runs in ordered.items():
            steps = (self._state.find_step(key.task) for key in runs)
            is_standing = any(step is not None and step.standing for step in steps)
            self._quarantine.record_probe(worker, runs, now, is_standing=is_standing)

    def _send(self, start: RunStart, chosen_at: timedelta) -> bool:
        """Order a worker to start a recorded run; return whether it was ordered."""
        session = self._sessions.get(start.worker)
        found = self._state.find_task(start.task)
        if session is None or found is None or not self._state.is_wanted(start.task):
            return False
        job, occurrence, step, task = found
        log_event(
            logger,
            logging.INFO,
            "run-placed",
            task=start.task,
            run=start.run,
            worker=start.worker,
            waited=self._backlog.find_age(job),
            view_age=session.view_age,
        )
        RUNS_PLACED.inc()
        self._backlog.record_start(job.job)
        return session.start(
            Start(
                RunKey(start.task, start.run),
                job.submission.payload,
                job.find_checkpoint(occurrence, step, task),
                chosen_at,
                recorded_at=self._clock.monotonic(),
            )
        )
