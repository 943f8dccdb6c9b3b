"""Tests of runs that are stopped while their start may still crash the worker."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import Demand, JobPhase, Step, TaskName, name_step
from rhubarbfield.scheduling.state import Task
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_deadly_tasks import (
    DEADLY,
    MAX_STARTS,
    add_workers,
    count_starts,
)

# Times from a start to the crash: the end of a run that is stopped at once is recorded
# before, or not even listed.
ENDS_RECORDED = timedelta(milliseconds=20)
ENDS_UNKNOWN = timedelta(milliseconds=5)
FIRST = TaskName("j.0.0.0")


class BriefRunTest(unittest.TestCase):
    """A gang that is stopped at once, as its second member has no room."""

    async def stop_and_crash(
        self, deployment: Deployment, delay: float
    ) -> tuple[Task, list[int]]:
        """Crash the worker of the first member ``delay`` seconds after its end.

        Returns the member, and the number of brief runs of each worker at the crash.
        """
        workers = [deployment.add_worker(f"w{number}") for number in range(2)]
        for worker in workers:
            worker.capacity = ONE_CORE
            worker.demands[FIRST] = ONE_CORE
            worker.demands[TaskName("j.0.0.1")] = ONE_CORE.plus(ONE_CORE)
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=2, demand=ONE_CORE, gang=True))
            while not any(worker.has_ended(FIRST) for worker in workers):
                await trio.sleep(0.001)
            for worker in workers:
                worker.set_capacity(Demand())  # so that nothing starts again
            await trio.sleep(delay)
            brief = [len(each.brief) for each in deployment.state.workers.values()]
            for worker in workers:
                if worker.has_ended(FIRST):
                    deployment.fleet.crash(worker)
            await trio.sleep(5)
        return deployment.get_job("j").occurrences[0][0].tasks[0], brief

    @with_deployment()
    async def test_crash_right_after_a_run_has_ended_counts_as_uncertain(
        self, deployment: Deployment
    ) -> None:
        task, brief = await self.stop_and_crash(deployment, 0.05)
        self.assertEqual(sum(brief), 1)
        self.assertEqual((task.crashes, task.blame, task.certain_crashes), (1, 100, 0))

    @with_deployment()
    async def test_crash_after_a_worker_has_outlived_a_run_counts_for_nothing(
        self, deployment: Deployment
    ) -> None:
        task, brief = await self.stop_and_crash(deployment, 2)
        self.assertEqual(sum(brief), 0)
        self.assertEqual((task.crashes, task.blame), (0, 0))


class StoppedRunTest(unittest.TestCase):
    """A gang whose deadly member is stopped, as another one has no room."""

    def add_gang(self, deployment: Deployment) -> Step:
        add_workers(deployment)
        deployment.fleet.deadly.add(DEADLY)
        deployment.fleet.gang_steps.add(name_step(DEADLY))
        return Step(tasks=2, demand=ONE_CORE, gang=True)

    def refuse_other_member(self, deployment: Deployment) -> None:
        for worker in deployment.fleet.workers.values():
            worker.demands[TaskName("deadly.0.0.1")] = worker.capacity.plus(ONE_CORE)

    @with_deployment()
    async def test_task_whose_runs_are_stopped_before_the_crash_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        step = self.add_gang(deployment)
        self.refuse_other_member(deployment)
        deployment.fleet.crash_delay = ENDS_RECORDED
        async with deployment.lead():
            await deployment.submit("deadly", step)
            await trio.sleep(60)
        self.assertEqual(deployment.fleet.count_crashes(DEADLY), 0)
        self.assertEqual(count_starts(deployment, DEADLY), MAX_STARTS)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)

    @with_deployment()
    async def test_crash_after_the_stop_of_a_run_is_lost_with_the_leader(
        self, deployment: Deployment
    ) -> None:
        """Each leader ends while the worker is silent, and knows why it may be."""
        step = self.add_gang(deployment)
        self.refuse_other_member(deployment)
        deployment.fleet.crash_delay = ENDS_RECORDED
        await deployment.submit("deadly", step)
        for term in range(2, 20):
            started = count_starts(deployment, DEADLY)
            async with deployment.lead():
                with trio.move_on_after(6):
                    while count_starts(deployment, DEADLY) == started:
                        await trio.sleep(0.1)
                    await trio.sleep(0.5)
            deployment.elect(term)
        self.assertEqual(count_starts(deployment, DEADLY), MAX_STARTS)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)

    @with_deployment()
    async def test_run_that_was_stopped_before_the_crash_gives_its_task_up(
        self, deployment: Deployment
    ) -> None:
        """Its end is not listed yet; only one worker has crashed with the task."""
        step = self.add_gang(deployment)
        deployment.fleet.crash_delay = ENDS_UNKNOWN
        async with deployment.lead():
            await deployment.submit("deadly", step)
            while not deployment.fleet.count_crashes(DEADLY):
                await trio.sleep(0.1)
            self.refuse_other_member(deployment)
            while count_starts(deployment, DEADLY) < 2:
                await trio.sleep(0.1)
            await trio.sleep(5)
        self.assertEqual(deployment.fleet.count_crashes(DEADLY), 1)
        self.assertNotEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)


if __name__ == "__main__":
    unittest.main()
