"""Tests of calls to runners over real connections."""

from __future__ import annotations

import os
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.platform.runners import RunnerCalls
from rhubarbfield.scheduling.model import NO_CHECKPOINT, RunNumber, TaskName
from rhubarbfield.scheduling.ports import (
    NoReply,
    OtherLife,
    Refusal,
    Refused,
    StartOrder,
    ViewRequest,
    WorkerAddress,
)
from rhubarbfield.types import Term, WorkerId
from tests.platform.runner import StandInRunner

# An address of this process alone, as other checkouts may run the test meanwhile.
HOST = f"127.{1 + os.getpid() // 254 % 254}.{1 + os.getpid() % 254}.21"
PORT = 17741
TASK, RUN = TaskName("j.0.0.0"), RunNumber(1)
TIMEOUT = timedelta(milliseconds=500)
Test = Callable[[StandInRunner, RunnerCalls, WorkerAddress], Awaitable[None]]


def make_order(term: int = 1) -> StartOrder:
    return StartOrder(
        task=TASK,
        run=RUN,
        payload="p",
        checkpoint=NO_CHECKPOINT,
        lease_end=timedelta(hours=10),
        term=Term(term),
    )


def run(test: Test) -> None:
    async def body() -> None:
        runner = StandInRunner(HOST, PORT)
        calls = RunnerCalls(TIMEOUT)
        async with trio.open_nursery() as nursery:
            await nursery.start(runner.run, [])
            with trio.fail_after(10):
                address = WorkerAddress(WorkerId("i-1"), runner.address)
                await test(runner, calls, address)
            await calls.forget(runner.address)
            nursery.cancel_scope.cancel()

    trio.run(body)


class RunnerCallsTest(unittest.TestCase):
    def test_run_is_started_once_and_its_end_is_listed(self) -> None:
        async def check(
            runner: StandInRunner, calls: RunnerCalls, to: WorkerAddress
        ) -> None:
            for _ in range(2):
                self.assertIsInstance(await calls.start(to, make_order()), Success)
            request = ViewRequest(
                recorded_ends=0,
                lease_end=timedelta(hours=1),
                wait_timeout=timedelta(seconds=1),
                term=Term(1),
            )
            view = (await calls.view(to, request)).unwrap()
            self.assertEqual([end.task for end in view.ends], [TASK])
            self.assertEqual(len(runner.started), 1)

        run(check)

    def test_refusals_are_distinguished(self) -> None:
        async def check(
            runner: StandInRunner, calls: RunnerCalls, to: WorkerAddress
        ) -> None:
            for reason, refusal in (
                ("room", Refusal.NO_ROOM),
                ("old", Refusal.SUPERSEDED),
                ("late", Refusal.EXPIRED),
            ):
                runner.refuse_with = reason
                failure = (await calls.start(to, make_order())).failure()
                assert isinstance(failure, Refused)
                self.assertEqual(failure.refusal, refusal)
            runner.fencing_token = 5
            failure = (await calls.start(to, make_order(term=4))).failure()
            assert isinstance(failure, Refused)
            self.assertEqual(failure.refusal, Refusal.DEPOSED)

        run(check)

    def test_other_incarnation_and_unreadable_reply_are_failures(self) -> None:
        async def check(
            runner: StandInRunner, calls: RunnerCalls, to: WorkerAddress
        ) -> None:
            other_incarnation = WorkerAddress(WorkerId("i-0"), to.address)
            self.assertEqual(
                await calls.start(other_incarnation, make_order()), Failure(OtherLife())
            )
            runner.unreadable_replies = 1
            failure = (await calls.start(to, make_order())).failure()
            self.assertIsInstance(failure, NoReply)

        run(check)

    def test_an_unusable_address_is_no_reply(self) -> None:
        """A port out of range ended the process of the leader."""

        async def check(
            runner: StandInRunner, calls: RunnerCalls, to: WorkerAddress
        ) -> None:
            unusable = WorkerAddress(to.worker, f"{HOST}:99999")
            with self.assertLogs("rhubarbfield.platform.runners", "ERROR"):
                failure = (await calls.start(unusable, make_order())).failure()
            self.assertIsInstance(failure, NoReply)
            self.assertIsInstance(await calls.start(to, make_order()), Success)

        run(check)

    def test_closed_port_is_no_reply(self) -> None:
        async def check(
            runner: StandInRunner, calls: RunnerCalls, to: WorkerAddress
        ) -> None:
            unused = WorkerAddress(to.worker, f"{HOST}:{PORT + 1}")
            failure = (await calls.start(unused, make_order())).failure()
            self.assertIsInstance(failure, NoReply)
            await calls.forget(unused.address)

        run(check)


if __name__ == "__main__":
    unittest.main()
