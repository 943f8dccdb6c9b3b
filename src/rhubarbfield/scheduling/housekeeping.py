"""Housekeeping of the leader beside its placement rounds."""

from __future__ import annotations

import functools
import logging
from collections.abc import Mapping, Sequence
from datetime import timedelta
from itertools import takewhile
from typing import Protocol

import trio

from rhubarbfield.clock import MS_PER_SECOND, Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.commands import (
    ForgetJobs,
    OpenOccurrences,
    RemoveWorker,
)
from rhubarbfield.scheduling.headroom import WorkerHeadroom, find_task_step, is_feasible
from rhubarbfield.scheduling.job_index import JobIndex
from rhubarbfield.scheduling.metrics import JOBS, RUNS_DISTURBED
from rhubarbfield.scheduling.model import CheckpointToken, TaskName
from rhubarbfield.scheduling.occurrences import choose_due
from rhubarbfield.scheduling.orders import StopReason
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import (
    Job,
    JobPhase,
    SchedulingState,
)
from rhubarbfield.scheduling.worker_kinds import KindsIndex, WorkerKinds
from rhubarbfield.types import JobId, ServiceName, Term, WorkerId

logger = logging.getLogger(__name__)

REQUEST_DELAY = timedelta(milliseconds=25)  # requests within this time are one
# Short beside the time without contact after which a worker is removed.
SILENCE_CHECK_INTERVAL = timedelta(seconds=1)


class HousekeepingHost(Protocol):
    """Interface of the leader that housekeeping uses."""

    def get_term(self) -> Term | None:
        """Return the term if the leader may send orders now, else None."""

    def measure_headroom(self) -> dict[WorkerId, WorkerHeadroom]:
        """Return the headroom of each worker that may receive tasks."""

    async def remove_worker(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that an incarnation of a machine has ended."""

    def avoid(self, task: TaskName, worker: WorkerId) -> None:
        """Prefer other workers when ``task`` is started again."""


class Housekeeping:
    """Stops stalled runs, evacuates workers, opens occurrences, drops old records.

    Parameters
    ----------
    log
        The deployment's log.
    host
        The leader.
    sessions
        The leader's session with each worker.
    jobs
        The open jobs, which housekeeping keeps up to date.
    quarantine
        The quarantine of workers.
    backlog
        Ages and remaining work of open jobs.
    clock
        Source of time.
    settings
        Timeouts and limits.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        *,
        host: HousekeepingHost,
        sessions: Mapping[WorkerId, WorkerSession],
        jobs: JobIndex,
        quarantine: WorkerQuarantine,
        backlog: Backlog,
        clock: Clock,
        settings: SchedulingSettings,
    ) -> None:
        self._log = log
        self._host = host
        self._sessions = sessions
        self._quarantine = quarantine
        self._backlog = backlog
        self._clock = clock
        self._settings = settings
        self._jobs = jobs
        self._ended_at: dict[JobId, timedelta] = {}
        self._has_scanned_jobs = False
        self._silence_check_due = timedelta()
        self._kinds = KindsIndex()
        self._is_stop_due = False
        self._stops_requested = trio.Event()
        self._updates_requested = trio.Event()

    @property
    def _state(self) -> SchedulingState:
        return self._log.state.scheduling

    def request(self) -> None:
        """Request housekeeping, since the state or a view has changed."""
        self._is_stop_due = True
        self._stops_requested.set()
        self._updates_requested.set()

    async def run(self) -> None:
        """Do what is requested until cancelled; stops do not wait for commits."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop_on_request)
            nursery.start_soon(self._update_on_request)

    async def _stop_on_request(self) -> None:
        while True:
            await self._stops_requested.wait()
            self._stops_requested = trio.Event()
            # Unless a round has done it in the meantime.
            if self._is_stop_due and self._host.get_term() is not None:
                self.stop_runs()
            await self._clock.sleep(REQUEST_DELAY)

    async def _update_on_request(self) -> None:
        while True:
            await self._updates_requested.wait()
            self._updates_requested = trio.Event()
            if self._host.get_term() is not None:
                await self.update_records()
            await self._clock.sleep(REQUEST_DELAY)

    def stop_runs(self) -> None:
        """Stop stalled runs.

        It is called before each round, so that the round avoids their workers.
        """
        self._is_stop_due = False
        self._stop_stalled()

    async def update_records(self) -> None:
        """Open due occurrences, and drop ended jobs and silent workers."""
        self._jobs.synchronize(self._state)
        await self._open_due_occurrences()
        await self._forget_ended_jobs()
        await self._remove_silent_workers()

    def _stop_stalled(self) -> None:
        """Stop runs without progress, so that other workers take their tasks."""
        now = self._clock.monotonic()
        for worker, session in self._sessions.items():
            stalled = session.list_stalled(self._settings.stall_timeout)
            for key in stalled:
                step = self._state.find_step(key.task)
                if step is None or step.standing:
                    continue
                log_event(
                    logger,
                    logging.WARNING,
                    "run-stalled",
                    task=key.task,
                    run=key.run,
                    worker=worker,
                    view_age=session.view_age,
                )
                RUNS_DISTURBED.labels("stalled").inc()
                # A single stalled spare-core task may only be short of cores.
                if len(stalled) > 1 or not step.uses_spare_cores:
                    self._quarantine.record_stall(worker, now)
                self._host.avoid(key.task, worker)
                session.stop(key, StopReason.STALLED)

    def evacuate(self) -> None:
        """Stop standing tasks on draining workers if others have headroom for them.

        It is called before each round, as a round takes the same headroom.
        """
        draining_workers = [
            each for each in self._state.workers.values() if each.draining
        ]
        if not draining_workers:
            return
        headrooms = self._host.measure_headroom()
        for worker in draining_workers:
            session = self._sessions.get(worker.worker)
            if session is None:
                continue
            for name, run in worker.runs.items():
                key = RunKey(name, run)
                if not session.is_stopping(key) and self._reserve_place(
                    name, headrooms
                ):
                    log_event(
                        logger,
                        logging.INFO,
                        "run-evacuated",
                        task=name,
                        run=run,
                        worker=worker.worker,
                    )
                    RUNS_DISTURBED.labels("evacuated").inc()
                    session.stop(key, StopReason.EVACUATED)

    def _reserve_place(
        self, name: TaskName, headrooms: dict[WorkerId, WorkerHeadroom]
    ) -> bool:
        """Reserve headroom for a standing task; return whether there is any."""
        waiting = find_task_step(self._state, name)
        if waiting is None or not waiting.step.standing:
            return False
        for headroom in headrooms.values():
            if is_feasible(waiting, headroom):
                headroom.add_task(waiting.step)
                return True
        return False

    async def _remove_silent_workers(self) -> None:
        """Remove workers that run nothing and had no contact for a long time."""
        now = self._clock.monotonic()
        if now < self._silence_check_due:
            return
        self._silence_check_due = now + SILENCE_CHECK_INTERVAL
        for worker in list(self._state.workers.values()):
            session = self._sessions.get(worker.worker)
            if session is None or worker.runs:
                continue
            if now - session.last_contact_at > self._settings.silent_worker_retention:
                log_event(logger, logging.INFO, "worker-gone", worker=worker.worker)
                # Proposed once: a repetition might come after the worker's return,
                # and end runs that it has received since.
                await self._log.propose(
                    RemoveWorker(worker=worker.worker, checkpoints={})
                )

    async def _open_due_occurrences(self) -> None:
        if not self._jobs.recurring:
            return
        now_ms = self._clock.now().timestamp() * MS_PER_SECOND
        find_kinds = functools.cache(self._find_kinds)  # many jobs share a service

        def list_possible(job: Job) -> Sequence[bool]:
            queue = self._state.find_serving_queue(job.queue)
            if queue is None:
                return [False] * len(job.submission.steps)
            return find_kinds(queue.service).list_possible(job.job, job.submission)

        due = choose_due(self._jobs.recurring.values(), now_ms, list_possible)
        if due:
            await self._log.propose(OpenOccurrences(due=due))

    def _find_kinds(self, service: ServiceName) -> WorkerKinds:
        workers = self._state.workers.values()
        return self._kinds.find(
            service, (worker for worker in workers if worker.service == service)
        )

    def _report_end(self, job: Job) -> None:
        if not self._has_scanned_jobs:  # the job ended under an earlier leader
            return
        level = logging.WARNING if job.phase is JobPhase.FAILED else logging.INFO
        log_event(
            logger,
            level,
            "job-ended",
            job=job.job,
            queue=job.queue,
            phase=job.phase.value,
            age=self._backlog.find_age(job),
            tasks=sum(step.tasks for step in job.submission.steps),
            estimate=self._backlog.measure(job).total_critical_path,
        )
        JOBS.labels(job.phase.value).inc()

    async def _forget_ended_jobs(self) -> None:
        now = self._clock.monotonic()
        for job in self._jobs.take_ended():
            if job.job in self._ended_at:  # the state was read again
                continue
            self._report_end(job)
            self._ended_at[job.job] = now
            self._backlog.forget(job.job)
        self._has_scanned_jobs = True
        retention = self._settings.ended_job_retention
        # The job that ended first comes first.
        old = list(
            takewhile(
                lambda name: now - self._ended_at[name] > retention, self._ended_at
            )
        )
        if old:
            await self._log.propose(ForgetJobs(jobs=tuple(old)))
            for name in old:
                del self._ended_at[name]
                self._backlog.forget(name)
                if name in self._state.jobs:  # not committed, or it has live runs
                    self._ended_at[name] = now
