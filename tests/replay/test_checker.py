"""Tests that the checker reports each kind of violation."""

from __future__ import annotations

import unittest
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace as Fake
from typing import Any

import trio
from trio.testing import MockClock

from rhubarbfield.replay.checker import FleetChecker
from rhubarbfield.replay.events import Command
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal, RefusalReason
from rhubarbfield.testing.simulated_servers import ServerCounts
from rhubarbfield.types import (
    IdempotencyKey,
    Outcome,
    RequestClass,
    RequestId,
    ServiceName,
    Tenant,
    WorkKind,
)


def make_request(name: str, *, key: str | None = None) -> CallerRequest:
    return CallerRequest(
        request_id=RequestId(name),
        tenant=Tenant("house-a"),
        service=ServiceName("board"),
        request_class=RequestClass.INTERACTIVE,
        method="GET",
        path="/",
        timeout=timedelta(seconds=1),
        idempotent=key is None,
        idempotency_key=IdempotencyKey(key) if key else None,
    )


def make_command(text: str = "cancel job 1-x", operator: str = "ana") -> Command:
    return Command(at=0, controller="a1", operator=operator, number=1, text=text)


def make_process(version: int) -> Any:
    return Fake(
        in_force=Fake(configuration=Fake(version=version)),
        fleet_state=Fake(jobs={}, table=Fake(records={})),
    )


class FleetCheckerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts = ServerCounts()
        self.fleet: Any = Fake(
            observer=Fake(violations=[], finished={}),
            servers={"s": Fake(server="s", counts=self.counts)},
            controllers={"a1": make_process(1)},
            entries={"a1": make_process(1)},
        )
        self.checker = FleetChecker(self.fleet)

    def run_checks(self) -> list[str]:
        async def run() -> None:
            self.checker.check_configuration()
            self.checker.check_final_state()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return self.checker.violations

    def assert_violation(self, part: str) -> None:
        (violation,) = self.run_checks()
        self.assertIn(part, violation)

    def test_a_fleet_without_faults_has_no_violations(self) -> None:
        self.assertEqual(self.run_checks(), [])

    def test_an_answer_to_another_request(self) -> None:
        request = make_request("r1")
        self.checker.record_request(request)
        self.checker.check_answer(request, BackendAnswer(status=200, body=b"r2"))
        self.assert_violation("r1 was answered")

    def test_a_repeated_answer_of_another_key(self) -> None:
        first, other = make_request("r1", key="k"), make_request("r2", key="l")
        self.checker.record_request(first)
        self.checker.record_request(other)
        answer = BackendAnswer(status=200, body=b"r1", repeated=True)
        self.checker.check_answer(first, answer)
        self.assertEqual(self.checker.violations, [])
        self.checker.check_answer(other, answer)
        self.assert_violation("r2 was answered")

    def test_a_request_that_ran_although_refused_as_not_run(self) -> None:
        refusal = Refusal(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.NO_ROOM,
            sentence="no room",
        )
        self.checker.record_request(make_request("r1"))
        self.checker.record_refusal(make_request("r1"), refusal)
        self.counts.runs = Counter({RequestId("r1"): 1})
        self.assert_violation("said not to have run")

    def test_a_request_that_is_not_idempotent_ran_twice(self) -> None:
        self.checker.record_request(make_request("r1", key="k"))
        self.counts.runs = Counter({RequestId("r1"): 2})
        self.assert_violation("not idempotent")

    def test_a_key_ran_on_two_servers(self) -> None:
        other = ServerCounts(keyed_runs=Counter({"house-a/k": 1}))
        self.fleet.servers["t"] = Fake(server="t", counts=other)
        self.counts.keyed_runs = Counter({"house-a/k": 1})
        self.assert_violation("key house-a/k ran 2 times")

    def test_more_requests_than_slots(self) -> None:
        self.counts.over_slots = 1
        self.assert_violation("more than its slots")

    def test_requests_after_leaving(self) -> None:
        self.counts.after_leaving = 1
        self.assert_violation("after it left")

    def test_a_task_that_finished_twice(self) -> None:
        self.fleet.observer.finished["t"] = ["t/1", "t/2"]
        self.assert_violation("finished 2 times")

    def test_two_commands_under_one_number(self) -> None:
        record: Any = Fake(accepted=False)
        self.checker.check_command_record(make_command(), record)
        self.checker.check_command_record(make_command(operator="rui"), record)
        self.assertIn("stands for two", self.checker.violations[0])

    def test_a_different_answer_to_the_same_command(self) -> None:
        first: Any = Fake(accepted=False)
        second: Any = Fake(accepted=True)
        self.checker.check_command_record(make_command(), first)
        self.checker.check_command_record(make_command(), second)
        self.assertIn("answered differently", self.checker.violations[0])

    def test_a_lost_command_and_its_lost_job(self) -> None:
        record: Any = Fake(accepted=True, jobs=("1-x",))
        self.checker.check_command_record(make_command("create batch x"), record)
        command, job = self.run_checks()
        self.assertIn("lacks command 1", command)
        self.assertIn("lacks the job of 1", job)

    def test_a_job_that_is_still_open(self) -> None:
        state: Any = Fake(value="running")
        job = Fake(
            id="1-x",
            is_open=True,
            state=state,
            reason="",
            request=Fake(kind=WorkKind.BATCH),
        )
        self.fleet.controllers["a1"].fleet_state.jobs["1-x"] = job
        self.assert_violation("1-x running")

    def test_a_configuration_that_reverts(self) -> None:
        self.fleet.entries["a1"] = process = make_process(2)
        self.fleet.controllers["a1"] = make_process(2)
        self.assertEqual(self.run_checks(), [])
        process.in_force.configuration.version = 1
        self.assertIn("went back to configuration 1", self.run_checks()[0])

    def test_a_configuration_that_is_late_without_faults(self) -> None:
        self.fleet.entries["a1"] = make_process(2)

        async def check(with_faults: bool) -> list[str]:
            for _ in range(60):
                if with_faults:
                    self.checker.record_fault()
                self.checker.check_configuration()
                await trio.sleep(1)
            return self.checker.violations

        clock = MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(check, True, clock=clock), [])
        self.checker = FleetChecker(self.fleet)
        found = trio.run(check, False, clock=MockClock(autojump_threshold=0))
        self.assertEqual(found, ["controller a1 has not taken configuration 2"])
