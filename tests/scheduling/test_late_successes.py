"""Tests of successes that are listed after their run was recorded as lost."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import Demand, Step
from rhubarbfield.scheduling.ports import StartOrder
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

WORK = timedelta(seconds=2)
BEFORE_CUT_SECONDS = 1.0  # less than the work takes
RECOVERY_SECONDS = 3.0
LONG_WORK = timedelta(minutes=1)
WHOLE_WORKER = Demand(CAPACITY.millicores, 1000)


async def cut_off(deployment: Deployment, *workers: StandInWorker) -> None:
    """Cut workers off until their leases have lapsed, and reconnect them."""
    for worker in workers:
        worker.is_unreachable = True
    await trio.sleep(2 * deployment.settings.lease.total_seconds())
    for worker in workers:
        worker.is_unreachable = False
    await trio.sleep(RECOVERY_SECONDS)


async def run_through_cut(
    deployment: Deployment, steps: tuple[Step, ...], *workers: StandInWorker
) -> None:
    """Submit a job, and cut its workers off once its first step has started."""
    await deployment.submit("j", *steps)
    await trio.sleep(BEFORE_CUT_SECONDS)
    await cut_off(deployment, *workers)


def count_starts(deployment: Deployment, job: str) -> int:
    return len(deployment.list_sent(StartOrder, job))


class LateSuccessesTest(unittest.TestCase):
    @with_deployment()
    async def test_waiting_task_is_not_started_again_once_its_success_is_known(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await run_through_cut(deployment, (Step(demand=ONE_CORE),), worker)
        self.assertEqual(count_starts(deployment, "j"), 1)
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_success_is_known_to_the_leader_after_the_one_that_recorded_a_loss(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(BEFORE_CUT_SECONDS)
            worker.is_unreachable = True
            await trio.sleep(2 * deployment.settings.lease.total_seconds())
        machine = deployment.log.machine
        machine.restore(machine.take_snapshot())
        worker.is_unreachable = False
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(RECOVERY_SECONDS)
        self.assertEqual(count_starts(deployment, "j"), 1)
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_run_elsewhere_is_stopped_once_the_success_is_known(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(BEFORE_CUT_SECONDS)
            other = deployment.add_worker("w2", duration=LONG_WORK)
            await cut_off(deployment, worker)
            self.assertEqual(count_starts(deployment, "j"), 2)
            self.assertEqual(other.runs, {})
            self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)
            self.assertFalse(deployment.get_job("j").has_live_runs)

    @with_deployment()
    async def test_gang_is_not_started_again_once_the_success_of_a_member_is_known(
        self, deployment: Deployment
    ) -> None:
        workers = [deployment.add_worker(f"w{i}", duration=WORK) for i in range(2)]
        async with deployment.lead():
            await run_through_cut(
                deployment, (Step(tasks=2, gang=True, demand=WHOLE_WORKER),), *workers
            )
        self.assertEqual(count_starts(deployment, "j"), 2)
        self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_next_step_starts_once_the_success_is_known(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            steps = (Step(demand=ONE_CORE), Step(demand=ONE_CORE, after=(0,)))
            await run_through_cut(deployment, steps, worker)
        tasks = [task for task, _, _ in worker.started]
        self.assertEqual(tasks, ["j.0.0.0", "j.0.1.0"])

    @with_deployment()
    async def test_next_run_resumes_from_what_a_lapsed_run_had_saved(
        self, deployment: Deployment
    ) -> None:
        """Its worker lists the checkpoint once it is heard again."""
        worker = deployment.add_worker("w1", duration=LONG_WORK)
        async with deployment.lead():
            await run_through_cut(deployment, (Step(demand=ONE_CORE),), worker)
        orders = deployment.list_sent(StartOrder, "j")
        checkpoints = [each.order.checkpoint for each in orders]
        self.assertEqual(checkpoints, ["", "j.0.0.0/1"])

    @with_deployment()
    async def test_success_does_not_reopen_a_cancelled_job(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(BEFORE_CUT_SECONDS)
            await deployment.cancel("j")
            await cut_off(deployment, worker)
        self.assertIs(deployment.get_job("j").phase, JobPhase.CANCELLED)

    @with_deployment()
    async def test_standing_task_is_started_again_whatever_its_lost_run_listed(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await run_through_cut(
                deployment, (Step(demand=ONE_CORE, standing=True),), worker
            )
        self.assertGreater(count_starts(deployment, "j"), 1)


if __name__ == "__main__":
    unittest.main()
