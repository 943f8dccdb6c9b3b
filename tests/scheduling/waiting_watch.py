"""What users see of finite jobs that do not run although there is capacity."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import trio

from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Demand, Step, TaskName
from rhubarbfield.scheduling.state import Job, TaskPhase, find_job_id
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import JobId
from tests.scheduling.deployments import Deployment

# The users' rule: nothing of a job runs for 3 s although a task's turn has come, beside
# capacity for it twice over, and under half of the service's capacity is in use.
STANDSTILL_SECONDS = 3.0
CALM_SECONDS = 4.0
TIMES_OVER = 2
USED_SHARE = 0.5
TIME_STEP = 0.05


class JobStandstill(msgspec.Struct):
    """A job that should run, and does not.

    Attributes
    ----------
    job
        The job.
    since
        Time from which on nothing of it ran beside capacity.
    steps
        The steps whose turn had come.
    ended_at
        Time at which it ran again; None if it never did.
    """

    job: JobId
    since: float
    steps: tuple[Step, ...]
    ended_at: float | None = None

    def __str__(self) -> str:
        end = "the end" if self.ended_at is None else f"{self.ended_at:.2f}"
        return f"{self.job} stands still from {self.since:.2f} to {end}: {self.steps}"


class WaitingWatch:
    """Watches open jobs, and judges by the users' rules what becomes of them.

    Parameters
    ----------
    deployment
        The deployment.
    workers
        Its workers.
    steps
        The step of each task that was submitted.

    Attributes
    ----------
    leader
        The present leader, or None.
    faults
        What broke a rule.
    judged
        The jobs of which nothing ran at some time beside capacity.
    """

    def __init__(
        self,
        deployment: Deployment,
        workers: list[StandInWorker],
        steps: Mapping[TaskName, Step],
    ) -> None:
        self.leader: SchedulingLeader | None = None
        self.faults: list[JobStandstill | str] = []
        self.judged: set[JobId] = set()
        self._deployment = deployment
        self._workers = workers
        self._steps = steps
        self._idle_since: dict[JobId, float] = {}
        self._open: dict[JobId, JobStandstill] = {}
        self._begun: set[JobId] = set()  # jobs that have counted as begun
        self._conditions: object = None
        self._disturbed_at = 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._observe()
            await trio.sleep(TIME_STEP)

    def _observe(self) -> None:
        now = trio.current_time()
        for worker in self._workers:
            worker.end_due_runs()
        conditions = self._list_conditions()
        if conditions != self._conditions:
            self._conditions, self._disturbed_at = conditions, now
        working = {
            find_job_id(task) for worker in self._workers for task in worker.runs
        }
        has_half = self._measure_used() >= USED_SHARE
        for job in self._deployment.state.jobs.values():
            self._check_begun(job)
            steps = [] if job.job in working or has_half else self._list_possible(job)
            if not job.is_open or not steps:
                self._idle_since.pop(job.job, None)
                if job.job in self._open:
                    self._open.pop(job.job).ended_at = now
                continue
            self._judge(job.job, tuple(steps), now)

    def _judge(self, job: JobId, steps: tuple[Step, ...], now: float) -> None:
        since = self._idle_since.setdefault(job, now)
        self.judged.add(job)
        if now - self._disturbed_at < CALM_SECONDS + STANDSTILL_SECONDS:
            return
        if now - since >= STANDSTILL_SECONDS and job not in self._open:
            fault = JobStandstill(job, since, steps)
            self._open[job] = fault
            self.faults.append(fault)

    def _check_begun(self, job: Job) -> None:
        """Note a job that counts as begun although no worker has started a run."""
        is_known = job.job in self._begun or not job.is_open
        if is_known or self.leader is None or not self.leader.has_begun(job):
            return
        self._begun.add(job.job)
        has_started = any(
            find_job_id(task) == job.job
            for worker in self._workers
            for task, _, _ in worker.started
        )
        if not has_started:
            self.faults.append(f"{job.job} counts as begun, and no worker has begun it")

    def _list_possible(self, job: Job) -> list[Step]:
        """Return the steps whose turn has come and that have room twice over."""
        found = []
        for occurrence, steps in job.occurrences.items():
            for number, progress in enumerate(steps):
                step = job.get_step(number)
                waits = any(each.phase is TaskPhase.WAITING for each in progress.tasks)
                if waits and job.is_step_ready(occurrence, number):
                    members = step.tasks if step.gang else 1
                    if self._count_places(step) >= TIMES_OVER * members:
                        found.append(step)
        if not job.occurrences and job.submission.recurrence is not None:
            step = job.get_step(0)
            if self._is_due(job) and self._count_places(step) >= TIMES_OVER:
                found.append(step)
        return found

    def _is_due(self, job: Job) -> bool:
        recurrence = job.submission.recurrence
        assert recurrence is not None
        now_ms = self._deployment.clock.now().timestamp() * 1000
        due = (now_ms - recurrence.first_ms) // recurrence.interval_ms + 1
        return job.finished < min(due, recurrence.times)

    def _count_places(self, step: Step) -> int:
        """Return how many tasks of a step the sound workers could take."""
        return sum(self._count_on(worker, step) for worker in self._workers)

    def _count_on(self, worker: StandInWorker, step: Step) -> int:
        if worker.is_unreachable or worker.is_draining or worker.rejected_starts:
            return 0
        if step.required_label and step.required_label not in worker.labels:
            return 0
        free = worker.capacity
        of_step = 0
        for task in worker.runs:
            other = self._steps.get(task)
            free = free.minus(Demand() if other is None else other.reserved)
            of_step += other is step
        places = 0
        limit = step.max_per_worker - of_step if step.max_per_worker else step.tasks * 2
        while places < limit and step.demand.times(places + 1).fits(free):
            places += 1
        return places

    def _measure_used(self) -> float:
        """Return the share of the cores that is in use."""
        used = sum(
            self._steps[task].demand.millicores
            for worker in self._workers
            for task in worker.runs
            if task in self._steps
        )
        return used / sum(each.capacity.millicores for each in self._workers)

    def _list_conditions(self) -> object:
        """Return all whose change is a disturbance."""
        return (
            self.leader is not None and id(self.leader),
            [
                (
                    each.is_unreachable,
                    each.is_draining,
                    each.labels,
                    each.capacity,
                    bool(each.rejected_starts),
                )
                for each in self._workers
            ],
        )
