"""Tests of interrupted tasks that others must not keep from room that there is."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import Demand, Step, TaskName
from rhubarbfield.scheduling.state import RunEnd
from tests.scheduling.deployments import (
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


class HiddenTaskTest(unittest.TestCase):
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
