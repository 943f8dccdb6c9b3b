"""Finite jobs that arrive beside standing work faster than workers can do them."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from datetime import timedelta
from enum import StrEnum
from functools import partial

import msgspec
import trio
from returns.result import Result, Success

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.commands import PutConfiguration
from rhubarbfield.scheduling.headroom import SERVING_UTILIZATION
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    JobPhase,
    JobSubmission,
    Step,
    name_task,
)
from rhubarbfield.scheduling.ordering import LATE_GOAL_MULTIPLE
from rhubarbfield.scheduling.ports import CallFailure, StartOrder
from rhubarbfield.scheduling.requests import Accepted, JobRequest, JobStatus, JobVerb
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import JobId, WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling import oversubscription
from tests.scheduling.oversubscription import (
    CONFIGURATION,
    MEAN_DURATION,
    QUEUE,
    SETTLING_SECONDS,
    TASK_MEMORY_MB,
    Request,
    Site,
    Sizes,
)

FINITE = msgspec.structs.replace(
    QUEUE, slowdown_goal=2.0, latency_goal_ms=500, max_attempts=4
)
WORKERS = 10
SIZES = Sizes(worker_cores=(16,), standing_tasks=5, standing_cores=3.0)
SERVING_GOAL_MS = 100.0
# Share of the spare cores on which tasks seem to harm nothing, as plays showed.
USABLE_SPARE_SHARE = 0.5
STEPS = 2
TASKS_PER_STEP = 20
DURATION_SPREAD = 0.3
ESTIMATE_FACTORS = (0.14, 0.5, 0.9, 1.1, 1.5, 3.3)
ARRIVAL_SECONDS = 30.0
DRAINING_SECONDS = 12.0
LOST_SHARE = 0.1
FAILING_SHARE = 0.2
FAILED_RUNS_SHARE = 0.5
SHRUNK_SHARE = 0.2
FAILING_DURATION = timedelta(milliseconds=30)
DISTURBED_AFTER_SECONDS = 5.0


class Kind(StrEnum):
    """What finite jobs work on.

    Attributes
    ----------
    RESERVED
        Cores that their tasks reserve.
    SPARE
        Cores that standing tasks leave unused.
    """

    RESERVED = "reserved"
    SPARE = "spare"


class Disturbance(StrEnum):
    """What happens to some of the workers."""

    NONE = "none"
    LOST = "lost"
    FAILING = "failing"
    SHRUNK = "shrunk"


class Shares(msgspec.Struct, frozen=True):
    """What became of the jobs, as shares of all, and of their work.

    Attributes
    ----------
    in_time, late, never
        Accepted jobs that ended within their goal, within the multiple of it after
        which they have no value, and later or not at all.
    refused
        Jobs that were not accepted until their callers had no use for them.
    useful_work
        Work of the first two, in core-seconds.
    in_time_work
        Work of the first, in core-seconds.
    """

    jobs: int
    in_time: float
    late: float
    never: float
    refused: float
    in_time_work: float
    useful_work: float

    @property
    def missed(self) -> float:
        """Share of the accepted jobs that have no value any more."""
        return self.never / max(1 - self.refused, 1e-9)


class DisturbedWorker(oversubscription.TimedWorker):
    """A worker that may fail a share of its runs."""

    luck: random.Random
    failed_share = 0.0

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        is_new = order.task not in self.runs
        result = super().start(order)
        run = self.runs.get(order.task)
        if not is_new or run is None or run.ends_at is None:
            return result
        if isinstance(result, Success) and self.luck.random() < self.failed_share:
            run.end = RunEnd.FAILED
            run.ends_at = run.started_at + FAILING_DURATION
        return result


class OverloadedSite(Site):
    """A site full of standing work, and callers of finite jobs who come back.

    Parameters
    ----------
    seed
        Seed of all jobs and arrivals.
    kind
        What finite jobs work on.
    """

    def __init__(self, seed: int, kind: Kind) -> None:
        super().__init__(seed, WORKERS, SIZES)
        self.kind = kind

    def _add_worker(self, name: str, cores: int) -> None:
        worker = DisturbedWorker(
            WorkerId(name),
            self.deployment.clock,
            capacity=Demand(cores * 1000, 256_000),
        )
        worker.luck = random.Random(name)
        worker.durations, worker.demands = self.durations, self.demands
        self.deployment.fleet.add(worker)
        self.deployment.reporting.append(worker)
        self.workers.append(worker)

    async def configure(self) -> None:
        configuration = msgspec.structs.replace(
            CONFIGURATION, queues=(FINITE, oversubscription.STANDING)
        )
        await self.deployment.propose(PutConfiguration(configuration=configuration))

    async def submit_standing(self) -> None:
        """Submit standing jobs until one is refused."""
        step = Step(
            tasks=SIZES.standing_tasks,
            demand=Demand(int(SIZES.standing_cores * 1000), TASK_MEMORY_MB),
            standing=True,
            image=ImageName("standing"),
            tail_goal_ms=int(SERVING_GOAL_MS),
        )
        while (await self.submit(oversubscription.STANDING, step)).is_accepted:
            pass

    def measure_finite_millicores(self) -> float:
        """Return the capacity that finite jobs can use."""
        held = self.measure_standing() * self.millicores
        if self.kind is Kind.RESERVED:
            return self.millicores - held
        spare = self.millicores - held * SERVING_UTILIZATION
        return spare * USABLE_SPARE_SHARE

    def make_finite(self, number: int) -> Request:
        """Return a job of steps that follow each other, and its real durations."""
        draw = self.random
        spread = 1 - DURATION_SPREAD, 1 + DURATION_SPREAD
        durations = tuple(MEAN_DURATION * draw.uniform(*spread) for _ in range(STEPS))
        steps = tuple(
            Step(
                tasks=TASKS_PER_STEP,
                demand=Demand(1000, TASK_MEMORY_MB),
                estimate_ms=int(
                    duration.total_seconds()
                    * MS_PER_SECOND
                    * draw.choice(ESTIMATE_FACTORS)
                ),
                after=(step - 1,) if step else (),
                image=ImageName("batch"),
                uses_spare_cores=self.kind is not Kind.RESERVED,
            )
            for step, duration in enumerate(durations)
        )
        return Request(JobId(f"f{number}"), FINITE, steps, durations)

    async def submit_until_accepted(self, request: Request) -> None:
        """Submit a job, and again when its caller was told to come back."""
        self.requests.append(request)
        for number, step in enumerate(request.steps):
            for index in range(step.tasks):
                name = name_task(request.job, 0, number, index)
                self.demands[name] = step.reserved
                self.durations[name] = request.durations[number]
        clock = self.deployment.clock
        request.submitted_at = clock.monotonic()
        until = request.submitted_at + LATE_GOAL_MULTIPLE * find_goal(request)
        until -= sum(request.durations, timedelta())
        while True:
            reply = await self.service.answer(
                JobRequest(
                    verb=JobVerb.SUBMIT,
                    host=FINITE.host,
                    path=f"{FINITE.prefix}{request.job}",
                    submission=JobSubmission(payload="p", steps=request.steps),
                    knows_rejection=True,
                )
            )
            request.is_accepted = isinstance(reply, Accepted)
            retry_after = getattr(reply, "retry_after", None)
            if request.is_accepted or retry_after is None:
                break
            if clock.monotonic() + retry_after >= until:
                break
            await clock.sleep(retry_after)

    async def submit_load(self, load: float, seconds: float) -> None:
        """Submit jobs at random times with ``load`` times the work that can be done."""
        mean_work = STEPS * TASKS_PER_STEP * MEAN_DURATION.total_seconds()
        rate = load * self.measure_finite_millicores() / 1000 / mean_work
        number = 0
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while True:
                await trio.sleep(self.random.expovariate(rate))
                if trio.current_time() >= until:
                    break
                nursery.start_soon(self.submit_until_accepted, self.make_finite(number))
                number += 1

    async def disturb(self, disturbance: Disturbance) -> None:
        """Disturb some workers for good after a while."""
        await trio.sleep(DISTURBED_AFTER_SECONDS)
        match disturbance:
            case Disturbance.LOST:
                self.lose_workers(LOST_SHARE)
            case Disturbance.FAILING:
                count = round(FAILING_SHARE * len(self.workers))
                for worker in self.random.sample(self.workers, count):
                    assert isinstance(worker, DisturbedWorker)
                    worker.failed_share = FAILED_RUNS_SHARE
            case Disturbance.SHRUNK:
                count = round(SHRUNK_SHARE * len(self.workers))
                for worker in self.random.sample(self.workers, count):
                    capacity = worker.capacity
                    half = capacity.millicores // 2
                    worker.set_capacity(Demand(half, capacity.memory_mb // 2))

    async def watch_finite(self) -> None:
        """Ask for the state of all open finite jobs, as their callers do."""
        while True:
            for request in self.select(FINITE):
                if request.is_accepted and request.completed_at is None:
                    path = f"{FINITE.prefix}{request.job}"
                    reply = await self.service.answer(
                        JobRequest(verb=JobVerb.READ, host=QUEUE.host, path=path)
                    )
                    if reply == JobStatus(JobPhase.COMPLETED):
                        request.completed_at = self.deployment.clock.monotonic()
            await trio.sleep(oversubscription.POLL_SECONDS)


def find_goal(request: Request) -> timedelta:
    """Return the goal of a job by its real durations."""
    path = sum(request.durations, timedelta()) * request.queue.slowdown_goal
    return path + timedelta(milliseconds=request.queue.latency_goal_ms)


def measure_shares(requests: Sequence[Request]) -> Shares:
    """Return what became of some jobs."""
    accepted = [each for each in requests if each.is_accepted]
    in_time = [each for each in accepted if each.is_completed_within(1)]
    useful = [each for each in accepted if each.is_completed_within(LATE_GOAL_MULTIPLE)]
    total = max(len(requests), 1)

    def add_work(jobs: Iterable[Request]) -> float:
        return sum(each.work for each in jobs) / 1000

    return Shares(
        jobs=len(requests),
        in_time=len(in_time) / total,
        late=(len(useful) - len(in_time)) / total,
        never=(len(accepted) - len(useful)) / total,
        refused=(len(requests) - len(accepted)) / total,
        in_time_work=add_work(in_time),
        useful_work=add_work(useful),
    )


async def play_site(
    seed: int, kind: Kind, load: float, disturbance: Disturbance = Disturbance.NONE
) -> Shares:
    """Fill a site with standing work, then submit finite jobs for a while."""
    site = OverloadedSite(seed, kind)
    await site.configure()
    async with site.deployment.lead(), trio.open_nursery() as nursery:
        await trio.sleep(SETTLING_SECONDS)
        await site.submit_standing()
        await trio.sleep(SETTLING_SECONDS)
        nursery.start_soon(site.watch_finite)
        nursery.start_soon(site.disturb, disturbance)
        await site.submit_load(load, ARRIVAL_SECONDS)
        await trio.sleep(DRAINING_SECONDS)
        nursery.cancel_scope.cancel()
    return measure_shares(site.select(FINITE))


def play(
    seed: int, kind: Kind, load: float, disturbance: Disturbance = Disturbance.NONE
) -> Shares:
    """Return what became of the jobs of one play; the same for the same seed."""
    return run_deterministic(partial(play_site, seed, kind, load, disturbance), seed)
