"""Tests of sessions of workers in the domain's log."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.controller.orders import MAX_KEPT_ORDERS, OrderFeed
from rhubarbfield.controller.statemachines import make_domain_machine
from rhubarbfield.controller.worklog import DomainWorkLog
from rhubarbfield.types import (
    AttemptId,
    Epoch,
    FailureDomain,
    Incarnation,
    LogIndex,
    RackName,
    WorkerId,
)
from rhubarbfield.workers import (
    Admitted,
    Resources,
    SessionEnded,
    Unavailable,
    WorkerHello,
    WorkerRefused,
)
from tests.controller.single_member import make_single_member_log
from tests.replication.determinism import run_deterministic

WORKER = WorkerId("w1")
HELLO = WorkerHello(
    worker=WORKER,
    rack=RackName("r1"),
    domain=FailureDomain("north"),
    incarnation=Incarnation("first"),
    number=1,
    capacity=Resources(cores=4, memory_mb=1000),
)
RESTARTED = msgspec.structs.replace(HELLO, incarnation=Incarnation("second"))


class WorkLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = make_domain_machine()
        self.log, self.replica = make_single_member_log(self.machine)
        self.feed = OrderFeed(self.machine)
        self.work_log = self.make_work_log()

    def make_work_log(self) -> DomainWorkLog:
        domain = FailureDomain("north")
        return DomainWorkLog(self.log, self.feed, domain, TrioClock(), lambda _: "")

    async def admit(self, hello: WorkerHello = HELLO) -> Admitted:
        return (await self.work_log.admit(hello)).unwrap()

    def run_async(self, body: Any) -> None:
        run_deterministic(body, seed=1)

    def test_concurrent_hellos_open_separate_sessions(self) -> None:
        sessions: list[Epoch] = []

        async def admit() -> None:
            sessions.append((await self.admit()).session)

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(admit)

        self.run_async(body)
        self.assertEqual(len(set(sessions)), 3)

    def test_a_new_process_waits_until_the_old_one_is_lost(self) -> None:
        async def body() -> None:
            first = await self.admit()
            refused = await self.work_log.admit(RESTARTED)
            self.assertEqual(refused, Failure(Unavailable()))
            lost = await self.work_log.lose_worker(WORKER, first.session)
            self.assertEqual(lost, Success(None))
            second = await self.admit(RESTARTED)
            self.assertGreater(second.session, first.session)
            self.assertFalse(second.same_incarnation)
            late = await self.work_log.lose_worker(WORKER, first.session)
            self.assertEqual(late, Failure(SessionEnded()))
            self.assertIn(WORKER, self.work_log.sessions())

        self.run_async(body)

    def test_a_worker_of_another_domain_is_refused(self) -> None:
        async def body() -> None:
            foreign = msgspec.structs.replace(HELLO, domain=FailureDomain("south"))
            refused = await self.work_log.admit(foreign)
            self.assertIsInstance(refused.failure(), WorkerRefused)
            self.assertEqual(self.replica.commands, 0)

        self.run_async(body)

    def test_a_leader_restored_from_a_snapshot_opens_a_higher_session(self) -> None:
        async def body() -> None:
            old = await self.admit()
            self.machine.restore(self.machine.take_snapshot())
            self.work_log = self.make_work_log()
            (known,) = self.work_log.sessions().values()
            late = await self.work_log.report_attempts(WORKER, old.session, ())
            self.assertEqual(late, Failure(SessionEnded()))
            new = await self.admit()
            self.assertGreater(new.session, max(old.session, known))

        self.run_async(body)

    def test_dropped_orders_end_the_session(self) -> None:
        async def body() -> None:
            session = (await self.admit()).session
            for number in range(MAX_KEPT_ORDERS + 1):
                position = LogIndex(number + 1)
                self.feed.throttle(WORKER, AttemptId("t-1"), 0.5, position)
            ended = await self.work_log.wait_orders(WORKER, session, LogIndex(0))
            self.assertEqual(ended, Failure(SessionEnded()))
            remaining = await self.work_log.wait_orders(WORKER, session, LogIndex(1))
            self.assertEqual(len(remaining.unwrap()), MAX_KEPT_ORDERS)

        self.run_async(body)
