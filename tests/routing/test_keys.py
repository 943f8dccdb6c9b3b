"""Tests of at-most-once execution of requests with a key."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any

import msgspec
import trio
from returns.result import Result, Success

from rhubarbfield.routing import (
    BackendAnswer,
    Refusal,
    RefusalReason,
)
from rhubarbfield.types import (
    IdempotencyKey,
    Outcome,
)
from tests.routing.cases import EntryCase
from tests.routing.fakes import (
    SECOND,
    Entry,
    make_request,
    scenario,
)

KEY = IdempotencyKey("k1")


class KeyRecorderTest(EntryCase):
    def run_keyed(
        self, number: int, entry: Entry, **changes: Any
    ) -> Awaitable[Result[BackendAnswer, Refusal]]:
        fields = {"method": "POST", "idempotent": False, "idempotency_key": KEY}
        return entry.router.route(make_request(number, **(fields | changes)))

    @scenario("run_entry")
    async def test_a_repeated_key_gets_the_first_answer(self, entry: Entry) -> None:
        entry.grant(entry.backends.add("s1", 4))
        first = (await self.run_keyed(1, entry)).unwrap()
        await trio.sleep(0.01)
        second = (await self.run_keyed(2, entry)).unwrap()
        self.assertEqual(second, msgspec.structs.replace(first, repeated=True))
        other = await self.run_keyed(3, entry, body=b"else")
        self.assert_refused(other, Outcome.NOT_RUN, RefusalReason.KEY_CONFLICT)
        self.assertEqual(sum(entry.backends.runs.values()), 1)

    @scenario("run_entry")
    async def test_a_key_with_a_lost_answer_stays_unknown(self, entry: Entry) -> None:
        server = entry.backends.add("s1", 4)
        server.behaviour = lambda: "cut"
        entry.grant(server)
        await self.run_keyed(1, entry)
        server.behaviour = lambda: "answer"
        again = await self.run_keyed(2, entry)
        self.assert_refused(again, Outcome.UNKNOWN, RefusalReason.KEY_RUNNING)
        self.assertEqual(sum(entry.backends.runs.values()), 1)

    @scenario("run_entry")
    async def test_a_key_that_was_not_run_may_be_tried_again(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 4)
        server.behaviour = lambda: "refuse"
        entry.grant(server)
        first = await self.run_keyed(1, entry)
        self.assertEqual(first.failure().outcome, Outcome.NOT_RUN)
        server.behaviour = lambda: "answer"
        self.assertIsInstance(await self.run_keyed(2, entry), Success)

    @scenario("run_entry")
    async def test_unreachable_records_refuse_without_a_run(self, entry: Entry) -> None:
        entry.grant(entry.backends.add("s1", 4))
        entry.records.replies_arrive = lambda: False
        result = await self.run_keyed(1, entry)
        refusal = self.assert_refused(
            result, Outcome.NOT_RUN, RefusalReason.RECORDS_UNREACHABLE
        )
        self.assertIn("not looked up", refusal.sentence)
        entry.records.replies_arrive = lambda: True
        await trio.sleep(10)
        self.assertIsInstance(await self.run_keyed(2, entry), Success)
        self.assertEqual(sum(entry.backends.runs.values()), 1)

    @scenario("run_entry")
    async def test_unresponsive_records_do_not_delay_callers(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 4)
        entry.grant(server)
        entry.records.is_hanging = lambda: True
        with trio.fail_after(1.1):
            result = await self.run_keyed(1, entry, timeout=SECOND)
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.RECORDS_UNREACHABLE)
        entry.records.is_hanging = lambda: False

        def refuse() -> str:
            entry.records.is_hanging = lambda: True
            return "refuse"

        server.behaviour = refuse
        with trio.fail_after(2):
            result = await self.run_keyed(2, entry)
        self.assertEqual(result.failure().outcome, Outcome.NOT_RUN)
        self.assertEqual(sum(entry.backends.runs.values()), 0)
