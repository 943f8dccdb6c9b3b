"""Workers on which batch tasks slow the serving tasks, and what becomes of both."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import msgspec
import trio
from returns.result import Result

from rhubarbfield.placement.state import BatchKind, HarmEstimate
from rhubarbfield.scheduling.commands import SaveHarm
from rhubarbfield.scheduling.latency_model import ONLY_BAND
from rhubarbfield.scheduling.mitigation import SERVING_PERCENT
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.ports import (
    CallFailure,
    StartOrder,
    ViewRequest,
    WorkerView,
)
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInRun, StandInWorker
from rhubarbfield.types import JobId, ServiceName, WorkerId
from tests.scheduling.deployments import Deployment

SERVING_JOB = "s"
SERVING_IMAGE, BATCH_IMAGE = ImageName("serving"), ImageName("batch")
GOAL_MS = 50
OWN_TAIL_MS = 20.0  # tail latency of a serving task without others
SERVING_MILLICORES = 3000  # less than half of a worker
BATCH_DEMAND = Demand(1000, 1000)
BATCH_DURATION = timedelta(seconds=1)
BATCH_SHARE = BATCH_DEMAND.millicores / CAPACITY.millicores
MANY_SAMPLES = 100
WORKERS = 6
SETTLING_SECONDS = 2.0
TIME_STEP = 0.02


class ServingWorker(StandInWorker):
    """A worker whose serving task is slowed by the batch tasks beside it.

    Attributes
    ----------
    rate
        Growth of log tail latency if batch tasks used all of its processors.
    own_tail_ms
        Tail latency without batch tasks.
    longest_harm
        Longest time in s for which the serving task was over its goal, and batch
        tasks worked beside it.
    """

    rate = 0.0
    own_tail_ms = OWN_TAIL_MS
    longest_harm = 0.0
    _harmed_since: float | None = None

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        """Carry out an order to start; serving tasks do not end."""
        result = super().start(order)
        run = self.runs.get(order.task)
        if run is not None and _is_serving(order.task):
            run.ends_at = None
        return result

    def measure(self) -> None:
        """Set what the runs measure now."""
        self.end_due_runs()
        batch = [run for task, run in self.runs.items() if not _is_serving(task)]
        for run in batch:
            run.measure = BATCH_DEMAND.millicores * run.pace / 100
        used = sum(run.measure or 0.0 for run in batch) / self.capacity.millicores
        tail = self.own_tail_ms * math.exp(self.rate * used)
        serving = [run for task, run in self.runs.items() if _is_serving(task)]
        for run in serving:
            run.measure = tail
        if not (serving and used and tail > GOAL_MS):
            self._harmed_since = None
            return
        now = trio.current_time()
        if self._harmed_since is None:
            self._harmed_since = now
        self.longest_harm = max(self.longest_harm, now - self._harmed_since)

    def hold_paused(self, elapsed: timedelta) -> None:
        """Let runs that are paused end later."""
        for run in self.runs.values():
            if not run.pace and run.ends_at is not None:
                run.ends_at += elapsed

    async def view(self, request: ViewRequest) -> Result[WorkerView, CallFailure]:
        """Return the view, with measurements of now."""
        self.measure()
        return await super().view(request)

    def _find_percent(self, run: StandInRun) -> float:
        return SERVING_PERCENT if run.ends_at is None else super()._find_percent(run)


class DisturbedServing:
    """A deployment with a serving task on each worker, and batch jobs.

    Parameters
    ----------
    deployment
        A deployment without workers.
    growth
        Growth of log tail latency that one batch task causes.
    is_known
        Whether the leader knows it from the start.

    Attributes
    ----------
    standstills
        Times in s for which nothing of a batch job has worked, by job.
    """

    def __init__(
        self, deployment: Deployment, growth: float, *, is_known: bool = True
    ) -> None:
        self.deployment = deployment
        self.standstills: dict[JobId, list[float]] = {}
        self._rate = growth / BATCH_SHARE
        estimate = HarmEstimate(
            ServiceName(SERVING_IMAGE),
            BatchKind(BATCH_IMAGE),
            ONLY_BAND,
            self._rate,
            MANY_SAMPLES,
        )
        self._estimates = (estimate,) if is_known else ()
        self._idle_since: dict[JobId, float] = {}
        self.workers: list[ServingWorker] = []
        for number in range(WORKERS):
            name = WorkerId(f"w{number}")
            worker = ServingWorker(name, deployment.clock, duration=BATCH_DURATION)
            worker.rate = self._rate
            deployment.fleet.add(worker)
            deployment.reporting.append(worker)
            self.workers.append(worker)

    @asynccontextmanager
    async def lead(self) -> AsyncIterator[None]:
        """Run a leader during the block, beside serving tasks that are measured."""
        await self.deployment.propose(SaveHarm(estimates=self._estimates))
        async with self.deployment.lead(), self._serve():
            yield

    @asynccontextmanager
    async def lead_while_leading(self) -> AsyncIterator[None]:
        """Do as ``lead`` does, with a new leader in each term."""
        await self.deployment.propose(SaveHarm(estimates=self._estimates))
        async with self.deployment.lead_while_leading(), self._serve():
            yield

    async def depose(self, without_leader: float) -> None:
        """Let the leader's term end, and the next one begin some seconds later."""
        replica = self.deployment.replica
        assert replica.leadership is not None
        term = replica.leadership.term
        replica.leadership = None
        await trio.sleep(without_leader)
        self.deployment.elect(term + 1)

    @asynccontextmanager
    async def _serve(self) -> AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            await self.submit_serving(SERVING_JOB)
            await trio.sleep(SETTLING_SECONDS)
            yield
            nursery.cancel_scope.cancel()

    async def submit_serving(self, name: str) -> None:
        """Submit a job with a serving task for each worker."""
        step = Step(
            tasks=WORKERS,
            demand=Demand(SERVING_MILLICORES, 1000),
            standing=True,
            image=SERVING_IMAGE,
            tail_goal_ms=GOAL_MS,
            max_per_worker=1,
        )
        await self.deployment.submit(name, step)

    async def submit_batch(self, name: str, *tasks: int) -> None:
        """Submit a batch job of steps that follow each other, each of some tasks."""
        steps = (
            Step(
                tasks=count,
                demand=BATCH_DEMAND,
                estimate_ms=1000,
                after=(number - 1,) if number else (),
                image=BATCH_IMAGE,
                uses_spare_cores=True,
            )
            for number, count in enumerate(tasks)
        )
        self.standstills[JobId(name)] = []
        await self.deployment.submit(name, *steps)

    async def submit_gangs(
        self, name: str, *members: int, others: int = 0, memory_mb: int = 1000
    ) -> None:
        """Submit a batch job of gangs of some members, and a step of other tasks.

        None of them waits for another.
        """
        demand = Demand(BATCH_DEMAND.millicores, memory_mb)
        steps = [
            Step(
                tasks=count,
                demand=demand,
                estimate_ms=1000,
                image=BATCH_IMAGE,
                uses_spare_cores=True,
                gang=True,
            )
            for count in members
        ]
        if others:
            other = msgspec.structs.replace(steps[0], tasks=others, gang=False)
            steps.append(other)
        self.standstills[JobId(name)] = []
        await self.deployment.submit(name, *steps)

    def list_starts(self, job: JobId) -> list[tuple[TaskName, RunNumber, float]]:
        """Return the task, the run and the time in s of each start of a job."""
        return [
            (task, run, at.total_seconds())
            for worker in self.workers
            for task, run, at in worker.started
            if task.startswith(f"{job}.")
        ]

    def count_working(self, job: JobId) -> int:
        """Return the number of runs of a job that are not paused."""
        return sum(
            run.pace > 0
            for worker in self.workers
            for task, run in worker.runs.items()
            if task.startswith(f"{job}.")
        )

    async def _watch(self) -> None:
        while True:
            for worker in self.workers:
                worker.measure()
            for job in self.standstills:
                self._watch_job(job)
            before = trio.current_time()
            await trio.sleep(TIME_STEP)
            elapsed = timedelta(seconds=trio.current_time() - before)
            for worker in self.workers:
                worker.hold_paused(elapsed)

    def _watch_job(self, job: JobId) -> None:
        now = trio.current_time()
        found = self.deployment.state.jobs.get(job)
        if found is None or not found.is_open or self.count_working(job):
            self._idle_since.pop(job, None)
            return
        if job not in self._idle_since:
            self._idle_since[job] = now
            self.standstills[job].append(0.0)
        self.standstills[job][-1] = now - self._idle_since[job]


def _is_serving(task: TaskName) -> bool:
    return task.startswith(SERVING_JOB)
