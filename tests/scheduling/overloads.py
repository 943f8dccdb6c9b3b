"""Jobs that arrive faster than stand-in workers can do them, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Iterable
from datetime import timedelta

import msgspec
import trio
from returns.result import Result

from rhubarbfield.clock import MILLISECOND, MS_PER_SECOND, Clock
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.ordering import LATE_GOAL_MULTIPLE
from rhubarbfield.scheduling.ports import CallFailure, StartOrder
from rhubarbfield.scheduling.reception import Reception
from rhubarbfield.scheduling.requests import Accepted, JobReply, JobRequest, JobVerb
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.testing.memory_transport import MemoryTransport, SimulatedNetwork
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from rhubarbfield.types import InstanceName, JobId, WorkerId
from tests.scheduling.deployments import QUEUE, Deployment

WORKERS = 6
MILLICORES_PER_CORE = 1000
CORES = WORKERS * CAPACITY.millicores / MILLICORES_PER_CORE
LATENCY_GOAL_MS = 300
SETTLING_SECONDS = 3.0  # until the leader calls all workers
OVERLOAD_SECONDS = 24.0  # eight times the mean goal
PAUSE_SECONDS = 10.0
CALM_LOAD = 0.3
CALM_SECONDS = 10.0
DRAIN_SECONDS = 7.0  # more than the longest goal of a job
WATCH_SECONDS = 0.05
MAX_ESTIMATE_ERROR = 0.9


class TimedJob(msgspec.Struct, kw_only=True):
    """A job, the time that its tasks really take, and what became of it.

    Attributes
    ----------
    job
        Id of the job.
    steps
        Steps with the caller's estimates.
    durations_ms
        Duration of a task of each step.
    due
        Seconds from the start of the load to the submission.
    sent_at, answered_at, ended_at
        Virtual time of the submission, of its answer and of the completion.
    reply
        Answer to the submission.
    """

    job: JobId
    steps: tuple[Step, ...]
    durations_ms: tuple[int, ...]
    due: float
    sent_at: float = 0.0
    answered_at: float = 0.0
    ended_at: float | None = None
    reply: JobReply | None = None

    @property
    def core_seconds(self) -> float:
        """Work of all tasks."""
        millicore_ms = sum(
            step.tasks * step.demand.millicores * ms
            for step, ms in zip(self.steps, self.durations_ms, strict=True)
        )
        return millicore_ms / MILLICORES_PER_CORE / MS_PER_SECOND

    @property
    def goal_seconds(self) -> float:
        """Goal of the job by the real durations; each step follows the one before."""
        goal_ms = sum(self.durations_ms) * QUEUE.slowdown_goal
        return (goal_ms + LATENCY_GOAL_MS) / MS_PER_SECOND

    @property
    def is_accepted(self) -> bool:
        """Whether the job was accepted."""
        return isinstance(self.reply, Accepted)

    def has_ended_within(self, goals: float) -> bool:
        """Return whether the job took at most a multiple of its goal."""
        if self.ended_at is None:
            return False
        return self.ended_at - self.sent_at <= goals * self.goal_seconds


class TimedWorker(StandInWorker):
    """A worker whose runs take the time of their task.

    Parameters
    ----------
    worker
        Id of this incarnation.
    clock
        Clock of the loop.
    durations
        Duration of each task.
    demands
        Demand of each task.
    """

    def __init__(
        self,
        worker: WorkerId,
        clock: Clock,
        *,
        durations: dict[TaskName, timedelta],
        demands: dict[TaskName, Demand],
    ) -> None:
        super().__init__(worker, clock)
        self._durations = durations
        self.demands = demands

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        """Carry out an order to start."""
        self.duration = self._durations[order.task]
        return super().start(order)


class Overload(Deployment):
    """A leader and workers under a load of jobs, submitted as callers do."""

    def __init__(self) -> None:
        super().__init__()
        self.durations: dict[TaskName, timedelta] = {}
        self.demands: dict[TaskName, Demand] = {}
        self.jobs: dict[JobId, TimedJob] = {}

    def add_timed_worker(self, name: str) -> None:
        worker = TimedWorker(
            WorkerId(name),
            self.clock,
            durations=self.durations,
            demands=self.demands,
        )
        self.fleet.add(worker)
        self.reporting.append(worker)

    def make_service(self, leader: SchedulingLeader) -> SchedulingService:
        """Return the service of the controller that leads."""
        reception = Reception(
            self.log,
            lambda: leader,
            transport=MemoryTransport(SimulatedNetwork(random.Random(0)), "c"),
            clock=self.clock,
            locate=lambda name: (name, 1),
            name=InstanceName("c"),
        )
        return SchedulingService(self.log, reception, self.clock)

    def list_started_jobs(self) -> set[str]:
        return {
            task.partition(".")[0]
            for worker in self.reporting
            for task, _, _ in worker.started
        }

    async def watch(self) -> None:
        while True:
            for job, record in self.state.jobs.items():
                timed = self.jobs[job]
                if timed.ended_at is None and record.phase is JobPhase.COMPLETED:
                    timed.ended_at = trio.current_time()
            await trio.sleep(WATCH_SECONDS)

    async def submit_all(
        self, service: SchedulingService, jobs: Iterable[TimedJob]
    ) -> None:
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for job in jobs:
                await trio.sleep_until(began + job.due)
                nursery.start_soon(self._submit_timed, service, job)

    async def _submit_timed(self, service: SchedulingService, timed: TimedJob) -> None:
        self.jobs[timed.job] = timed
        for number, step in enumerate(timed.steps):
            for index in range(step.tasks):
                task = name_task(timed.job, 0, number, index)
                self.durations[task] = timed.durations_ms[number] * MILLISECOND
                self.demands[task] = step.demand
        timed.sent_at = trio.current_time()
        timed.reply = await service.answer(
            JobRequest(
                verb=JobVerb.SUBMIT,
                host=QUEUE.host,
                path=f"{QUEUE.prefix}{timed.job}",
                submission=JobSubmission(payload="p", steps=timed.steps),
                knows_rejection=True,
            )
        )
        timed.answered_at = trio.current_time()


class Outcome(msgspec.Struct, frozen=True):
    """What became of the jobs that were submitted.

    Attributes
    ----------
    pressed
        Jobs submitted during the overload.
    pressed_until
        Virtual time of its end.
    calm
        Jobs submitted at a load that the workers can do.
    started
        Ids of the jobs of which any task started.
    """

    pressed: list[TimedJob]
    pressed_until: float
    calm: list[TimedJob]
    started: set[str]

    @property
    def accepted(self) -> list[TimedJob]:
        return [each for each in self.pressed if each.is_accepted]

    @property
    def refused(self) -> list[TimedJob]:
        return [each for each in self.pressed if not each.is_accepted]

    def measure_useful_work(self) -> float:
        """Return the work of jobs in time, of what the workers could do until the end.

        A job is in time if its caller still has a use for it.
        """
        useful = sum(
            job.core_seconds
            for job in self.accepted
            if job.has_ended_within(LATE_GOAL_MULTIPLE)
            and job.ended_at is not None
            and job.ended_at <= self.pressed_until
        )
        return useful / (CORES * OVERLOAD_SECONDS)


def make_job(name: str, rng: random.Random, seconds: float) -> TimedJob:
    """Return a random job of one or two steps, due within ``seconds``."""
    steps: list[Step] = []
    durations_ms: list[int] = []
    for number in range(rng.choice((1, 1, 2))):
        actual_ms = rng.randint(400, 1600)
        error = rng.uniform(-MAX_ESTIMATE_ERROR, MAX_ESTIMATE_ERROR)
        steps.append(
            Step(
                tasks=rng.randint(2, 8),
                demand=Demand(rng.choice((1000, 2000, 4000)), 1000),
                estimate_ms=int(actual_ms * (1 + error)),
                after=(number - 1,) if number else (),
            )
        )
        durations_ms.append(actual_ms)
    return TimedJob(
        job=JobId(name),
        steps=tuple(steps),
        durations_ms=tuple(durations_ms),
        due=rng.uniform(0, seconds),
    )


def make_load(
    name: str, rng: random.Random, *, load: float, seconds: float
) -> list[TimedJob]:
    """Return jobs with ``load`` times the work that the workers can do, by due time."""
    jobs: list[TimedJob] = []
    while sum(each.core_seconds for each in jobs) < load * CORES * seconds:
        jobs.append(make_job(f"{name}{len(jobs)}", rng, seconds))
    return sorted(jobs, key=lambda each: each.due)


def make_calm_load(rng: random.Random) -> list[TimedJob]:
    """Return jobs that the workers can do on time, at regular intervals."""
    jobs = make_load("calm", rng, load=CALM_LOAD, seconds=CALM_SECONDS)
    for number, job in enumerate(jobs):
        job.due = number * CALM_SECONDS / len(jobs)
    return jobs


async def play(pressed: list[TimedJob], calm: list[TimedJob]) -> Outcome:
    """Submit the jobs of an overload, if any, and those of a calm time after it."""
    overload = Overload()
    await overload.configure(latency_goal_ms=LATENCY_GOAL_MS)
    for number in range(WORKERS):
        overload.add_timed_worker(f"w{number}")
    async with overload.lead() as leader, trio.open_nursery() as nursery:
        service = overload.make_service(leader)
        nursery.start_soon(overload.watch)
        await trio.sleep(SETTLING_SECONDS)
        until = trio.current_time()
        if pressed:
            until += OVERLOAD_SECONDS
            await overload.submit_all(service, pressed)
            await trio.sleep_until(until + PAUSE_SECONDS)
        await overload.submit_all(service, calm)
        await trio.sleep(DRAIN_SECONDS)
        nursery.cancel_scope.cancel()
    return Outcome(pressed, until, calm, overload.list_started_jobs())
