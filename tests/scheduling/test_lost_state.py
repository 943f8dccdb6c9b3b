"""Tests of the log events that show a state without committed records."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_removals import LEADER_LOG, find_events

SESSION_LOG = "rhubarbfield.scheduling.session"
TASK = TaskName("a.0.0.0")


class LostStateTest(unittest.TestCase):
    @with_deployment()
    async def test_end_that_an_older_state_lacks_is_logged(
        self, deployment: Deployment
    ) -> None:
        machine = deployment.log.machine
        worker = deployment.add_worker("w1")
        async with deployment.lead():
            await deployment.submit("first", Step(demand=ONE_CORE))
            await trio.sleep(2)
            older = machine.take_snapshot()
            await deployment.submit("second", Step(demand=ONE_CORE))
            await trio.sleep(3)
            self.assertEqual(worker.ends, [])
        machine.restore(older)
        deployment.elect(2)
        async with deployment.lead():
            with self.assertLogs(SESSION_LOG, "INFO") as logs:
                await deployment.submit("third", Step(demand=ONE_CORE))
                await trio.sleep(2)
        (event,) = find_events(logs.records, "ends-missing")
        self.assertEqual(
            (event["level"], event["recorded"], event["first"]), ("warning", 1, 3)
        )

    @with_deployment()
    async def test_gap_of_a_worker_that_registered_again_is_no_warning(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        async with deployment.lead() as leader:
            await deployment.submit("first", Step(demand=ONE_CORE))
            await trio.sleep(3)
            await leader.remove_worker(worker.worker, {})
            await trio.sleep(2)
            with self.assertLogs(SESSION_LOG, "INFO") as logs:
                await deployment.submit("second", Step(demand=ONE_CORE))
                await trio.sleep(2)
        (event,) = find_events(logs.records, "ends-missing")
        self.assertEqual((event["level"], event["recorded"]), ("info", 0))

    @with_deployment()
    async def test_run_that_vanishes_after_a_view_listed_it_is_a_warning(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(3)
            with self.assertLogs(SESSION_LOG, "INFO") as logs:
                del worker.runs[TASK]
                await trio.sleep(3)
        event = find_events(logs.records, "run-vanished")[0]
        self.assertEqual((event["level"], event["listed"]), ("warning", True))

    @with_deployment()
    async def test_run_that_never_started_vanishes_without_a_warning(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        worker.unanswered_starts = 10
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            with self.assertLogs(SESSION_LOG, "INFO") as logs:
                await trio.sleep(5)
        event = find_events(logs.records, "run-vanished")[0]
        self.assertEqual((event["level"], event["listed"]), ("info", False))

    @with_deployment()
    async def test_worker_that_answers_after_it_was_removed_as_crashed_is_logged(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(1)
            with self.assertLogs(LEADER_LOG, "INFO") as logs:
                other = StandInWorker(WorkerId("w2"), deployment.clock)
                deployment.fleet.add(other, worker.address)
                while worker.worker in deployment.state.workers:
                    await trio.sleep(0.01)
                deployment.fleet.add(worker)
                await trio.sleep(3)
        self.assertEqual(len(find_events(logs.records, "removed-worker-reported")), 1)
        (event,) = find_events(logs.records, "removed-worker-answered")
        self.assertEqual((event["level"], event["worker"]), ("warning", "w1"))

    @with_deployment()
    async def test_view_before_a_removal_is_committed_is_no_answer_after_it(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader, trio.open_nursery() as nursery:
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(1)
            deployment.replica.unanswered.append("RemoveWorker")
            with self.assertLogs(LEADER_LOG, "INFO") as logs:
                nursery.start_soon(leader.remove_worker, worker.worker, {})
                await trio.sleep(2)
            self.assertEqual(len(find_events(logs.records, "worker-gone")), 1)
            self.assertEqual(find_events(logs.records, "removed-worker-answered"), [])
            self.assertIn(worker.worker, deployment.state.workers)


if __name__ == "__main__":
    unittest.main()
