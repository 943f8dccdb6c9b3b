"""Three scheduling controllers with stand-in workers, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import wraps
from typing import Any

import trio

from rhubarbfield.clock import Clock, VirtualClock
from rhubarbfield.groups import NotLeading
from rhubarbfield.scheduling.controller import SchedulingController
from rhubarbfield.scheduling.deployment import DeploymentSettings, WorkerTimes
from rhubarbfield.scheduling.model import JobSubmission, Step
from rhubarbfield.scheduling.requests import Accepted, JobRequest, JobVerb
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.storage import LogStore, MemoryStore
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.memory_transport import MemoryTransport, SimulatedNetwork
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import FailureDomain, WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import CONFIGURATION, QUEUE

NAMES = ("c1", "c2", "c3")
REPORT_MS = 1100
REPORT_SECONDS = REPORT_MS / 1000
SETTLING_SECONDS = 5  # an election, and the first contact of followers


def make_settings(name: str) -> DeploymentSettings:
    """Return the settings of a controller or an entry."""
    return DeploymentSettings(
        instance=name,
        failure_domain=FailureDomain(f"z-{name}"),
        host=name,
        peer_port=1,
        seeds=tuple(f"{each}:2" for each in NAMES),
        may_form_group=True,
        workers=WorkerTimes(report_ms=REPORT_MS, longest_lease_ms=10000),
    )


class Controllers:
    """Controllers that replicate one log over a simulated network.

    Parameters
    ----------
    transport
        Makes each controller's transport from the network and its name.
    make_store
        Makes the store of a controller's log from its name.
    make_fleet
        Makes the port to the workers.
    """

    def __init__(
        self,
        transport: Callable[..., Any] = MemoryTransport,
        make_store: Callable[[str], LogStore] = lambda _: MemoryStore(),
        make_fleet: Callable[[Clock], CrashingFleet] = CrashingFleet,
    ) -> None:
        self._make_store = make_store
        self.clock = VirtualClock()
        self.network = SimulatedNetwork(random.Random(1))
        self.fleet = make_fleet(self.clock)
        self._members = {name: self.make(name, transport) for name in NAMES}

    def make(self, name: str, transport: Callable[..., Any]) -> SchedulingController:
        """Return a controller that does not run yet."""
        return SchedulingController(
            make_settings(name),
            transport=transport(self.network, name),
            store=self._make_store(name),
            calls=self.fleet,
            clock=self.clock,
            rng=random.Random(name),
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run the controllers during the block, which begins with a leader."""
        async with trio.open_nursery() as nursery:
            for member in self._members.values():
                nursery.start_soon(member.run)
            await trio.sleep(SETTLING_SECONDS)
            accepted = await self.leader.service.put_configuration(CONFIGURATION)
            assert isinstance(accepted, Accepted), accepted
            yield
            nursery.cancel_scope.cancel()

    @property
    def leader(self) -> SchedulingController:
        return self.list_leaders()[0]

    def list_leaders(self) -> list[SchedulingController]:
        """Return the controller that leads now, if there is one."""
        return [each for each in self._members.values() if each.service.leads()]

    @property
    def followers(self) -> list[SchedulingController]:
        return [each for each in self._members.values() if not each.service.leads()]

    def get_name(self, controller: SchedulingController) -> str:
        return next(n for n, each in self._members.items() if each is controller)

    def cut_off(self, controller: SchedulingController) -> None:
        """Cut a controller off from the others, in both directions."""
        name = self.get_name(controller)
        for other in NAMES:
            if other != name:
                self.network.cut(name, other)
                self.network.cut(other, name)

    def add_worker(self, name: str) -> StandInWorker:
        worker = StandInWorker(WorkerId(name), self.clock)
        self.fleet.add(worker)
        return worker

    async def report_all(self, workers: list[StandInWorker]) -> None:
        """Send heartbeats of workers, each to the first controller that takes it."""
        while True:
            for first in workers:
                worker = self.fleet.find_latest(first)
                if worker.is_down:
                    continue
                for member in self._members.values():
                    if await report(member, worker) is True:
                        break
            await trio.sleep(REPORT_SECONDS)

    def find_worker(self, worker: StandInWorker) -> Worker | None:
        """Return the leader's record of a worker."""
        return self.leader.log.state.scheduling.workers.get(worker.worker)

    async def submit(self, job: str) -> None:
        request = JobRequest(
            verb=JobVerb.SUBMIT,
            host=QUEUE.host,
            path=f"{QUEUE.prefix}{job}",
            submission=JobSubmission(payload="p", steps=(Step(),)),
        )
        assert isinstance(await self.leader.service.answer(request), Accepted)


async def report(
    controller: SchedulingController, worker: StandInWorker, *, draining: bool = False
) -> bool | NotLeading:
    """Send the next heartbeat of a worker to a controller and return its answer."""
    heartbeat = worker.make_heartbeat(draining=draining)
    return await controller.service.handle_heartbeat(heartbeat)


def with_controllers(
    transport: Callable[..., Any] = MemoryTransport,
) -> Callable[[Callable[[Any, Controllers], Awaitable[None]]], Callable[[Any], None]]:
    """Return a decorator that runs a test with new controllers, one of which leads.

    Parameters
    ----------
    transport
        Makes each controller's transport from the network and its name.
    """

    def decorate(
        test: Callable[[Any, Controllers], Awaitable[None]],
    ) -> Callable[[Any], None]:
        @wraps(test)
        def run(case: Any) -> None:
            async def check() -> None:
                controllers = Controllers(transport)
                async with controllers.run():
                    await test(case, controllers)

            run_deterministic(check, seed=1)

        return run

    return decorate
