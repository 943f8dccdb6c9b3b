"""Tests of the marks of silent workers, which outlast a leader."""

from __future__ import annotations

import unittest
from datetime import timedelta
from unittest.mock import patch

import msgspec
import trio
from returns.result import Failure

from rhubarbfield.replication import NoQuorum
from rhubarbfield.scheduling.commands import EndRuns, RemoveWorker, UpdateWorkers
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import Term, WorkerId
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)
from tests.scheduling.test_appliers import Log, make_report

NAME = WorkerId("w1")
LEASE_SECONDS = 6.0
UNLED_SECONDS = 2.0
MARK_AGE = timedelta(seconds=0.1)  # of a mark that has just been committed
# Until the mark is committed: a view in progress, a call, and the delay of the mark.
MARK_SECONDS = 1.6 + 0.7 + 0.6
# A slow clock and an old reading of it, an order in flight, and a call.
LAPSE_DELAY_SECONDS = MARK_SECONDS + 0.33 + 0.2 + 1.2


def find_record(deployment: Deployment, worker: StandInWorker) -> Worker:
    return deployment.state.workers[worker.worker]


class LeaderChangeTest(unittest.TestCase):
    @with_deployment()
    async def test_wait_for_a_lost_worker_does_not_begin_anew_with_each_leader(
        self, deployment: Deployment
    ) -> None:
        """A standing task stood still for 18 s around a change of leader."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(12)
            second = deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            silent_at = trio.current_time()
            await trio.sleep(3)
        for term in (2, 3):
            deployment.elect(term)
            async with deployment.lead():
                await trio.sleep(2)
        deployment.elect(4)
        async with deployment.lead():
            while trio.current_time() < silent_at + LEASE_SECONDS + LAPSE_DELAY_SECONDS:
                await trio.sleep(0.05)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(second.runs), 1)

    @with_deployment()
    async def test_wait_for_a_lost_worker_counts_from_the_end_of_the_former_leader(
        self, deployment: Deployment
    ) -> None:
        """It began with the election, when nobody had led for a while."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(3)
            deployment.add_worker("w2", duration=None)
            await trio.sleep(3)
            first.is_unreachable = True
        ended_at = deployment.clock.monotonic()
        await trio.sleep(UNLED_SECONDS)
        deployment.elect(2, former_until=ended_at)
        async with deployment.lead() as leader:
            session = leader.get_session(first.worker)
            assert session is not None
            wait = session._contact.lease.lapses_at - ended_at
            self.assertLess(wait.total_seconds(), LEASE_SECONDS + UNLED_SECONDS / 2)
            for _ in range(int(LEASE_SECONDS + LAPSE_DELAY_SECONDS) * 20):
                await trio.sleep(0.05)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertNotIn("j.0.0.0", deployment.state.workers[NAME].runs)

    @with_deployment()
    async def test_lease_of_a_worker_met_later_does_not_count_from_the_former_leader(
        self, deployment: Deployment
    ) -> None:
        """A session that is opened again may have extended it in this term."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await trio.sleep(1)
        ended_at = deployment.clock.monotonic()
        await trio.sleep(UNLED_SECONDS)
        deployment.elect(2, former_until=ended_at)
        async with deployment.lead() as leader:
            failed = leader.get_session(first.worker)
            assert failed is not None
            await trio.sleep(1)
            moved_at = deployment.clock.monotonic()
            report = msgspec.structs.replace(
                first.make_heartbeat().report, address="elsewhere"
            )
            await deployment.propose(UpdateWorkers(reports=(report,)))
            await trio.sleep(0.1)
            session = leader.get_session(first.worker)
            assert session is not None
            self.assertIsNot(session, failed)
            wait = session._contact.lease.lapses_at - moved_at
            self.assertGreater(wait.total_seconds(), LEASE_SECONDS)

    @with_deployment()
    async def test_lease_that_a_later_leader_extended_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        """The mark of an earlier silence says nothing about this lease."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(12)
            deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            await trio.sleep(3)
        deployment.elect(2)
        async with deployment.lead():
            first.is_unreachable = False
            await trio.sleep(3)
            self.assertFalse(find_record(deployment, first).silent)
            first.is_unreachable = True
            await trio.sleep(0.1)
        deployment.elect(3)
        async with deployment.lead():
            for _ in range(int(LEASE_SECONDS + LAPSE_DELAY_SECONDS) * 20):
                await trio.sleep(0.05)
                self.assertLessEqual(count_runs_at_once(deployment), 1)


class MarkedWorkerTest(unittest.TestCase):
    @with_deployment()
    async def test_worker_without_runs_is_used_again_once_it_replies(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1")
        async with deployment.lead():
            await trio.sleep(1)
            first.is_unreachable = True
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(8)
            self.assertTrue(find_record(deployment, first).silent)
            first.is_unreachable = False
            await trio.sleep(5)
            self.assertFalse(find_record(deployment, first).silent)
            self.assertEqual(len(first.started), 1)

    @with_deployment()
    async def test_next_leader_uses_a_marked_worker_that_replies_to_it(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1")
        async with deployment.lead():
            await trio.sleep(1)
            first.is_unreachable = True
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(8)
        first.is_unreachable = False
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(5)
            self.assertFalse(find_record(deployment, first).silent)
            self.assertEqual(len(first.started), 1)

    @with_deployment()
    async def test_lease_is_not_extended_before_the_mark_is_removed(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            first.is_unreachable = True
            await trio.sleep(4)
            lease_end = first.lease_end
            deployment.replica.leadership = None  # nothing is committed
            first.is_unreachable = False
            await trio.sleep(0.5)
            self.assertEqual(first.lease_end, lease_end)
            deployment.elect(1)
            await trio.sleep(1.5)
            self.assertGreater(first.lease_end, lease_end)

    @with_deployment()
    async def test_lease_is_not_extended_while_the_removal_of_the_mark_is_refused(
        self, deployment: Deployment
    ) -> None:
        """The worker is called meanwhile, by a leader that leads."""
        first = deployment.add_worker("w1", duration=None)
        propose = deployment.replica.propose

        async def refuse_removals(command: bytes, term: Term | None = None) -> object:
            if msgspec.msgpack.decode(command).get("heard"):
                return Failure(NoQuorum())
            return await propose(command, term)

        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            first.is_unreachable = True
            await trio.sleep(4)
            session = leader.get_session(first.worker)
            assert session is not None
            offered = session._contact.lease.offered_end
            assert offered is not None
            with patch.object(deployment.replica, "propose", refuse_removals):
                first.is_unreachable = False
                await trio.sleep(1)
                self.assertTrue(find_record(deployment, first).silent)
                self.assertEqual(first.lease_end, offered)  # with an earlier call
            await trio.sleep(1)
            self.assertGreater(first.lease_end, offered)

    @with_deployment()
    async def test_short_silences_leave_no_mark(self, deployment: Deployment) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(2)
            commands = deployment.replica.commands
            first.unanswered_starts = 1
            await deployment.submit("k", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.9)
            self.assertFalse(find_record(deployment, first).silent)
            # The job, its run, and reports.
            self.assertLessEqual(deployment.replica.commands - commands, 4)


class MarkTimesTest(unittest.TestCase):
    @with_deployment()
    async def test_mark_counts_from_when_it_was_applied(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        async with deployment.lead():
            await trio.sleep(0.5)
        marks, now = deployment.marks, deployment.clock.monotonic
        self.assertIsNone(marks.find(NAME))
        await deployment.propose(EndRuns(workers=(), silent=(NAME, WorkerId("x"))))
        marked_at = marks.find(NAME)
        await trio.sleep(1)
        await deployment.propose(EndRuns(workers=(), silent=(NAME,)))
        self.assertEqual(marks.find(NAME), marked_at)
        await deployment.propose(EndRuns(workers=(), heard=(NAME,)))
        self.assertIsNone(marks.find(NAME))
        await deployment.propose(EndRuns(workers=(), silent=(NAME,)))
        self.assertGreater(marks.find(NAME) or timedelta(), marked_at)
        snapshot = deployment.log.machine.take_snapshot()
        await trio.sleep(1)
        deployment.log.machine.restore(snapshot)
        self.assertEqual(marks.find(NAME), now())

    @with_deployment()
    async def test_mark_of_a_removed_worker_says_nothing_once_it_is_back(
        self, deployment: Deployment
    ) -> None:
        """Its lease may have been extended since the first mark."""
        marks = deployment.marks
        for _ in range(2):
            await deployment.propose(UpdateWorkers(reports=(make_report(NAME),)))
            self.assertIsNone(marks.find(NAME))
            await trio.sleep(1)
            await deployment.propose(EndRuns(workers=(), silent=(NAME,)))
            marked_at = marks.find(NAME)
            assert marked_at is not None
            self.assertLess(deployment.clock.monotonic() - marked_at, MARK_AGE)
            await deployment.propose(RemoveWorker(worker=NAME))

    def test_marks_outlast_a_restart(self) -> None:
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(NAME),)))
        log.apply(EndRuns(workers=(), silent=(NAME,)))
        log.restart()
        self.assertTrue(log.state.workers[NAME].silent)


class ControllersTest(unittest.TestCase):
    @with_controllers()
    async def test_each_controller_knows_since_when_a_worker_is_marked(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controllers.report_all, [worker])
            await trio.sleep(2)
            worker.is_unreachable = True
            nursery.cancel_scope.cancel()
        await controllers.submit("j")
        began = trio.current_time()
        await trio.sleep(4)
        for each in (controllers.leader, *controllers.followers):
            marked_at = each._marks.find(worker.worker)
            assert marked_at is not None
            self.assertLess(marked_at.total_seconds() - began, 2.5)


if __name__ == "__main__":
    unittest.main()
