"""Tests of ends that a worker lists while its life, or its lease, ends."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
from returns.result import Result

from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.scheduling.ports import (
    CallFailure,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

WORK_SECONDS = 1.0
REPLY_SECONDS = 0.1
RETURN = timedelta(seconds=0.02)
SETTLING_SECONDS = 12.0  # longer than a lease


class SlowReplies(CrashingFleet):
    """Worker port whose replies to views are under way for a while."""

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a worker's view of its runs."""
        result = await super().view(to, request)
        await trio.sleep(REPLY_SECONDS)
        return result


async def wait_until_listed(worker: StandInWorker) -> None:
    """Wait until a worker has listed its first end."""
    while worker._last_listed_number == 0:
        await trio.sleep(0.001)


class ListedEndsTest(unittest.TestCase):
    @with_deployment()
    async def test_end_counts_though_another_life_answers_before_it_arrives(
        self, deployment: Deployment
    ) -> None:
        """A stop finds the next life while the reply with the end is under way."""
        fleet = deployment.fleet = SlowReplies(deployment.clock)
        fleet.restart_delay = RETURN
        fleet.endless.add(TaskName("s.0.0.0"))
        worker = deployment.add_worker("w1", duration=timedelta(seconds=WORK_SECONDS))
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE))
            await deployment.submit("s", Step(demand=ONE_CORE))
            await wait_until_listed(worker)
            await leader.handle_departure(worker.worker)
            fleet.crash(worker)
            await trio.sleep(2 * RETURN.total_seconds())
            await deployment.cancel("s")
            await trio.sleep(SETTLING_SECONDS)
        self.assertEqual(fleet.starts[TaskName("j.0.0.0")], 1)
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_end_counts_though_the_worker_leaves_before_it_arrives(
        self, deployment: Deployment
    ) -> None:
        fleet = deployment.fleet = SlowReplies(deployment.clock)
        worker = deployment.add_worker("w1", duration=timedelta(seconds=WORK_SECONDS))
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE))
            await wait_until_listed(worker)
            await leader.handle_departure(worker.worker)
            fleet.crash(worker)
            await trio.sleep(SETTLING_SECONDS)
        self.assertEqual(fleet.starts[TaskName("j.0.0.0")], 1)
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
