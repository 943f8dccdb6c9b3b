"""Tests of steps whose runs fail on every worker."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.failing_steps import FailingSteps
from rhubarbfield.scheduling.model import Demand, Step, StepName
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_standstills import LIMIT_SECONDS, TIME_STEP

SETTINGS = SchedulingSettings()
MOMENT = timedelta(milliseconds=10)
BEGAN = timedelta(hours=1)
HOPELESS = StepName("j.0.0")
OTHER = StepName("k.0.0")
WORKERS = tuple(WorkerId(f"w{number}") for number in range(4))
TOLERATED_SECONDS = 3.0  # for a task that has capacity beside it


class FailingStepsTest(unittest.TestCase):
    def test_failures_are_forgotten_in_the_order_of_the_latest(self) -> None:
        steps = FailingSteps(timedelta(seconds=10), lambda _step: set())
        for worker in WORKERS:
            steps.record_failure(HOPELESS, worker, timedelta())
        for worker in WORKERS:
            steps.record_failure(OTHER, worker, timedelta(seconds=5))
        self.assertTrue(steps.is_at_fault(HOPELESS))
        steps.record_failure(StepName("l.0.0"), WORKERS[0], timedelta(seconds=12))
        self.assertFalse(steps.is_at_fault(HOPELESS))
        self.assertTrue(steps.is_at_fault(OTHER))


class HopelessStepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.running: set[WorkerId] = set()
        self.quarantine = WorkerQuarantine(SETTINGS, lambda _step: self.running)
        self.now = BEGAN

    def fail_runs(self, worker: WorkerId, step: StepName, count: int = 1) -> None:
        for _ in range(count):
            self.now += MOMENT
            self.quarantine.record_failure(worker, self.now, step=step)

    def list_quarantined(self) -> list[WorkerId]:
        return [each for each in WORKERS if self.quarantine.is_on_probation(each)]

    def test_worker_on_which_alone_a_step_fails_is_quarantined(self) -> None:
        self.fail_runs(WORKERS[0], HOPELESS, 2)
        self.assertEqual(self.list_quarantined(), [WORKERS[0]])

    def test_step_that_fails_everywhere_quarantines_no_worker(self) -> None:
        for worker in WORKERS:
            self.fail_runs(worker, HOPELESS, 4)
        self.assertEqual(self.list_quarantined(), [])

    def test_worker_that_fails_several_steps_is_found_at_the_second_failure(
        self,
    ) -> None:
        for worker in WORKERS[:2]:
            self.fail_runs(worker, HOPELESS)
        self.assertEqual(self.list_quarantined(), [])
        for worker in WORKERS[:2]:
            self.fail_runs(worker, OTHER)
        self.assertEqual(self.list_quarantined(), list(WORKERS[:2]))

    def test_workers_that_fail_a_step_are_quarantined_while_as_many_run_it(
        self,
    ) -> None:
        others = {WorkerId(f"x{number}") for number in range(3)}
        self.running = {*WORKERS[:3], *others}
        for worker in WORKERS[:3]:
            self.fail_runs(worker, HOPELESS, 2)
        self.assertEqual(self.list_quarantined(), list(WORKERS[:3]))
        self.fail_runs(WORKERS[3], HOPELESS)
        self.assertEqual(self.list_quarantined(), [])

    def test_failures_of_a_step_that_succeeds_elsewhere_count(self) -> None:
        for worker in WORKERS[:2]:
            self.fail_runs(worker, HOPELESS)
        self.quarantine.record_success(WORKERS[2], HOPELESS)
        self.fail_runs(WORKERS[0], HOPELESS)
        self.assertEqual(self.list_quarantined(), [WORKERS[0]])

    def test_worker_that_stalled_is_not_absolved(self) -> None:
        self.quarantine.record_stall(WORKERS[0], self.now)
        for worker in WORKERS:
            self.fail_runs(worker, HOPELESS, 2)
        self.assertEqual(self.list_quarantined(), [WORKERS[0]])

    def test_two_steps_that_fail_everywhere_quarantine_no_worker(self) -> None:
        for step in (HOPELESS, OTHER):
            for worker in WORKERS:
                self.fail_runs(worker, step, 2)
        self.assertEqual(self.list_quarantined(), [])

    def test_tasks_that_met_two_faulty_workers_do_not_absolve_them(self) -> None:
        for number in range(3):
            for worker in WORKERS[:2]:
                self.fail_runs(worker, StepName(f"{number}.0.0"))
        self.assertEqual(self.list_quarantined(), list(WORKERS[:2]))


class HopelessJobTest(unittest.TestCase):
    @with_deployment()
    async def test_hopeless_job_does_not_take_sound_workers_out_of_use(
        self, deployment: Deployment
    ) -> None:
        workers = [deployment.add_worker(f"w{number}") for number in range(4)]
        for worker in workers:
            worker.end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=16, demand=Demand(2000, 1000)))
            while deployment.get_job("j").is_open:
                await trio.sleep(TIME_STEP)
            for worker in workers:
                worker.end, worker.duration = RunEnd.DONE, None
            began = trio.current_time()
            await deployment.submit("l", Step(tasks=2, demand=ONE_CORE, standing=True))
            names = {"l.0.0.0", "l.0.0.1"}
            while trio.current_time() - began < LIMIT_SECONDS:
                if names <= {task for worker in workers for task in worker.runs}:
                    break
                await trio.sleep(TIME_STEP)
        took = trio.current_time() - began
        self.assertLess(took, TOLERATED_SECONDS)

    @with_deployment(max_attempts=3)
    async def test_hopeless_jobs_do_not_take_sound_workers_out_of_use_together(
        self, deployment: Deployment
    ) -> None:
        workers = [deployment.add_worker(f"w{number}") for number in range(6)]
        for worker in workers:
            worker.end = RunEnd.FAILED
        async with deployment.lead():
            for name in "jk":
                await deployment.submit(name, Step(tasks=16, demand=Demand(2000, 1000)))
            while any(deployment.get_job(name).is_open for name in "jk"):
                await trio.sleep(TIME_STEP)
            for worker in workers:
                worker.end, worker.duration = RunEnd.DONE, timedelta(seconds=0.5)
            began = trio.current_time()
            await deployment.submit("l", Step(tasks=24, demand=Demand(2000, 1000)))
            while deployment.get_job("l").is_open:
                await trio.sleep(TIME_STEP)
        took = trio.current_time() - began
        self.assertLess(took, TOLERATED_SECONDS)


if __name__ == "__main__":
    unittest.main()
