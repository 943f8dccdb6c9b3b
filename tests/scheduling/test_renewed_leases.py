"""Tests of orders from before a lapse that are carried out around the next lease."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.testing.scheduling_workers import StandInWorker
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

TASK = TaskName("j.0.0.0")
WORK = timedelta(seconds=1)
UNANSWERED = 1
RENEWAL_SECONDS = 5.0  # by then a lease is offered anew


async def lose_start(deployment: Deployment) -> StandInWorker:
    """Let a worker miss an order to start, and its lease lapse."""
    worker = deployment.add_worker("w1", duration=WORK)
    worker.has_single_lease = True
    worker.unanswered_starts = UNANSWERED
    await trio.sleep(1)
    await deployment.submit("j", Step(demand=ONE_CORE))
    while not deployment.fleet.delayed_starts:
        await trio.sleep(0.01)
    worker.is_unreachable = True
    await trio.sleep(2 * deployment.settings.lease.total_seconds())
    return worker


class RenewedLeaseTest(unittest.TestCase):
    def _check_one_start(self, deployment: Deployment, worker: StandInWorker) -> None:
        self.assertEqual([task for task, _, _ in worker.started], [TASK])
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_start_from_before_a_lapse_does_not_begin_under_the_next_lease(
        self, deployment: Deployment
    ) -> None:
        async with deployment.lead():
            worker = await lose_start(deployment)
            worker.is_unreachable = False
            await trio.sleep(RENEWAL_SECONDS)
            self.assertGreater(worker.lease_end, worker.read_clock())
            deployment.fleet.deliver_delayed_starts()
            await trio.sleep(RENEWAL_SECONDS)
        self._check_one_start(deployment, worker)

    @with_deployment()
    async def test_start_from_before_a_lapse_does_not_begin_before_the_next_lease(
        self, deployment: Deployment
    ) -> None:
        async with deployment.lead():
            worker = await lose_start(deployment)
            deployment.fleet.deliver_delayed_starts()
            worker.is_unreachable = False
            await trio.sleep(RENEWAL_SECONDS)
        self._check_one_start(deployment, worker)

    @with_deployment()
    async def test_start_of_a_former_leader_does_not_begin_under_the_next_lease(
        self, deployment: Deployment
    ) -> None:
        """The next leader does not know that the order may be carried out."""
        async with deployment.lead():
            worker = await lose_start(deployment)
        worker.is_unreachable = False
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(RENEWAL_SECONDS)
            deployment.fleet.deliver_delayed_starts()
            await trio.sleep(RENEWAL_SECONDS)
        self._check_one_start(deployment, worker)


if __name__ == "__main__":
    unittest.main()
