"""Tests of ends that a worker lists long before the leader learns of them."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial

import trio

from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import WorkerAddress
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.relays import RelayedDeployment, Relays
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    SETTINGS,
    TOLERATED_SECONDS_OF_RECOVERY,
    TWO_CORES,
    fail_runs,
    measure_return,
)

TASKS = CAPACITY.millicores // TWO_CORES.millicores
VIEW_SECONDS = 2.0  # by then a view from before a cut has ended
CAPACITY_SECONDS = 3.0
CUT_SECONDS = 3.0
ELECTION_SECONDS = 2.0


async def lose_contact(worker: StandInWorker) -> None:
    """Cut a worker off, which fails its runs meanwhile and is sound afterwards."""
    worker.is_unreachable = True
    await trio.sleep(VIEW_SECONDS)
    fail_runs(worker)
    await trio.sleep(CUT_SECONDS)
    worker.end, worker.duration = RunEnd.DONE, None
    worker.is_unreachable = False


def cut_off_all(relays: Relays, name: str) -> None:
    """Let the calls of a relay to all workers get no reply."""
    for worker in relays.fleet.workers.values():
        relays.cut_off(name, WorkerAddress(worker.worker, worker.address))


class LateEndsTest(unittest.TestCase):
    @with_deployment()
    async def test_failures_during_a_cut_do_not_keep_tasks_away_after_it(
        self, deployment: Deployment
    ) -> None:
        """The quarantine began when the ends were known, as if they were new."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=TASKS, demand=TWO_CORES, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
            await lose_contact(worker)
            took = await measure_return(worker, TASKS, LIMIT_SECONDS)
        self.assertLess(took, CAPACITY_SECONDS)

    @with_deployment()
    async def test_failures_during_a_cut_do_not_keep_tasks_away_under_the_next_leader(
        self, deployment: Deployment
    ) -> None:
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=TASKS, demand=TWO_CORES, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
        await lose_contact(worker)
        await trio.sleep(ELECTION_SECONDS)
        deployment.elect(2)
        async with deployment.lead():
            took = await measure_return(worker, TASKS, LIMIT_SECONDS)
        self.assertLess(ELECTION_SECONDS + took, TOLERATED_SECONDS_OF_RECOVERY)

    def test_failures_listed_to_a_lost_relay_do_not_keep_tasks_away(self) -> None:
        """The leader is well, and the worker is only called through the relay."""
        for loss in (Relays.kill, Relays.freeze, cut_off_all):
            with self.subTest(loss=loss.__name__):
                run_deterministic(partial(self._check_lost_relay, loss), seed=1)

    async def _check_lost_relay(self, loss: Callable[[Relays, str], None]) -> None:
        deployment = RelayedDeployment("r1", "r2")
        deployment.settings = SETTINGS
        await deployment.configure()
        relays = deployment.relays
        worker = deployment.add_worker("w1", duration=None)
        async with relays.run():
            await trio.sleep(1)
            async with deployment.lead():
                step = Step(tasks=TASKS, demand=TWO_CORES, standing=True)
                await deployment.submit("j", step)
                await trio.sleep(1)
                address = WorkerAddress(worker.worker, worker.address)
                loss(relays, relays.find_relay(address))
                fail_runs(worker)
                worker.end, worker.duration = RunEnd.DONE, None
                took = await measure_return(worker, TASKS, LIMIT_SECONDS)
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment()
    async def test_failures_before_an_election_prove_nothing_about_finite_tasks(
        self, deployment: Deployment
    ) -> None:
        """A worker that goes on to fail gets one task of many at a time."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=TASKS, demand=TWO_CORES, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
        fail_runs(worker)
        before = len(worker.started)
        deployment.elect(2)
        async with deployment.lead():
            await deployment.submit("k", Step(tasks=TASKS, demand=TWO_CORES))
            await trio.sleep(SETTINGS.standing_probe_delay.total_seconds())
        self.assertLessEqual(len(worker.started), before + 1)


if __name__ == "__main__":
    unittest.main()
