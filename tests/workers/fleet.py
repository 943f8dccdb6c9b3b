"""Controllers and stand-in workers in one process, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbfield.clock import Clock, VirtualClock
from rhubarbfield.testing.attempts import TaskBehaviour
from rhubarbfield.testing.observer import Observer
from rhubarbfield.testing.streams import MemoryNetwork
from rhubarbfield.testing.worker import StandInWorker, WorkerProfile
from rhubarbfield.testing.worklog import ControllerLog, MemoryWorkLog
from rhubarbfield.types import (
    Epoch,
    FailureDomain,
    Incarnation,
    RackName,
    TaskId,
    WorkerId,
)
from rhubarbfield.workers import (
    FromWorker,
    MessageStream,
    Resources,
    StartAttempt,
    ToWorker,
    UsageReport,
    WorkerSessions,
    WorkerSessionSettings,
)
from tests.replication.determinism import run_deterministic

SECOND = timedelta(seconds=1)
COMMIT_DELAY = timedelta(milliseconds=200)
SETTINGS = WorkerSessionSettings()
CAPACITY = Resources(cores=8, memory_mb=8000)
SMALL = Resources(cores=1, memory_mb=100)


class UsageRecorder:
    def __init__(self) -> None:
        self.reports: list[UsageReport] = []

    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        self.reports.append(report)


class Controller:
    """One controller process; it serves workers only while it leads."""

    def __init__(self, fleet: Fleet, address: str) -> None:
        self.fleet = fleet
        self.address = address
        self.log = ControllerLog(fleet.log, leading=False)
        self.log.commit_delay = COMMIT_DELAY
        self.sessions: WorkerSessions | None = None
        self.scope = trio.CancelScope()

    def lead(self) -> None:
        self.log.leading = True
        self.scope = trio.CancelScope()
        self.sessions = WorkerSessions(
            SETTINGS,
            clock=self.fleet.clock,
            log=self.log,
            observations=self.fleet.observations,
        )
        self.fleet.network.listen(self.address, self.sessions.serve)
        self.fleet.nursery.start_soon(self.sweep, self.sessions)

    def depose(self, leader: str = "") -> None:
        """Stop leading; open connections stay open."""
        self.log.leading = False
        self.log.leader = leader
        self.scope.cancel()

    def kill(self) -> None:
        self.depose()
        self.fleet.network.close(self.address)

    async def sweep(self, sessions: WorkerSessions) -> None:
        with self.scope:
            await sessions.sweep()


class Fleet:
    """Two controllers, and the workers that a test starts."""

    def __init__(
        self, nursery: trio.Nursery, *, run_time: timedelta, seed: int
    ) -> None:
        self.seed = seed
        self.nursery = nursery
        self.clock: Clock = VirtualClock()
        self.run_time = run_time
        self.log = MemoryWorkLog()
        self.observer = Observer()
        self.observations = UsageRecorder()
        self.network = MemoryNetwork(
            nursery, clients_receive=ToWorker, servers_receive=FromWorker
        )
        self.workers: dict[str, StandInWorker] = {}
        self.controllers = [Controller(self, name) for name in ("c0:1", "c1:1")]
        self.starts = 0

    async def start_worker(
        self, name: str, clock: Clock | None = None
    ) -> StandInWorker:
        """Start a worker process and wait until it can have opened its session."""
        self.starts += 1
        worker = StandInWorker(
            WorkerProfile(
                worker=WorkerId(name),
                rack=RackName("r1"),
                domain=FailureDomain("d1"),
                capacity=CAPACITY,
            ),
            incarnation=Incarnation(f"{name}/{self.starts}"),
            connect=self.network.connect,
            addresses=[controller.address for controller in self.controllers],
            clock=clock or self.clock,
            rng=random.Random(f"{self.seed}/{self.starts}"),
            task_model=self.get_task_behaviour,
            observer=self.observer,
        )
        self.workers[name] = worker
        self.nursery.start_soon(worker.run)
        await self.sleep(1)
        return worker

    def get_task_behaviour(self, order: StartAttempt) -> TaskBehaviour:
        return TaskBehaviour(run_time=self.run_time, cores=1, memory_mb=100)

    def place(self, worker: str, task: str, **options: str) -> str:
        return self.log.place(
            WorkerId(worker), TaskId(task), resources=SMALL, **options
        )

    def state(self, attempt: str) -> str:
        return str(self.log.attempts[attempt].state.value)  # type: ignore[index]

    def streams(self) -> list[MessageStream]:
        return [
            stream
            for controller in self.controllers
            for stream in self.network.find_open(controller.address)
        ]

    async def sleep(self, seconds: float) -> None:
        await self.clock.sleep(timedelta(seconds=seconds))


def run_fleet(
    scenario: Callable[[Fleet], Awaitable[None]], *, run_time: float = 20, seed: int = 0
) -> Fleet:
    """Run a scenario on a virtual clock; the first controller leads."""

    async def run() -> Fleet:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, run_time=timedelta(seconds=run_time), seed=seed)
            fleet.controllers[0].lead()
            await scenario(fleet)
            nursery.cancel_scope.cancel()
        return fleet

    return run_deterministic(run, seed)
