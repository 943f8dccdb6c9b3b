"""Tests of the operators' side of the HTTP."""

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
    def ask(self, text: str, *handlers: Handler) -> tuple[object, list[str]]:
        asked: list[str] = []
        by_host = {f"host{place}": handler for place, handler in enumerate(handlers)}

        def handle(request: httpx.Request) -> httpx.Response:
            self.assertIn(SECRET.decode(), request.headers["Authorization"])
            asked.append(request.url.host)
            return by_host[request.url.host](request)

        named = {"leader": f"host{len(handlers) - 1}"}

        async def run() -> object:
            transport = httpx.MockTransport(handle)
            async with OperatorsClient(
                list(by_host), SECRET, named, transport
            ) as client:
                if text.startswith("show"):
                    return await client.query(text)
                return await client.command("ana", 1, text)

        return trio.run(run), asked

    def ask_failing(self, text: str, *handlers: Handler) -> FailureKind:
        outcome, _ = self.ask(text, *handlers)
        return outcome.failure().kind  # type: ignore[attr-defined,no-any-return]

    def test_the_next_controller_is_asked_when_one_can_not_answer(self) -> None:
        outcome, asked = self.ask(
            "show jobs",
            refuse_connection,
            fail(FailureKind.NO_QUORUM, 503),
            answer_table,
        )
        self.assertEqual(outcome.unwrap(), TABLE)  # type: ignore[attr-defined]
        self.assertEqual(asked, ["host0", "host1", "host2"])

    def test_a_stale_answer_is_given_only_if_the_leader_gives_no_other(self) -> None:
        stale = msgspec.structs.replace(TABLE, stale=True)
        status = ControllerStatus(
            instance=InstanceName("a1"), ready=True, leader=InstanceName("leader")
        )

        def follow(request: httpx.Request) -> httpx.Response:
            answer = status if request.url.path == "/v1/status" else stale
            return httpx.Response(200, content=msgspec.json.encode(answer))

        for leader, expected in ((answer_table, TABLE), (refuse_connection, stale)):
            outcome, asked = self.ask("show jobs", follow, leader)
            self.assertEqual(outcome.unwrap(), expected)  # type: ignore[attr-defined]
            self.assertEqual(asked, ["host0", "host0", "host1"])

    def test_a_decision_is_not_asked_for_elsewhere(self) -> None:
        _, asked = self.ask("drain", fail(FailureKind.CLASH, 409), answer_table)
        self.assertEqual(asked, ["host0"])

    def test_a_lost_answer_to_a_command_is_unknown_never_refused(self) -> None:
        for later in (refuse_connection, fail(FailureKind.NO_QUORUM, 503)):
            kind = self.ask_failing("drain", lose_answer, later)
            self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)
        kind = self.ask_failing("drain", lose_answer, fail(FailureKind.CLASH, 409))
        self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)
        kind = self.ask_failing("drain", refuse_connection)
        self.assertEqual(kind, FailureKind.UNREACHABLE)

    def test_an_answer_that_can_not_be_read_is_a_failure(self) -> None:
        for response in (httpx.Response(200, content=b"<html>"), httpx.Response(502)):
            kind = self.ask_failing("show", lambda _request, r=response: r)  # type: ignore[misc]
            self.assertEqual(kind, FailureKind.UNREACHABLE)
            kind = self.ask_failing("drain", lambda _request, r=response: r)  # type: ignore[misc]
            self.assertEqual(kind, FailureKind.UNKNOWN_OUTCOME)

    def test_the_client_and_the_app_speak_the_same(self) -> None:
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
