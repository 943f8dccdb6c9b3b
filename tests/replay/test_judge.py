"""Each thing that the judge looks for, shown to be found."""

from __future__ import annotations

import unittest
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace as Fake
from typing import Any

import trio
from trio.testing import MockClock

from rhubarbfield.replay.events import Command
from rhubarbfield.replay.judge import Judge
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


class JudgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts = ServerCounts()
        self.fleet: Any = Fake(
            observer=Fake(violations=[], finished={}),
            servers={"s": Fake(server="s", counts=self.counts)},
            controllers={"a1": make_process(1)},
            entries={"a1": make_process(1)},
        )
        self.judge = Judge(self.fleet)

    def finish(self) -> list[str]:
        async def run() -> None:
            self.judge.watch()
            self.judge.finish()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return self.judge.violations

    def assert_complains(self, part: str) -> None:
        (violation,) = self.finish()
        self.assertIn(part, violation)

    def test_a_quiet_fleet_breaks_nothing(self) -> None:
        self.assertEqual(self.finish(), [])

    def test_an_answer_to_another_request(self) -> None:
        request = make_request("r1")
        self.judge.note_request(request)
        self.judge.note_answer(request, BackendAnswer(status=200, body=b"r2"))
        self.assert_complains("r1 was answered")

    def test_a_repeated_answer_of_another_key(self) -> None:
        first, other = make_request("r1", key="k"), make_request("r2", key="l")
        self.judge.note_request(first)
        self.judge.note_request(other)
        answer = BackendAnswer(status=200, body=b"r1", repeated=True)
        self.judge.note_answer(first, answer)
        self.assertEqual(self.judge.violations, [])
        self.judge.note_answer(other, answer)
        self.assert_complains("r2 was answered")

    def test_a_request_that_ran_although_said_not_to(self) -> None:
        refusal = Refusal(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.NO_ROOM,
            sentence="no room",
        )
        self.judge.note_request(make_request("r1"))
        self.judge.note_refusal(make_request("r1"), refusal)
        self.counts.runs = Counter({RequestId("r1"): 1})
        self.assert_complains("said not to have run")

    def test_a_request_that_is_not_idempotent_ran_twice(self) -> None:
        self.judge.note_request(make_request("r1", key="k"))
        self.counts.runs = Counter({RequestId("r1"): 2})
        self.assert_complains("not idempotent")

    def test_a_key_ran_on_two_servers(self) -> None:
        other = ServerCounts(keyed_runs=Counter({"house-a/k": 1}))
        self.fleet.servers["t"] = Fake(server="t", counts=other)
        self.counts.keyed_runs = Counter({"house-a/k": 1})
        self.assert_complains("key house-a/k ran 2 times")

    def test_more_than_the_slots(self) -> None:
        self.counts.over_slots = 1
        self.assert_complains("more than its slots")

    def test_requests_after_leaving(self) -> None:
        self.counts.after_leaving = 1
        self.assert_complains("after it left")

    def test_a_task_that_finished_twice(self) -> None:
        self.fleet.observer.finished["t"] = ["t/1", "t/2"]
        self.assert_complains("finished 2 times")

    def test_two_commands_under_one_number(self) -> None:
        record: Any = Fake(accepted=False)
        self.judge.note_record(make_command(), record)
        self.judge.note_record(make_command(operator="rui"), record)
        self.assertIn("stands for two", self.judge.violations[0])

    def test_another_answer_to_the_same_command(self) -> None:
        first: Any = Fake(accepted=False)
        second: Any = Fake(accepted=True)
        self.judge.note_record(make_command(), first)
        self.judge.note_record(make_command(), second)
        self.assertIn("answered differently", self.judge.violations[0])

    def test_a_lost_command_and_its_lost_job(self) -> None:
        record: Any = Fake(accepted=True, jobs=("1-x",))
        self.judge.note_record(make_command("create batch x"), record)
        command, job = self.finish()
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
        self.assert_complains("1-x running")

    def test_a_configuration_that_reverts(self) -> None:
        self.fleet.entries["a1"] = process = make_process(2)
        self.fleet.controllers["a1"] = make_process(2)
        self.assertEqual(self.finish(), [])
        process.in_force.configuration.version = 1
        self.assertIn("went back to configuration 1", self.finish()[0])

    def test_a_configuration_that_is_late_in_a_calm(self) -> None:
        self.fleet.entries["a1"] = make_process(2)

        async def watch(disturbed: bool) -> list[str]:
            for _ in range(60):
                if disturbed:
                    self.judge.note_disturbance()
                self.judge.watch()
                await trio.sleep(1)
            return self.judge.violations

        clock = MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(watch, True, clock=clock), [])
        self.judge = Judge(self.fleet)
        found = trio.run(watch, False, clock=MockClock(autojump_threshold=0))
        self.assertEqual(found, ["controller a1 has not taken configuration 2"])
