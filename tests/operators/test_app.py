"""Tests of the controller's HTTP server for operators."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.operators import FailureAnswer, FailureKind
from rhubarbfield.operators.app import MAX_BODY_BYTES
from tests.operators.fakes import HEADERS, FakeController

FUZZING = settings(derandomize=True, database=None, deadline=None, max_examples=60)
CREATE = "create batch a for tenant t cores 1 memory 1gb"


class Answer(msgspec.Struct):
    status: int
    body: bytes

    @property
    def failure(self) -> FailureKind:
        return msgspec.json.decode(self.body, type=FailureAnswer).failure.kind


class AppCase(unittest.TestCase):
    def setUp(self) -> None:
        self.controller = FakeController()

    def send(
        self,
        path: str,
        body: object = None,
        headers: dict[str, str] = HEADERS,
        method: str = "POST",
    ) -> Answer:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)

        async def send_request() -> Answer:
            client = self.controller.make_app().test_client()
            response = await client.open(
                path, method=method, headers=headers, data=data
            )
            return Answer(response.status_code, await response.get_data(as_text=False))

        return trio.run(send_request)

    def query(self, text: str) -> Answer:
        return self.send("/v1/query", {"text": text})

    def command(self, number: int, text: str, operator: str = "ana") -> Answer:
        body = {"operator": operator, "number": number, "text": text}
        return self.send("/v1/command", body)


class AuthenticationTest(AppCase):
    def test_requests_without_the_secret_are_refused_and_logged(self) -> None:
        paths = ("/v1/query", "/v1/command", "/v1/status", "/-/metrics", "/nope")
        wrong = ({}, {"Authorization": "Bearer é"}, {"Authorization": "Bearer x"})
        for path in paths:
            for headers in wrong:
                with self.assertLogs("rhubarbfield.operators") as logs:
                    answer = self.send(path, headers=headers)
                self.assertEqual(answer.failure, FailureKind.UNAUTHORIZED)
                self.assertIn("operator-refused", logs.output[0])

    def test_probes_need_no_secret(self) -> None:
        self.assertEqual(self.send("/-/health", headers={}, method="GET").status, 200)
        self.assertEqual(self.send("/-/ready", headers={}, method="GET").status, 200)
        self.controller.stale = True
        self.assertEqual(self.send("/-/ready", headers={}, method="GET").status, 503)


class AnswersTest(AppCase):
    def test_a_query_answer_has_its_position_and_staleness(self) -> None:
        self.command(1, CREATE)
        self.controller.stale = True
        answer = self.query("show jobs where tenant = t")
        self.assertIn(b'"position":9,"stale":true', answer.body)
        self.assertIn(b'"1-a"', answer.body)

    def test_a_resent_command_gets_the_same_bytes_again(self) -> None:
        with self.assertLogs("rhubarbfield.operators", "INFO") as logs:
            first = self.command(1, CREATE)
        self.assertIn("operator-command", logs.output[0])
        self.assertEqual(first.status, 200)
        self.assertEqual(self.command(1, CREATE), first)
        clash = self.command(1, CREATE, operator="bo")
        self.assertEqual((clash.status, clash.failure), (409, FailureKind.CLASH))
        self.assertIn(b"ana sent", clash.body)
        self.assertEqual(len(self.controller.state.jobs), 1)

    def test_invalid_requests_are_distinguished_and_use_no_number(self) -> None:
        for answer, kind in (
            (self.query("sho jobs"), FailureKind.SYNTAX),
            (self.query(CREATE), FailureKind.INVALID),
            (self.query("show jobs where x = 1"), FailureKind.INVALID),
            (self.query("explain job 9-x"), FailureKind.NOT_FOUND),
            (self.command(1, "show jobs"), FailureKind.INVALID),
            (self.command(1, "configure a.b = 1"), FailureKind.INVALID),
            (self.command(0, CREATE), FailureKind.MALFORMED),
            (self.command(1, CREATE, operator="a b"), FailureKind.MALFORMED),
            (self.command(1, "x" * 9000), FailureKind.MALFORMED),
            (self.send("/v1/query", {"txt": "x"}), FailureKind.MALFORMED),
            (self.send("/v1/query", b"[" * 10_000), FailureKind.MALFORMED),
            (self.send("/v1/query", method="GET"), FailureKind.MALFORMED),
            (self.send("/v2/query"), FailureKind.NOT_FOUND),
            (
                self.send("/v1/query", b"x" * (MAX_BODY_BYTES + 1)),
                FailureKind.TOO_LARGE,
            ),
        ):
            self.assertEqual(answer.failure, kind, answer.body)
        self.assertEqual(self.controller.state.table.records, {})

    def test_an_exception_is_hidden_and_a_broken_invariant_is_reported(self) -> None:
        self.controller.exception = BrokenInvariantError("some-name", "secret detail")
        with self.assertLogs("rhubarbfield.operators"):
            answer = self.command(1, CREATE)
        self.assertEqual((answer.status, answer.failure), (500, FailureKind.INTERNAL))
        self.assertNotIn(b"secret detail", answer.body)
        self.assertEqual(self.controller.broken[0].invariant, "some-name")

    def test_requests_above_the_concurrency_limit_are_refused(self) -> None:
        with mock.patch("rhubarbfield.operators.app.MAX_CONCURRENT_REQUESTS", 0):
            answer = self.query("show jobs")
        self.assertEqual((answer.status, answer.failure), (503, FailureKind.BUSY))


class FuzzingTest(AppCase):
    @FUZZING
    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_any_body_is_answered_with_a_typed_failure(self, body: bytes) -> None:
        self.assertEqual(self.send("/v1/command", body).status, 400)

    @FUZZING
    @given(st.text(max_size=30), st.integers(), st.text(max_size=30))
    def test_any_fields_are_answered(self, who: str, number: int, text: str) -> None:
        body = {"operator": who, "number": number, "text": text}
        self.assertIn(self.send("/v1/command", body).status, (200, 400, 422))
