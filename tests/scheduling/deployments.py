"""A scheduling leader with stand-in workers, on a virtual clock."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import wraps
from typing import Any, cast

import msgspec
import trio

from rhubarbfield.clock import VirtualClock
from rhubarbfield.groups import ReplicatedLog, run_while_leading
from rhubarbfield.replication import Leadership
from rhubarbfield.scheduling.appliers import (
    SchedulingLogState,
    make_scheduling_machine,
)
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    CancelJob,
    PutConfiguration,
)
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    Queue,
    QueueConfiguration,
    QueueName,
    Step,
    WorkerService,
)
from rhubarbfield.scheduling.ports import StartOrder, StopOrder
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.silence_marks import MarkTimes
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_fleet import SentOrder
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import InstanceName, JobId, ServiceName, Term, WorkerId
from tests.controller.single_member import make_single_member_log
from tests.replication.determinism import run_deterministic

QUEUE = Queue(
    name=QueueName("q"),
    host="h",
    prefix="/q/",
    service=ServiceName("s"),
    max_attempts=2,
    slowdown_goal=2.0,
    latency_goal_ms=1000,
    timeout_ms=3000,
)
SERVICES = (WorkerService(name=ServiceName("s"), workers_guard_capacity=True),)
CONFIGURATION = QueueConfiguration(
    version=1,
    queues=(QUEUE,),
    services=SERVICES,
    document=b"{}",
)
ONE_CORE = Demand(1000, 1000)
FOREVER = timedelta(days=1)


class Deployment:
    """A log with a single member, a scheduling leader and stand-in workers."""

    def __init__(self, settings: SchedulingSettings | None = None) -> None:
        self.clock = VirtualClock()
        self.fleet = CrashingFleet(self.clock)
        self.settings = settings or SchedulingSettings()
        log, self.replica = make_single_member_log(make_scheduling_machine())
        self.log = cast(ReplicatedLog[SchedulingLogState], log)
        self.marks = MarkTimes(self.log, self.clock)
        self.elect(1)
        self.reporting: list[StandInWorker] = []
        self.others: tuple[InstanceName, ...] = ()  # members of the group

    @property
    def state(self) -> SchedulingState:
        return self.log.state.scheduling

    def elect(self, term: int, former_until: timedelta | None = None) -> None:
        self.replica.leadership = Leadership(Term(term), FOREVER, former_until)
        self.replica.led_term = Term(term)

    def make_leader(self, leadership: Leadership) -> SchedulingLeader:
        return SchedulingLeader(
            self.log,
            calls=self.fleet,
            clock=self.clock,
            settings=self.settings,
            marks=self.marks,
            leadership=leadership,
            list_others=lambda: self.others,
        )

    def add_worker(self, name: str, **options: Any) -> StandInWorker:
        worker = StandInWorker(WorkerId(name), self.clock, **options)
        self.fleet.add(worker)
        self.reporting.append(worker)
        return worker

    async def propose(self, command: Any) -> Any:
        return (await self.log.propose(command)).unwrap()

    async def submit(self, name: str, *steps: Step) -> None:
        submission = JobSubmission(payload="p", steps=steps)
        command = AcceptJob(job=JobId(name), queue=QUEUE.name, submission=submission)
        await self.propose(command)

    async def cancel(self, name: str) -> None:
        await self.propose(CancelJob(job=JobId(name)))

    def list_sent(
        self, kind: type[StartOrder | StopOrder], job: str
    ) -> list[SentOrder]:
        """Return the orders of a kind that were sent about a job's tasks."""
        return [
            each
            for each in self.fleet.sent
            if isinstance(each.order, kind) and each.order.task.startswith(f"{job}.")
        ]

    def get_job(self, name: str) -> Job:
        return self.state.jobs[JobId(name)]

    @asynccontextmanager
    async def lead(self) -> AsyncIterator[SchedulingLeader]:
        """Run a leader during the block; workers report to it each second."""
        assert self.replica.leadership is not None
        leader = self.make_leader(self.replica.leadership)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.run)
            nursery.start_soon(self._report, leader)
            await trio.sleep(0.1)
            yield leader
            nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def lead_while_leading(self) -> AsyncIterator[None]:
        """Run a leader during the block in each term that the replica leads."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_while_leading, self.log, self._lead_term, self.clock)
            await trio.sleep(0.1)
            yield
            nursery.cancel_scope.cancel()

    async def _lead_term(self, leadership: Leadership) -> None:
        leader = self.make_leader(leadership)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.run)
            nursery.start_soon(self._report, leader)

    async def _report(self, leader: SchedulingLeader) -> None:
        while True:
            for first in self.reporting:
                worker = self.fleet.find_latest(first)
                if not worker.is_unreachable and not worker.is_down:
                    await leader.handle_heartbeat(worker.make_heartbeat())
            await trio.sleep(1)

    async def configure(
        self, services: tuple[WorkerService, ...] = SERVICES, **changes: Any
    ) -> None:
        queue = msgspec.structs.replace(QUEUE, **changes)
        configuration = msgspec.structs.replace(
            CONFIGURATION, queues=(queue,), services=services
        )
        await self.propose(PutConfiguration(configuration=configuration))


def with_deployment(
    **changes: Any,
) -> Callable[[Callable[[Any, Deployment], Awaitable[None]]], Callable[[Any], None]]:
    """Return a decorator that runs a test with a new deployment.

    Parameters
    ----------
    **changes
        Changes of the configured queue; ``services`` replaces the services.
    """

    def decorate(
        test: Callable[[Any, Deployment], Awaitable[None]],
    ) -> Callable[[Any], None]:
        @wraps(test)
        def run(case: Any) -> None:
            async def check() -> None:
                deployment = Deployment()
                await deployment.configure(**changes)
                await test(case, deployment)

            run_deterministic(check, seed=1)

        return run

    return decorate


def count_runs_at_once(deployment: Deployment) -> int:
    """Return the highest number of workers that run the same task now."""
    counts: dict[str, int] = {}
    for worker in deployment.fleet.workers.values():
        worker.end_due_runs()
        for task in worker.runs:
            counts[task] = counts.get(task, 0) + 1
    return max(counts.values(), default=0)
