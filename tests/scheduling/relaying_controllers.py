"""Controllers of one deployment in memory, on a virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import trio
from returns.result import Failure, Result

from rhubarbfield.clock import VirtualClock
from rhubarbfield.scheduling.controller import SchedulingController
from rhubarbfield.scheduling.deployment import DeploymentSettings, WorkerTimes
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerView,
)
from rhubarbfield.storage import MemoryStore
from rhubarbfield.testing.memory_transport import MemoryTransport, SimulatedNetwork
from rhubarbfield.testing.scheduling_fleet import StandInFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import FailureDomain, WorkerId
from tests.scheduling.deployments import CONFIGURATION

PEER_PORT = 2
REPORT_SECONDS = 0.5
ELECTION_SECONDS = 30.0


class RecordedCalls:
    """A client for calls to workers that records the calls made through it.

    Attributes
    ----------
    orders
        Address and order of each call, in order.
    kinds
        Number of calls by type of order.
    unreachable
        Addresses that calls through this client do not reach.
    """

    def __init__(self, calls: WorkerCalls) -> None:
        self._calls = calls
        self.orders: list[tuple[str, Any]] = []
        self.kinds: Counter[type] = Counter()
        self.unreachable: set[str] = set()
        self.forgotten: list[str] = []

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        if not self._record(to, order):
            return Failure(NoReply("cut off"))
        return await self._calls.start(to, order)

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        if not self._record(to, order):
            return Failure(NoReply("cut off"))
        return await self._calls.stop(to, order)

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        if not self._record(to, order):
            return Failure(NoReply("cut off"))
        return await self._calls.pace(to, order)

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        if not self._record(to, request):
            return Failure(NoReply("cut off"))
        return await self._calls.view(to, request)

    async def forget(self, address: str) -> None:
        self.forgotten.append(address)
        await self._calls.forget(address)

    def _record(self, to: WorkerAddress, order: Any) -> bool:
        """Record a call; return whether it reaches the worker."""
        self.orders.append((to.address, order))
        self.kinds[type(order)] += 1
        return to.address not in self.unreachable


class Controllers:
    """Controllers that replicate one log and call the same stand-in workers."""

    def __init__(self, *names: str) -> None:
        self.clock = VirtualClock()
        self.network = SimulatedNetwork(random.Random(1))
        self.fleet = StandInFleet(self.clock)
        self.calls = {name: RecordedCalls(self.fleet) for name in names}
        self.controllers = {
            name: SchedulingController(
                DeploymentSettings(
                    instance=name,
                    failure_domain=FailureDomain("z"),
                    host=name,
                    peer_port=PEER_PORT,
                    seeds=tuple(f"{each}:1" for each in names),
                    may_form_group=True,
                    workers=WorkerTimes(report_ms=500, longest_lease_ms=6000),
                ),
                transport=MemoryTransport(self.network, name),
                store=MemoryStore(),
                calls=self.calls[name],
                clock=self.clock,
                rng=random.Random(name),
            )
            for name in names
        }
        self.workers: list[StandInWorker] = []

    @asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Run the controllers, and yield the leader's name once one is elected."""
        async with trio.open_nursery() as nursery:
            for controller in self.controllers.values():
                await nursery.start(controller.run)
            with trio.fail_after(ELECTION_SECONDS):
                leader = await self.find_leader()
            await self.controllers[leader].service.put_configuration(CONFIGURATION)
            nursery.start_soon(self._report)
            await trio.sleep(2 * REPORT_SECONDS)
            yield leader
            nursery.cancel_scope.cancel()

    async def find_leader(self) -> str:
        """Return the name of the leader, once there is one."""
        while True:
            for name, controller in self.controllers.items():
                if controller.log.leads():
                    return name
            await trio.sleep(0.05)

    def add_worker(self, name: str, **options: Any) -> StandInWorker:
        worker = StandInWorker(WorkerId(name), self.clock, **options)
        self.fleet.add(worker)
        self.workers.append(worker)
        return worker

    async def _report(self) -> None:
        """Let each worker report to all controllers, all workers at once."""
        while True:
            async with trio.open_nursery() as nursery:
                for worker in self.workers:
                    nursery.start_soon(self._report_one, worker)
            await trio.sleep(REPORT_SECONDS)

    async def _report_one(self, worker: StandInWorker) -> None:
        heartbeat = worker.make_heartbeat()
        for controller in self.controllers.values():
            await controller.service.handle_heartbeat(heartbeat)
