"""A leader's calls through relays in memory, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import wraps
from typing import Any

import trio

from rhubarbfield.clock import VirtualClock
from rhubarbfield.peering import MessageStream
from rhubarbfield.replication import Leadership
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import NO_CHECKPOINT, RunNumber, TaskName
from rhubarbfield.scheduling.ports import (
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
)
from rhubarbfield.scheduling.relay import WorkerRelay
from rhubarbfield.scheduling.relay_messages import RELAY_STREAM
from rhubarbfield.scheduling.relayed_calls import RelayedCalls
from rhubarbfield.testing.memory_transport import MemoryTransport, SimulatedNetwork
from rhubarbfield.testing.scheduling_fleet import StandInFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import InstanceName, Term, WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import Deployment
from tests.scheduling.relaying_controllers import RecordedCalls

LEADER = "leader"
PORT = 2
FAR_FUTURE = timedelta(days=1000)  # later than any reading of trio's clock
ORDER_TIMEOUT = timedelta(milliseconds=700)


def make_start(task: str = "j.0.0.0", run: int = 1, term: int = 1) -> StartOrder:
    return StartOrder(
        task=TaskName(task),
        run=RunNumber(run),
        payload="p",
        checkpoint=NO_CHECKPOINT,
        lease_end=FAR_FUTURE,
        term=Term(term),
    )


def make_stop(task: str = "j.0.0.0", run: int = 1, term: int = 1) -> StopOrder:
    return StopOrder(task=TaskName(task), run=RunNumber(run), term=Term(term))


def make_view_request(wait_seconds: float = 0, term: int = 1) -> ViewRequest:
    return ViewRequest(
        recorded_ends=0,
        lease_end=None,
        wait_timeout=timedelta(seconds=wait_seconds),
        term=Term(term),
    )


class Relays:
    """Relays between one leader and a fleet of stand-in workers.

    Attributes
    ----------
    direct
        Calls that the leader makes itself.
    made
        Calls that each relay makes.
    frozen
        Relays that accept new streams and never answer on them.
    relayed
        The leader's calls.
    """

    def __init__(
        self,
        *names: str,
        fleet: StandInFleet | None = None,
        workers_per_relay: int = 1,
    ) -> None:
        self.clock = VirtualClock()
        self.network = SimulatedNetwork(random.Random(1))
        self.fleet = fleet or StandInFleet(self.clock)
        self.names = list(names)
        self.direct = RecordedCalls(self.fleet)
        self.made = {name: RecordedCalls(self.fleet) for name in names}
        self.frozen: set[str] = set()
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self.relayed = RelayedCalls(
            self.direct,
            list_relays=lambda: [InstanceName(name) for name in self.names],
            locate=lambda name: (name, PORT),
            transport=MemoryTransport(self.network, LEADER),
            clock=self.clock,
            order_timeout=ORDER_TIMEOUT,
            workers_per_relay=workers_per_relay,
        )

    @asynccontextmanager
    async def run(
        self, *, started: tuple[str, ...] | None = None
    ) -> AsyncIterator[None]:
        """Run the relays, by default all of them, and connect the leader to them."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self.names if started is None else started:
                await self.start_relay(name)
            await nursery.start(self.relayed.run)
            yield
            nursery.cancel_scope.cancel()

    async def start_relay(self, name: str, calls: WorkerCalls | None = None) -> None:
        """Run a relay, which may make its calls through a client of the test."""
        assert self._nursery is not None
        scope = self._scopes[name] = trio.CancelScope()
        await self._nursery.start(self._serve, name, calls or self.made[name], scope)

    def kill(self, name: str) -> None:
        """End the process of a relay."""
        self._scopes.pop(name).cancel()
        self.network.disconnect_host(name)

    def freeze(self, name: str) -> None:
        """Let a relay accept messages and streams and answer none of them."""
        self.frozen.add(name)
        self.network.blackhole(LEADER, name)

    def cut_off(self, name: str, to: WorkerAddress) -> None:
        """Let the calls of a relay to a worker get no reply."""
        self.made[name].unreachable.add(to.address)

    def add_worker(self, name: str) -> WorkerAddress:
        worker = StandInWorker(WorkerId(name), self.clock, duration=None)
        self.fleet.add(worker)
        return WorkerAddress(worker.worker, worker.address)

    def get_worker(self, to: WorkerAddress) -> StandInWorker:
        return self.fleet.workers[to.address]

    def find_relay(self, to: WorkerAddress) -> str:
        """Return the relay that made the latest call to a worker."""
        return next(
            name
            for name, calls in self.made.items()
            if any(address == to.address for address, _ in calls.orders)
        )

    async def _serve(
        self,
        name: str,
        calls: WorkerCalls,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None],
    ) -> None:
        relay = WorkerRelay(calls, self.clock, lambda: False)

        async def serve(stream: MessageStream) -> None:
            if name in self.frozen:
                await trio.sleep_forever()
            await relay.serve(stream)

        with scope:
            await MemoryTransport(self.network, name).serve(
                name, PORT, streams={RELAY_STREAM: serve}, task_status=task_status
            )


class RelayedDeployment(Deployment):
    """A deployment whose leader calls its workers through relays."""

    def __init__(self, *names: str) -> None:
        super().__init__()
        self.relays = Relays(*names, fleet=self.fleet)

    def make_leader(self, leadership: Leadership) -> SchedulingLeader:
        return SchedulingLeader(
            self.log,
            calls=self.relays.relayed,
            clock=self.clock,
            settings=self.settings,
            marks=self.marks,
            leadership=leadership,
        )


Test = Callable[[Any, Relays], Awaitable[None]]


def with_relays(
    *names: str, workers_per_relay: int = 1
) -> Callable[[Test], Callable[[Any], None]]:
    """Return a decorator that runs a test with relays that are not started."""

    def decorate(test: Test) -> Callable[[Any], None]:
        @wraps(test)
        def run(case: Any) -> None:
            async def check() -> None:
                await test(case, Relays(*names, workers_per_relay=workers_per_relay))

            run_deterministic(check, seed=1)

        return run

    return decorate


async def wait_until(holds: Callable[[], bool], seconds: float) -> None:
    """Wait until a condition holds; fail after a time."""
    with trio.fail_after(seconds):
        while not holds():
            await trio.sleep(0.01)
