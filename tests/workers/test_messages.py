"""Tests of message decoding, by fuzzing, and of reconciliation."""

from __future__ import annotations

import json
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbfield.announcements import (
    Announce,
    Heartbeat,
    decode_backend_server_message,
)
from rhubarbfield.types import AttemptId, AttemptState, Epoch, LogIndex, TaskId
from rhubarbfield.workers import (
    Admitted,
    AttemptReport,
    HeldAttempt,
    LiveAttempt,
    Malformed,
    RenewLease,
    Resources,
    StartAttempt,
    StopAttempt,
    UsageReport,
    WorkerHello,
    decode_worker_message,
    reconcile,
)
from rhubarbfield.workers.bounds import MAX_MESSAGE_BYTES

FUZZ = settings(max_examples=150, derandomize=True, deadline=None)
WORKER_MESSAGES = (WorkerHello, RenewLease, UsageReport, AttemptReport)
SERVER_MESSAGES = (Announce, Heartbeat)

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["running", "w1", "2026-01-01T00:00:00Z", "leaving"])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["attempt", "epoch", "state"]), inner)
    ),
    max_leaves=6,
)


def messages_like(types: tuple[Any, ...]) -> st.SearchStrategy[bytes]:
    """Return JSON messages with valid tags and field names but arbitrary values."""

    def of_type(message_type: Any) -> st.SearchStrategy[dict[str, Any]]:
        fields = {
            field.encode_name: values for field in msgspec.structs.fields(message_type)
        }
        tag = message_type.__struct_config__.tag
        return st.fixed_dictionaries({"type": st.just(tag)}, optional=fields)

    return st.one_of(*map(of_type, types)).map(lambda value: json.dumps(value).encode())


class DecodingTest(unittest.TestCase):
    def check(self, result: Result[Any, Malformed], expected: tuple[Any, ...]) -> None:
        if isinstance(result, Failure):
            self.assertIsInstance(result.failure(), Malformed)
            self.assertTrue(result.failure().reason)
        else:
            self.assertIsInstance(result.unwrap(), expected)

    @FUZZ
    @given(st.binary(max_size=200) | messages_like(WORKER_MESSAGES))
    def test_what_workers_send_is_a_message_or_a_typed_error(self, data: bytes) -> None:
        self.check(decode_worker_message(data), WORKER_MESSAGES)

    @FUZZ
    @given(st.binary(max_size=200) | messages_like(SERVER_MESSAGES))
    def test_what_servers_send_is_a_message_or_a_typed_error(self, data: bytes) -> None:
        self.check(decode_backend_server_message(data), SERVER_MESSAGES)

    def test_sizes_and_counts_are_bounded(self) -> None:
        hello = {"type": "renew-lease", "number": 1, "epoch": 1}
        for change in ({"number": -1}, {"number": 2**60}, {"epoch": "1"}):
            with self.subTest(change=change):
                data = json.dumps({**hello, **change}).encode()
                failure = decode_worker_message(data).failure()
                self.assertIn(f"$.{next(iter(change))}", failure.reason)
        large = b" " * MAX_MESSAGE_BYTES + b"{}"
        self.assertIn("bytes", decode_worker_message(large).failure().reason)

    def test_a_message_survives_a_round_trip(self) -> None:
        report = AttemptReport(
            attempt=AttemptId("a"), epoch=Epoch(3), state=AttemptState.RUNNING
        )
        encoded = msgspec.json.encode(report)
        self.assertEqual(decode_worker_message(encoded), Success(report))


class ReconciliationTest(unittest.TestCase):
    def start(self, attempt: str) -> StartAttempt:
        return StartAttempt(
            attempt=AttemptId(attempt),
            task=TaskId(attempt),
            epoch=Epoch(1),
            resources=Resources(),
        )

    def reconcile(
        self, live: tuple[LiveAttempt, ...], held: tuple[str, ...], same: bool
    ) -> tuple[tuple[str, ...], list[str], list[str]]:
        hello = WorkerHello(
            worker="w",  # type: ignore[arg-type]
            rack="r",  # type: ignore[arg-type]
            domain="d",  # type: ignore[arg-type]
            incarnation="1",  # type: ignore[arg-type]
            number=1,
            capacity=Resources(),
            running=tuple(
                HeldAttempt(
                    attempt=AttemptId(attempt),
                    task=TaskId(attempt),
                    epoch=Epoch(1),
                    state=AttemptState.RUNNING,
                )
                for attempt in held
            ),
        )
        admitted = Admitted(
            session=Epoch(9), position=LogIndex(9), same_incarnation=same, live=live
        )
        found = reconcile(hello, admitted)
        resent = [f"{type(order).__name__} {order.attempt}" for order in found.resend]
        return found.keep, resent, [report.attempt for report in found.lost]

    def live(self, attempt: str, state: AttemptState, stop: bool = False) -> Any:
        order = StopAttempt(attempt=AttemptId(attempt), reason="r")
        return LiveAttempt(
            start=self.start(attempt), state=state, pending=(order,) if stop else ()
        )

    def test_attempts_that_the_log_does_not_know_are_not_kept(self) -> None:
        live = (self.live("a", AttemptState.RUNNING),)
        self.assertEqual(self.reconcile(live, ("a", "b"), True), (("a",), [], []))

    def test_a_start_that_may_be_lost_is_sent_again_to_the_same_process(self) -> None:
        live = (self.live("a", AttemptState.STARTING),)
        self.assertEqual(self.reconcile(live, (), True), ((), ["StartAttempt a"], []))
        self.assertEqual(self.reconcile(live, (), False), ((), [], ["a"]))

    def test_an_attempt_to_be_stopped_is_not_started_first(self) -> None:
        live = (self.live("a", AttemptState.STARTING, stop=True),)
        self.assertEqual(self.reconcile(live, (), True), ((), ["StopAttempt a"], []))

    def test_a_running_attempt_missing_from_the_hello_is_lost(self) -> None:
        live = (self.live("a", AttemptState.RUNNING),)
        self.assertEqual(self.reconcile(live, (), True), ((), [], ["a"]))
