"""Tests of the records of requests, as an entry keeps them in a home domain."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import cast

from returns.result import Result, Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.entry.records import HomeRecords
from rhubarbfield.peering import Transport
from rhubarbfield.protocol import DOMAIN_CALL, LeaderCalls, settles_domain_attempts
from rhubarbfield.records import RecordBegun, RecordsFull
from rhubarbfield.routing import (
    BeginReply,
    Begun,
    RecordFailure,
    RecordFailureReason,
)
from rhubarbfield.types import FailureDomain, IdempotencyKey, RequestId, Tenant
from tests.protocol.test_leaders import NAMES, TIMED_OUT, Reply, ScriptedTransport
from tests.replication.determinism import run_deterministic

DOMAIN = FailureDomain("z")


class BeginInDoubtTest(unittest.TestCase):
    """The record of a request whose first attempt got no reply."""

    def begin(
        self, answer: Callable[[str, int], Reply]
    ) -> Result[BeginReply, RecordFailure]:
        async def body() -> Result[BeginReply, RecordFailure]:
            calls = LeaderCalls(
                DOMAIN_CALL,
                {name: (name, 1) for name in NAMES},
                cast(Transport, ScriptedTransport(answer)),
                TrioClock(),
                settles=settles_domain_attempts,
            )
            records = HomeRecords({DOMAIN: calls}, TrioClock())
            return await records.begin(
                Tenant("t"), IdempotencyKey("k"), "f", RequestId("r")
            )

        return run_deterministic(body, seed=1)

    def test_record_that_may_be_begun_is_not_answered_as_full(self) -> None:
        """REFUSED: an earlier attempt could still begin it, and nobody cleared it."""
        result = self.begin(
            lambda _, number: TIMED_OUT if number == 1 else Success(RecordsFull())
        )
        self.assertIs(result.failure().reason, RecordFailureReason.UNREACHABLE)

    def test_full_records_are_told_at_once_without_doubt(self) -> None:
        result = self.begin(lambda *_: Success(RecordsFull()))
        self.assertIs(result.failure().reason, RecordFailureReason.FULL)

    def test_begun_record_also_answers_for_an_attempt_in_doubt(self) -> None:
        result = self.begin(
            lambda _, number: TIMED_OUT if number == 1 else Success(RecordBegun())
        )
        self.assertEqual(result, Success(Begun()))


if __name__ == "__main__":
    unittest.main()
