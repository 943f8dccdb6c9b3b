"""Tests of runs that are stopped while their start may still crash the worker."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import JobPhase, Step, TaskName, name_step
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
