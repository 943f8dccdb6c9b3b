"""Tests of how long standing tasks wait beside a worker that has become sound."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import (
    FOREVER,
    ONE_CORE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    SETTINGS,
    TIME_STEP,
    TOLERATED_SECONDS_OF_RECOVERY,
    TWO_CORES,
    fail_runs,
)

LONG = timedelta(seconds=4)


async def measure_wait(worker: StandInWorker, names: list[str]) -> float:
    """Return the time until a worker runs all tasks, at most ``LIMIT_SECONDS``."""
    began = trio.current_time()
    while trio.current_time() - began < LIMIT_SECONDS:
        worker.end_due_runs()
        if all(TaskName(name) in worker.runs for name in names):
            break
        await trio.sleep(TIME_STEP)
    return trio.current_time() - began


async def add_full_worker(deployment: Deployment) -> StandInWorker:
    """Add a worker, and a standing task that takes all its capacity."""
    worker = deployment.add_worker("w2", duration=None)
    await trio.sleep(1)
    await deployment.submit("k", Step(demand=CAPACITY, standing=True))
    await trio.sleep(1)
    return worker


class ProbationTest(unittest.TestCase):
    @with_deployment()
    async def test_tasks_that_never_ran_do_not_wait_for_a_whole_probation(
        self, deployment: Deployment
    ) -> None:
        """The probe, another task of their step, had failed just before."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("s", Step(tasks=4, demand=TWO_CORES))
            await trio.sleep(1)
            await add_full_worker(deployment)
            fail_runs(worker)
            await trio.sleep(0.3)
            step = Step(tasks=3, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(5.9)
            self.assertEqual(worker.started[-1][0], "l.0.0.0")
            worker.end, worker.duration = RunEnd.DONE, None
            took = await measure_wait(worker, ["l.0.0.1", "l.0.0.2"])
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment(max_attempts=20, slowdown_goal=100.0)
    async def test_standing_tasks_do_not_wait_for_the_probation_of_a_finite_probe(
        self, deployment: Deployment
    ) -> None:
        """Jobs on time go first, so that one of them was the probe."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead(), trio.open_nursery() as nursery:
            await deployment.submit("s", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(1)
            await add_full_worker(deployment)
            fail_runs(worker)
            await trio.sleep(0.3)

            async def submit() -> None:
                for number in range(40):
                    step = Step(demand=ONE_CORE, estimate_ms=4000)
                    await deployment.submit(f"m{number}", step)
                    await trio.sleep(2)

            nursery.start_soon(submit)
            step = Step(tasks=2, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(5.9)
            self.assertEqual(worker.started[-1][0][0], "m")
            worker.end, worker.duration = RunEnd.DONE, LONG
            took = await measure_wait(worker, ["l.0.0.0", "l.0.0.1"])
            nursery.cancel_scope.cancel()
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment()
    async def test_interrupted_tasks_do_not_wait_for_the_probation_after_a_stall(
        self, deployment: Deployment
    ) -> None:
        """Only failed runs let them return before the quarantine had ended."""
        deployment.settings = SETTINGS
        first = deployment.add_worker("w1", duration=None)
        deployment.fleet.restart_delay = FOREVER
        async with deployment.lead():
            step = Step(tasks=4, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(1)
            worker = deployment.add_worker("w2", duration=None)
            worker.is_stuck = True
            await trio.sleep(1)
            await deployment.submit("s", Step(tasks=4, demand=TWO_CORES))
            await trio.sleep(0.2)
            self.assertEqual(len(worker.runs), step.tasks)
            deployment.fleet.crash(first)
            while worker.runs:
                await trio.sleep(TIME_STEP)
            worker.is_stuck = False
            took = await measure_wait(worker, ["l.0.0.1", "l.0.0.2"])
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    def test_tasks_that_follow_a_probe_do_not_prolong_the_probation(self) -> None:
        quarantine, worker = WorkerQuarantine(SETTINGS), WorkerId("w1")
        for _ in range(SETTINGS.quarantine_failures):
            quarantine.record_failure(worker, timedelta())
        probed_at = SETTINGS.standing_probe_delay
        quarantine.record_probe(worker, probed_at)
        followed_at = probed_at + SETTINGS.standing_probe_duration
        self.assertTrue(quarantine.has_proven_probe(worker, followed_at))
        quarantine.record_probe(worker, followed_at)
        self.assertTrue(quarantine.has_proven_probe(worker, followed_at))
        ended_at = probed_at + SETTINGS.probe_duration + MILLISECOND
        self.assertFalse(quarantine.is_on_probation(worker, ended_at))


if __name__ == "__main__":
    unittest.main()
