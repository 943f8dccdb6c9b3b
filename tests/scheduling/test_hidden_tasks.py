"""Tests of interrupted tasks that others must not keep from room that there is."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import Demand, Step, TaskName
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from tests.scheduling.deployments import (
    FOREVER,
    ONE_CORE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_standstills import (
    LARGE,
    LIMIT_SECONDS,
    SETTINGS,
    TIME_STEP,
    TOLERATED_SECONDS,
)

HALF = Demand(4000, 1000)
CAPACITY_SECONDS = 3.0
TASK_SECONDS = timedelta(seconds=60)


async def measure_wait(worker: StandInWorker, name: str) -> float:
    """Return the time until a worker runs a task, at most ``LIMIT_SECONDS``."""
    began = trio.current_time()
    while trio.current_time() - began < LIMIT_SECONDS:
        worker.end_due_runs()
        if TaskName(name) in worker.runs:
            break
        await trio.sleep(TIME_STEP)
    return trio.current_time() - began


class HiddenTaskTest(unittest.TestCase):
    @with_deployment()
    async def test_smaller_interrupted_task_does_not_wait_for_a_reservation(
        self, deployment: Deployment
    ) -> None:
        """The worker was reserved for a larger one, and its runs took much longer."""
        deployment.settings = SETTINGS
        lost = [deployment.add_worker(name, duration=None) for name in ("w1", "w2")]
        deployment.fleet.restart_delay = FOREVER
        async with deployment.lead():
            await deployment.submit("l", Step(demand=CAPACITY, standing=True))
            await deployment.submit("s", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            last = deployment.add_worker("w3", duration=TASK_SECONDS)
            await trio.sleep(0.5)
            await deployment.submit("f", Step(demand=Demand(7000, 1000)))
            for name in ("k1", "k2"):
                step = Step(demand=HALF, estimate_ms=1000)
                await deployment.submit(name, step)
            await trio.sleep(1)
            self.assertEqual(len(last.runs), 2)
            lost.sort(key=lambda worker: "l.0.0.0" not in worker.runs)
            for worker in lost:
                deployment.fleet.crash(worker)
                await trio.sleep(2 * TOLERATED_SECONDS)
            self.assertEqual(len(last.runs), 2)
            last.end_run(TaskName("k1.0.0.0"), RunEnd.DONE)
            took = await measure_wait(last, "s.0.0.0")
        self.assertLess(took, CAPACITY_SECONDS)

    @with_deployment()
    async def test_standing_task_that_never_ran_does_not_wait_for_a_reservation(
        self, deployment: Deployment
    ) -> None:
        """It was noticed by random days, beside six free cores of eight."""
        deployment.settings = SETTINGS
        lost = deployment.add_worker("w1", duration=None)
        deployment.fleet.restart_delay = FOREVER
        async with deployment.lead():
            await deployment.submit("l", Step(demand=CAPACITY, standing=True))
            await trio.sleep(1)
            last = deployment.add_worker("w2", duration=TASK_SECONDS)
            await trio.sleep(0.5)
            for name in ("k1", "k2"):
                await deployment.submit(name, Step(demand=HALF, estimate_ms=1000))
            await trio.sleep(1)
            deployment.fleet.crash(lost)
            await trio.sleep(2 * TOLERATED_SECONDS)
            await deployment.submit("s", Step(demand=ONE_CORE, standing=True))
            last.end_run(TaskName("k1.0.0.0"), RunEnd.DONE)
            took = await measure_wait(last, "s.0.0.0")
        self.assertLess(took, TOLERATED_SECONDS)

    @with_deployment()
    async def test_suspected_task_does_not_hide_others_of_its_step(
        self, deployment: Deployment
    ) -> None:
        """A worker was reserved for the other, and no task could start there."""
        deployment.settings = SETTINGS
        both = [deployment.add_worker(name, duration=None) for name in ("w1", "w2")]
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=2, demand=LARGE, standing=True))
            while not all(worker.runs for worker in both):
                await trio.sleep(TIME_STEP)
            both.sort(key=lambda worker: sorted(worker.runs))
            last = deployment.add_worker("w3", duration=TASK_SECONDS)
            await trio.sleep(0.5)
            for name in ("k1", "k2"):
                await deployment.submit(name, Step(demand=HALF, estimate_ms=1000))
            for worker in both:  # the first task had just been started
                worker.capacity = ONE_CORE  # of its next life
                deployment.fleet.crash(worker)
                await trio.sleep(TOLERATED_SECONDS)
            suspects = [
                deployment.state.find_task(TaskName(f"j.0.0.{index}"))
                for index in range(2)
            ]
            self.assertEqual(
                [each and each[3].is_suspect for each in suspects], [True, False]
            )
            self.assertEqual(len(last.runs), 2)
            for name in ("k1", "k2"):
                last.end_run(TaskName(f"{name}.0.0.0"), RunEnd.DONE)
            began = trio.current_time()
            while not last.runs and trio.current_time() - began < LIMIT_SECONDS:
                await trio.sleep(TIME_STEP)
            took = trio.current_time() - began
        self.assertLess(took, CAPACITY_SECONDS)


if __name__ == "__main__":
    unittest.main()
