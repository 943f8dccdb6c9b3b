"""Tests of what workers are told about jobs that were cancelled or have ended."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.scheduling.commands import UpdateWorkers
from rhubarbfield.scheduling.model import JobPhase, RunNumber, Step, TaskName
from rhubarbfield.scheduling.ports import StartOrder, StopOrder
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_fleet import SentOrder
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

# The platform allows a task of a cancelled job to start for 3 s, and to work for
# 0.2 s more.
MAX_STOP_DELAY = timedelta(milliseconds=300)


class CancellingTestCase(unittest.TestCase):
    """Base of the tests, which compare orders with the time of a cancellation."""

    async def begin_slow_round(self, deployment: Deployment) -> None:
        """Make the leader wait for 2 s for the commit of a placement round."""
        deployment.replica.slow = {"StartRuns"}
        await deployment.submit("slow", Step(demand=ONE_CORE))
        await trio.sleep(0.1)

    def check_no_start(
        self, deployment: Deployment, job: str, since: timedelta
    ) -> None:
        starts = deployment.list_sent(StartOrder, job)
        self.assertEqual([each for each in starts if each.at > since], [])

    def check_stopped(
        self, deployment: Deployment, job: str, since: timedelta, runs: int = 1
    ) -> None:
        """Check that runs were told to stop soon, and that none is left."""
        self.assertEqual(len(self.list_stopped(deployment, job, since)), runs)
        for worker in deployment.fleet.workers.values():
            self.assertEqual([t for t in worker.runs if t.startswith(f"{job}.")], [])

    def list_stopped(
        self, deployment: Deployment, job: str, since: timedelta
    ) -> set[str]:
        stops: list[SentOrder] = deployment.list_sent(StopOrder, job)
        return {each.order.task for each in stops if each.at - since <= MAX_STOP_DELAY}


class UnansweredStartsTest(CancellingTestCase):
    @with_deployment()
    async def test_waiting_start_of_a_cancelled_job_is_not_sent(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        worker.unanswered_starts = 1
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.1)
            await deployment.submit("b", Step(tasks=4, demand=ONE_CORE))
            await trio.sleep(0.1)
            self.assertTrue(deployment.get_job("b").has_live_runs)
            await self.begin_slow_round(deployment)
            await deployment.cancel("b")
            await trio.sleep(5)
            self.assertEqual(deployment.list_sent(StartOrder, "b"), [])
            self.assertFalse(deployment.get_job("b").has_live_runs)

    @with_deployment()
    async def test_start_without_reply_is_not_repeated_after_a_cancel(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        worker.unanswered_starts = 3
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.3)
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("a")
            await trio.sleep(0.4)
            deployment.fleet.deliver_delayed_starts()
            await trio.sleep(5)
            self.check_no_start(deployment, "a", cancelled)
            self.check_stopped(deployment, "a", cancelled)
            self.assertEqual(worker.started, [])
            self.assertFalse(deployment.get_job("a").has_live_runs)

    @with_deployment()
    async def test_stop_does_not_wait_for_a_start_without_reply(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(0.5)
            self.assertEqual(len(worker.runs), 3)
            worker.unanswered_starts = 3
            await deployment.submit("b", Step(demand=ONE_CORE))
            await trio.sleep(0.1)
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("a")
            await trio.sleep(0.5)
            self.check_stopped(deployment, "a", cancelled, runs=3)

    @with_deployment()
    async def test_start_that_overtook_its_stop_is_stopped(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        worker.unanswered_starts = 1
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.1)
            deployment.fleet.deliver_delayed_starts()
            self.assertEqual(len(worker.runs), 1)
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("a")
            await trio.sleep(0.4)
            self.check_stopped(deployment, "a", cancelled)
            await trio.sleep(3)
            self.assertFalse(deployment.get_job("a").has_live_runs)


class UnansweredStopsTest(CancellingTestCase):
    @with_deployment()
    async def test_stop_does_not_wait_for_a_stop_without_reply(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await deployment.submit("b", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            worker.lost_stops = 1
            await deployment.cancel("a")
            await trio.sleep(0.1)
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("b")
            await trio.sleep(0.4)
            self.check_stopped(deployment, "b", cancelled)
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 0)

    @with_deployment()
    async def test_stop_that_an_unhealthy_worker_refused_is_repeated(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            worker.unhealthy_stops = 2
            await deployment.cancel("a")
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 0)

    @with_deployment()
    async def test_stops_do_not_wait_for_another_worker(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        second = deployment.add_worker("w2", duration=None)
        async with deployment.lead():
            step = Step(tasks=4, demand=ONE_CORE, max_per_worker=2)
            await deployment.submit("a", step)
            await trio.sleep(0.5)
            self.assertEqual((len(first.runs), len(second.runs)), (2, 2))
            first.is_unreachable = True
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("a")
            await trio.sleep(0.4)
            self.assertEqual(len(second.runs), 0)
            stopped = self.list_stopped(deployment, "a", cancelled)
            self.assertGreaterEqual(len(stopped), 3)


class LapsedLeadershipTest(CancellingTestCase):
    """A leader whose lease lapses may have it again in the same term."""

    @with_deployment()
    async def test_stop_is_repeated_once_the_leader_has_its_lease_again(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            worker.lost_stops = 1
            await deployment.cancel("a")
            await self.lapse(deployment)
            self.assertEqual(len(worker.runs), 0)

    @with_deployment()
    async def test_start_is_repeated_once_the_leader_has_its_lease_again(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        worker.unanswered_starts = 1
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await self.lapse(deployment)
            self.assertEqual(len(worker.runs), 1)

    @with_deployment()
    async def test_pace_that_could_not_be_ordered_counts_as_unknown(
        self, deployment: Deployment
    ) -> None:
        """Else the same pace would never be ordered again."""
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            session = leader.get_session(worker.worker)
            assert session is not None
            key = RunKey(TaskName("a.0.0.0"), RunNumber(1))
            deployment.replica.leadership = None
            session.pace(key, 0)
            await trio.sleep(0.1)
            deployment.elect(1)
            self.assertIsNone(session.get_pace(key))
            session.pace(key, 0)
            await trio.sleep(0.1)
            self.assertEqual(worker.runs[key.task].pace, 0)

    async def lapse(self, deployment: Deployment) -> None:
        await trio.sleep(0.3)
        deployment.replica.leadership = None
        await trio.sleep(1)
        deployment.elect(1)
        await trio.sleep(1)


class SessionsTest(CancellingTestCase):
    @with_deployment()
    async def test_run_that_is_not_recorded_is_stopped_although_a_stop_is_lost(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            worker.lost_stops = 1
            order = deployment.list_sent(StartOrder, "a")[0].order
            assert isinstance(order, StartOrder)
            unknown = msgspec.structs.replace(order, task=TaskName("b.0.0.0"))
            worker.start(unknown)
            self.assertEqual(len(worker.runs), 2)
            await trio.sleep(4)
            self.assertEqual(list(worker.runs), [TaskName("a.0.0.0")])

    @with_deployment()
    async def test_new_session_with_a_worker_stops_what_the_former_one_did_not(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(0.5)
            worker.lost_stops = 2
            await deployment.cancel("a")
            await trio.sleep(0.1)
            self.assertEqual(len(worker.runs), 3)
            deployment.reporting.remove(worker)
            deployment.fleet.add(worker, "w1:2")
            report = msgspec.structs.replace(worker.make_report(), address="w1:2")
            changed = deployment.clock.monotonic()
            await deployment.propose(UpdateWorkers(reports=(report,)))
            await trio.sleep(0.5)
            self.check_stopped(deployment, "a", changed, runs=3)


class SlowLogTest(CancellingTestCase):
    @with_deployment()
    async def test_stop_does_not_wait_for_the_commit_of_starts(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(0.5)
            await self.begin_slow_round(deployment)
            cancelled = deployment.clock.monotonic()
            await deployment.cancel("a")
            await trio.sleep(0.5)
            self.check_stopped(deployment, "a", cancelled, runs=2)

    @with_deployment()
    async def test_run_in_doubt_of_a_cancelled_job_is_never_sent(
        self, deployment: Deployment
    ) -> None:
        """The log commits the starts after all, just before the cancellation."""
        deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            deployment.replica.unanswered = ["StartRuns"]
            await deployment.submit("a", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(0.5)
            await deployment.cancel("a")
            self.assertTrue(deployment.get_job("a").has_live_runs)
            await trio.sleep(5)
            self.assertEqual(deployment.list_sent(StartOrder, "a"), [])
            self.assertFalse(deployment.get_job("a").has_live_runs)

    @with_deployment()
    async def test_start_recorded_just_before_a_cancel_is_not_sent_after_it(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            deployment.replica.slow = {"StartRuns"}
            await deployment.submit("a", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(0.1)
            self.assertTrue(deployment.get_job("a").has_live_runs)
            await deployment.cancel("a")
            await trio.sleep(5)
            self.assertEqual(deployment.list_sent(StartOrder, "a"), [])
            self.assertFalse(deployment.get_job("a").has_live_runs)


class EndedJobsTest(CancellingTestCase):
    @with_deployment(max_attempts=1)
    async def test_runs_of_a_failed_job_are_stopped_at_once(
        self, deployment: Deployment
    ) -> None:
        failing = deployment.add_worker("w1", duration=timedelta(seconds=1))
        failing.end = RunEnd.FAILED
        deployment.add_worker("w2", duration=None)
        async with deployment.lead():
            step = Step(tasks=2, demand=ONE_CORE, max_per_worker=1)
            await deployment.submit("a", step)
            await trio.sleep(0.5)
            await self.begin_slow_round(deployment)
            while deployment.get_job("a").phase is not JobPhase.FAILED:
                await trio.sleep(0.01)
            failed = deployment.clock.monotonic()
            await trio.sleep(0.5)
            self.assertEqual(len(self.list_stopped(deployment, "a", failed)), 1)

    @with_deployment()
    async def test_other_members_of_a_finished_gang_are_stopped_at_once(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=timedelta(seconds=1))
        deployment.add_worker("w2", duration=None)
        async with deployment.lead():
            step = Step(tasks=2, demand=ONE_CORE, gang=True, max_per_worker=1)
            await deployment.submit("a", step)
            await trio.sleep(0.5)
            await self.begin_slow_round(deployment)
            while deployment.get_job("a").phase is not JobPhase.COMPLETED:
                await trio.sleep(0.01)
            done = deployment.clock.monotonic()
            await trio.sleep(0.5)
            self.check_stopped(deployment, "a", done)

    @with_deployment()
    async def test_next_leader_stops_runs_of_a_job_cancelled_before(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(0.5)
        await deployment.cancel("a")
        deployment.elect(2)
        began = deployment.clock.monotonic()
        async with deployment.lead():
            await trio.sleep(0.5)
            self.check_stopped(deployment, "a", began, runs=3)


if __name__ == "__main__":
    unittest.main()
