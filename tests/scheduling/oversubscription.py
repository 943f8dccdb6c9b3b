"""Finite jobs that arrive at a site whose standing jobs ask for every core."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta
from typing import cast

import msgspec
import trio
from returns.result import Result, Success

from rhubarbfield.clock import MILLISECOND, MS_PER_SECOND, Clock, TrioClock
from rhubarbfield.scheduling.commands import PutConfiguration
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    JobPhase,
    JobSubmission,
    Queue,
    QueueName,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.ports import (
    CallFailure,
    StartOrder,
    ViewRequest,
    WorkerView,
)
from rhubarbfield.scheduling.reception import Reception
from rhubarbfield.scheduling.requests import Accepted, JobRequest, JobStatus, JobVerb
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import JobId, WorkerId
from tests.scheduling.deployments import CONFIGURATION, QUEUE, Deployment

FINITE = msgspec.structs.replace(QUEUE, slowdown_goal=1.5, latency_goal_ms=250)
STANDING = msgspec.structs.replace(
    QUEUE, name=QueueName("standing"), prefix="/standing/", latency_goal_ms=2500
)
WORKERS = 40
TASK_MEMORY_MB = 1000
STANDING_SHARE = 1.2  # cores that standing work asks for, per core
FINITE_SHARE = 0.05  # cores that finite work keeps busy on average, per core
MEAN_STEPS = 1.6
MEAN_DURATION = timedelta(milliseconds=640)
SPREAD = 0.5  # standard deviation of the logarithms of cores and durations
ESTIMATE_ERROR = 0.9
SETTLING_SECONDS = 3.0
LOSS_SECONDS = 12.0  # until the leases of lost workers have lapsed
POLL_SECONDS = 0.05
ARRIVAL_SECONDS = 40.0
DRAINING_SECONDS = 10.0


class Sizes(msgspec.Struct, frozen=True):
    """Sizes of workers and tasks.

    Attributes
    ----------
    worker_cores
        Cores of the workers, by turns.
    standing_tasks, standing_cores
        Number of tasks of a standing job, and mean cores of each.
    finite_tasks
        Least and largest number of tasks of a step of a finite job.
    mean_cores, max_cores
        Mean and largest cores of each of them.
    """

    worker_cores: tuple[int, ...] = (64, 64, 96)
    standing_tasks: int = 14
    standing_cores: float = 13.0
    finite_tasks: tuple[int, int] = (5, 14)
    mean_cores: float = 8.1
    max_cores: float = 24.0


MIXED_TASKS = Sizes()
# A finite task takes a third of a worker, and up to a whole one.
LARGE_TASKS = Sizes(
    worker_cores=(32, 32, 48),
    standing_tasks=24,
    standing_cores=6.4,
    finite_tasks=(4, 15),
    mean_cores=11.0,
    max_cores=32.0,
)


class VirtualClock(TrioClock):
    """A clock whose wall time is virtual, too."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()


class TimedWorker(StandInWorker):
    """A worker whose runs take the time of their task; standing ones last.

    Its views wait for the next end instead of looking for one every few ms.

    Attributes
    ----------
    durations
        Duration of each task that ends by itself.
    """

    durations: dict[TaskName, timedelta]

    def __init__(self, worker: WorkerId, clock: Clock, *, capacity: Demand) -> None:
        super().__init__(worker, clock, capacity=capacity)
        self._started = trio.Event()

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        self.duration = self.durations.get(order.task)
        self._started.set()
        return super().start(order)

    async def view(self, request: ViewRequest) -> Result[WorkerView, CallFailure]:
        deadline = self.read_clock() + request.wait_timeout
        at_once = msgspec.structs.replace(request, wait_timeout=timedelta())
        while True:
            view = await super().view(at_once)
            now = self.read_clock()
            if now >= deadline or not isinstance(view, Success) or self.ends:
                return view
            due = [run.ends_at for run in self.runs.values() if run.ends_at]
            self._started = trio.Event()
            with trio.move_on_after((min([*due, deadline]) - now).total_seconds()):
                await self._started.wait()


class Request(msgspec.Struct):
    """A job as its caller sees it."""

    job: JobId
    queue: Queue
    steps: tuple[Step, ...]
    durations: tuple[timedelta, ...] = ()
    submitted_at: timedelta = timedelta()
    answered_at: timedelta = timedelta()
    is_accepted: bool = False
    completed_at: timedelta | None = None

    @property
    def work(self) -> float:
        """Core-seconds of all tasks."""
        return sum(
            step.tasks * step.demand.millicores * duration.total_seconds()
            for step, duration in zip(self.steps, self.durations, strict=True)
        )

    def is_completed_within(self, multiple: float) -> bool:
        """Return whether the job took at most a multiple of its goal."""
        path = sum(self.durations, timedelta())
        goal = path * self.queue.slowdown_goal
        goal += self.queue.latency_goal_ms * MILLISECOND
        end = self.completed_at
        return end is not None and end - self.submitted_at <= goal * multiple


class Site:
    """A deployment and the callers that submit jobs to it.

    Parameters
    ----------
    seed
        Seed of all jobs and arrivals.
    workers
        Number of workers.
    sizes
        Sizes of workers and tasks.

    Attributes
    ----------
    requests
        All jobs, in the order in which they were submitted.
    standing_shares
        Shares of all cores that standing tasks held at work, in order of time.
    """

    def __init__(self, seed: int, workers: int, sizes: Sizes = MIXED_TASKS) -> None:
        self.random = random.Random(seed)
        self.sizes = sizes
        self.deployment = Deployment()
        self.deployment.clock = VirtualClock()
        self.service = SchedulingService(
            self.deployment.log, cast(Reception, None), self.deployment.clock
        )
        self.requests: list[Request] = []
        self.standing_shares: list[float] = []
        self.durations: dict[TaskName, timedelta] = {}
        self.demands: dict[TaskName, Demand] = {}
        self.workers: list[TimedWorker] = []
        for number in range(workers):
            cores = sizes.worker_cores[number % len(sizes.worker_cores)]
            self._add_worker(f"w{number}", cores)

    def _add_worker(self, name: str, cores: int) -> None:
        worker = TimedWorker(
            self.deployment.add_worker(name).worker,
            self.deployment.clock,
            capacity=Demand(cores * 1000, 256_000),
        )
        worker.durations, worker.demands = self.durations, self.demands
        self.deployment.fleet.add(worker)
        self.deployment.reporting[-1] = worker
        self.workers.append(worker)

    def lose_workers(self, share: float) -> None:
        """Lose random workers for good, with all that runs on them."""
        count = round(share * len(self.workers))
        for worker in self.random.sample(self.workers, count):
            worker.is_unreachable = True
            self.workers.remove(worker)

    async def configure(self) -> None:
        configuration = msgspec.structs.replace(
            CONFIGURATION, queues=(FINITE, STANDING)
        )
        await self.deployment.propose(PutConfiguration(configuration=configuration))

    @property
    def millicores(self) -> int:
        return sum(worker.capacity.millicores for worker in self.workers)

    def measure_standing(self) -> float:
        """Return the share of all cores that standing tasks hold at work."""
        held = sum(
            self.demands[task].millicores
            for worker in self.workers
            for task, run in worker.runs.items()
            if run.ends_at is None
        )
        return held / self.millicores

    def select(self, queue: Queue) -> list[Request]:
        return [each for each in self.requests if each.queue is queue]

    def list_started(self) -> set[str]:
        """Return the jobs of which a task has started."""
        return {
            task.split(".")[0]
            for worker in self.workers
            for task, _, _ in worker.started
        }

    async def submit(
        self, queue: Queue, *steps: Step, durations: tuple[timedelta, ...] = ()
    ) -> Request:
        """Submit a job to the service and keep what its caller saw."""
        job = JobId(f"j{len(self.requests)}")
        request = Request(job, queue, steps, durations)
        self.requests.append(request)
        for number, step in enumerate(steps):
            for index in range(step.tasks):
                name = name_task(job, 0, number, index)
                self.demands[name] = step.demand
                if durations:
                    self.durations[name] = durations[number]
        clock = self.deployment.clock
        request.submitted_at = clock.monotonic()
        reply = await self.service.answer(
            JobRequest(
                verb=JobVerb.SUBMIT,
                host=queue.host,
                path=f"{queue.prefix}{job}",
                submission=JobSubmission(payload="p", steps=steps),
                knows_rejection=True,
            )
        )
        request.answered_at = clock.monotonic()
        request.is_accepted = isinstance(reply, Accepted)
        return request

    async def submit_standing(self) -> None:
        """Submit standing jobs until they ask for more cores than there are."""
        asked = 0
        while asked < STANDING_SHARE * self.millicores:
            cores = self.sizes.standing_cores * self.random.uniform(0.75, 1.25)
            step = Step(
                tasks=self.sizes.standing_tasks,
                demand=Demand(int(cores * 1000), TASK_MEMORY_MB),
                standing=True,
                image=ImageName("standing"),
            )
            asked += step.tasks * step.demand.millicores
            await self.submit(STANDING, step)

    async def submit_finite(self) -> Request:
        """Submit a job of one or two steps, with a caller's estimates."""
        count = 2 if self.random.random() < MEAN_STEPS - 1 else 1
        durations = tuple(
            MEAN_DURATION * self.random.lognormvariate(-(SPREAD**2) / 2, SPREAD)
            for _ in range(count)
        )
        sizes = self.sizes
        cores = sizes.mean_cores * self.random.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        demand = Demand(int(min(cores, sizes.max_cores) * 1000), TASK_MEMORY_MB)
        steps = tuple(
            Step(
                tasks=self.random.randint(*sizes.finite_tasks),
                demand=demand,
                estimate_ms=self._estimate_ms(duration),
                after=(number - 1,) if number else (),
            )
            for number, duration in enumerate(durations)
        )
        return await self.submit(FINITE, *steps, durations=durations)

    def _estimate_ms(self, duration: timedelta) -> int:
        factor = self.random.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
        return max(1, int(duration.total_seconds() * MS_PER_SECOND * factor))

    async def submit_finite_jobs(self, seconds: float) -> None:
        """Submit finite jobs at random times until ``seconds`` have passed."""
        mean_tasks = sum(self.sizes.finite_tasks) / 2
        mean_work = MEAN_STEPS * mean_tasks * self.sizes.mean_cores
        mean_work *= MEAN_DURATION.total_seconds()
        rate = FINITE_SHARE * self.millicores / 1000 / mean_work
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                while True:
                    await trio.sleep(self.random.expovariate(rate))
                    nursery.start_soon(self.submit_finite)

    async def watch_standing(self) -> None:
        """Measure the cores that standing tasks hold, once a second."""
        while True:
            self.standing_shares.append(self.measure_standing())
            await trio.sleep(1)

    async def watch_finite(self) -> None:
        """Ask for the state of all open finite jobs, as their callers do."""
        while True:
            for request in self.select(FINITE):
                if request.is_accepted and request.completed_at is None:
                    path = f"{request.queue.prefix}{request.job}"
                    reply = await self.service.answer(
                        JobRequest(verb=JobVerb.READ, host=QUEUE.host, path=path)
                    )
                    if reply == JobStatus(JobPhase.COMPLETED):
                        request.completed_at = self.deployment.clock.monotonic()
            await trio.sleep(POLL_SECONDS)


async def play_oversubscription(
    seed: int, sizes: Sizes = MIXED_TASKS, lost_share: float = 0.0
) -> Site:
    """Fill a site with standing jobs, then submit finite ones for a while.

    Parameters
    ----------
    seed
        Seed of all jobs and arrivals.
    sizes
        Sizes of workers and tasks.
    lost_share
        Share of the workers that are lost for good before the finite jobs come.
    """
    site = Site(seed, WORKERS, sizes)
    await site.configure()
    async with site.deployment.lead(), trio.open_nursery() as nursery:
        await trio.sleep(SETTLING_SECONDS)
        await site.submit_standing()
        await trio.sleep(SETTLING_SECONDS)
        if lost_share:
            site.lose_workers(lost_share)
            await trio.sleep(LOSS_SECONDS)
        nursery.start_soon(site.watch_finite)
        nursery.start_soon(site.watch_standing)
        await site.submit_finite_jobs(ARRIVAL_SECONDS)
        await trio.sleep(DRAINING_SECONDS)
        nursery.cancel_scope.cancel()
    return site
