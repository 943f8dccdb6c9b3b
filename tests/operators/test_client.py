"""Tests of the operators' HTTP client."""

from __future__ import annotations

import unittest
from collections.abc import Callable

import httpx
import msgspec
import trio

from rhubarbfield.language import Table
from rhubarbfield.operators import (
    ControllerStatus,
    FailureAnswer,
    FailureKind,
    OperatorFailure,
    OperatorsClient,
)
from rhubarbfield.types import InstanceName
from tests.operators.fakes import SECRET, FakeController

Handler = Callable[[httpx.Request], httpx.Response]
TABLE = Table(columns=("a",), rows=(("x",),))


def answer_table(_request: httpx.Request) -> httpx.Response:
    return httpx.Response(200, content=msgspec.json.encode(TABLE))


def refuse_connection(_request: httpx.Request) -> httpx.Response:
    raise httpx.ConnectError("refused")


def lose_answer(_request: httpx.Request) -> httpx.Response:
    raise httpx.ReadTimeout("silent")


def fail(kind: FailureKind, status: int) -> Handler:
    failure = OperatorFailure(kind=kind, message="no")
    content = msgspec.json.encode(FailureAnswer(failure=failure))
    return lambda _request: httpx.Response(status, content=content)


class ClientTest(unittest.TestCase):
    def send(self, text: str, *handlers: Handler) -> tuple[object, list[str]]:
        called: list[str] = []
        handlers_by_host = {
            f"host{index}": handler for index, handler in enumerate(handlers)
        }

        def handle(request: httpx.Request) -> httpx.Response:
            self.assertIn(SECRET.decode(), request.headers["Authorization"])
            called.append(request.url.host)
            return handlers_by_host[request.url.host](request)

        instances = {"leader": f"host{len(handlers) - 1}"}

        async def run() -> object:
            transport = httpx.MockTransport(handle)
            async with OperatorsClient(
                list(handlers_by_host), SECRET, instances, transport
            ) as client:
                if text.startswith("show"):
                    return await client.query(text)
                return await client.command("ana", 1, text)

        return trio.run(run), called

    def get_failure_kind(self, text: str, *handlers: Handler) -> FailureKind:
        outcome, _ = self.send(text, *handlers)
        return outcome.failure().kind  # type: ignore[attr-defined,no-any-return]

    def test_the_next_controller_is_tried_after_a_failure(self) -> None:
        outcome, called = self.send(
            "show jobs",
            refuse_connection,
            fail(FailureKind.NO_QUORUM, 503),
            answer_table,
        )
        self.assertEqual(outcome.unwrap(), TABLE)  # type: ignore[attr-defined]
        self.assertEqual(called, ["host0", "host1", "host2"])

    def test_a_stale_answer_is_returned_only_if_the_leader_fails(self) -> None:
        stale = msgspec.structs.replace(TABLE, stale=True)
        status = ControllerStatus(
            instance=InstanceName("a1"), ready=True, leader=InstanceName("leader")
        )

        def answer_as_follower(request: httpx.Request) -> httpx.Response:
            answer = status if request.url.path == "/v1/status" else stale
            return httpx.Response(200, content=msgspec.json.encode(answer))

        for leader, expected in ((answer_table, TABLE), (refuse_connection, stale)):
            outcome, called = self.send("show jobs", answer_as_follower, leader)
            self.assertEqual(outcome.unwrap(), expected)  # type: ignore[attr-defined]
            self.assertEqual(called, ["host0", "host0", "host1"])

    def test_no_other_controller_is_tried_after_a_decision(self) -> None:
        _, called = self.send("drain", fail(FailureKind.CLASH, 409), answer_table)
        self.assertEqual(called, ["host0"])

    def test_a_lost_answer_to_a_command_leaves_its_outcome_unknown(self) -> None:
        for later in (refuse_connection, fail(FailureKind.NO_QUORUM, 503)):
            kind = self.get_failure_kind("drain", lose_answer, later)
            self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)
        kind = self.get_failure_kind("drain", lose_answer, fail(FailureKind.CLASH, 409))
        self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)
        kind = self.get_failure_kind("drain", refuse_connection)
        self.assertEqual(kind, FailureKind.UNREACHABLE)

    def test_an_unreadable_answer_is_a_failure(self) -> None:
        for response in (httpx.Response(200, content=b"<html>"), httpx.Response(502)):
            kind = self.get_failure_kind("show", lambda _request, r=response: r)  # type: ignore[misc]
            self.assertEqual(kind, FailureKind.UNREACHABLE)
            kind = self.get_failure_kind("drain", lambda _request, r=response: r)  # type: ignore[misc]
            self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)

    def test_the_client_works_with_the_app(self) -> None:
        async def run() -> object:
            app = FakeController().make_app()
            transport = httpx.ASGITransport(app=app)  # type: ignore[arg-type]
            async with OperatorsClient(["a1"], SECRET, {}, transport) as client:
                text = "create batch a for tenant t cores 1 memory 1gb"
                record = (await client.command("ana", 1, text)).unwrap()
                status = (await client.get_status()).unwrap()
                table = (await client.query("show jobs")).unwrap()
                return record.jobs[0], status.instance, table.rows[0][0]

        self.assertEqual(trio.run(run), ("1-a", "a1", "1-a"))
