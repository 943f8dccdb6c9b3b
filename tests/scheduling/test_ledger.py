"""Tests of the ledger of a worker's orders."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import cast

import trio
import trio.testing

from rhubarbfield.scheduling.commands import UpdateWorkers, WorkerEnds
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.scheduling.orders import StartState
from rhubarbfield.scheduling.ports import WorkerView
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.state import RunEnd, Worker
from rhubarbfield.types import WorkerId
from tests.scheduling.test_appliers import WORKERS, Log, make_report

KEY = RunKey(TaskName("j.0.0.0"), RunNumber(1))


class FakeHost:
    """A leader whose log commits ends only once it may."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.may_commit = trio.Event()

    def find_worker(self, worker: WorkerId) -> Worker | None:
        return self.worker

    async def record_ends(
        self, ends: WorkerEnds, since: timedelta | None = None
    ) -> None:
        await self.may_commit.wait()
        del self.worker.runs[KEY.task]


class OrderLedgerTest(unittest.TestCase):
    def test_run_whose_end_is_being_committed_is_not_started(self) -> None:
        """Its task may be on another worker as soon as the end is committed."""
        trio.run(self.check_run_that_ends)

    async def check_run_that_ends(self) -> None:
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        worker = log.state.workers[WORKERS[0]]
        worker.runs[KEY.task] = KEY.run
        host = FakeHost(worker)
        ledger = OrderLedger(worker.worker, cast(SessionHost, host))
        ledger.starts[KEY] = StartState.QUEUED
        self.assertTrue(ledger.is_unsettled(KEY) and ledger.may_order(KEY))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ledger.record_end, KEY, RunEnd.LOST)
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(ledger.is_unsettled(KEY))
            self.assertFalse(ledger.may_order(KEY))
            host.may_commit.set()
        self.assertFalse(ledger.is_unsettled(KEY))

    def test_order_without_an_answer_is_not_forgotten_with_its_session(self) -> None:
        """Its run is lost with the lease, and the worker may be heard again."""
        trio.run(self.check_lost_run)

    async def check_lost_run(self) -> None:
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        worker = log.state.workers[WORKERS[0]]
        worker.runs[KEY.task] = KEY.run
        host = FakeHost(worker)
        host.may_commit.set()
        ledger = OrderLedger(worker.worker, cast(SessionHost, host))
        ledger.starts[KEY] = StartState.SENT
        await ledger.record_end(KEY, RunEnd.LOST)
        successor = OrderLedger(worker.worker, cast(SessionHost, host))
        self.assertEqual(successor.adopt(ledger), [])
        self.assertEqual(successor.doubtful, {KEY})
        successor.confirm_stop(KEY)
        self.assertEqual(successor.doubtful, set())

    def test_run_that_was_recorded_as_ended_during_a_view_did_not_vanish(self) -> None:
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        worker = log.state.workers[WORKERS[0]]
        ledger = OrderLedger(worker.worker, cast(SessionHost, FakeHost(worker)))
        view = WorkerView(timedelta(), active=(), ends=(), truncated=False)
        worker.runs[KEY.task] = KEY.run
        recorded = dict(worker.runs)
        with self.assertLogs("rhubarbfield.scheduling.session", "INFO"):
            missing = ledger.find_missing(view, recorded, set(), {})
        self.assertEqual([each.task for each in missing], [KEY.task])
        del worker.runs[KEY.task]
        self.assertEqual(ledger.find_missing(view, recorded, set(), {}), [])


if __name__ == "__main__":
    unittest.main()
