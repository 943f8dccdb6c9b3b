"""Tests of the HTTP server with clients that don't end their requests."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import trio
import trio.testing

from rhubarbfield.clock import HostClock
from rhubarbfield.httpserver import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_app,
)
from rhubarbfield.intake import CONNECTION_BYTES, Intake, IntakeLimits
from tests.httpserver.test_server import read_all

HELD_BYTES = 4 * CONNECTION_BYTES
LIMITS = HttpLimits(body_bytes=HELD_BYTES)
UNFINISHED = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" + bytes(
    29_999
)
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\n\r\n"
)
NEXT = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
TIMEOUT_SECONDS = 10


class OverloadTest(unittest.TestCase):
    def run_served(self, scenario: Callable[[int, Intake], Awaitable[None]]) -> None:
        intake = Intake(IntakeLimits(held_bytes=HELD_BYTES, connections=100))

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(HTTPStatus.OK, request.path.encode() + request.body)

        async def run() -> None:
            server = HttpServer(answer, LIMITS, intake)
            async with trio.open_nursery() as nursery:

                async def serve(task_status: trio.TaskStatus[list[str]]) -> None:
                    await server.serve(
                        ["127.0.0.1:0"], trio.sleep_forever, task_status=task_status
                    )

                binds = await nursery.start(serve)
                await scenario(int(binds[0].rpartition(":")[2]), intake)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_the_oldest_unfinished_request_is_refused_for_lack_of_room(self) -> None:
        async def scenario(port: int, _intake: Intake) -> None:
            first = await trio.open_tcp_stream("127.0.0.1", port)
            await first.send_all(UNFINISHED)
            await trio.testing.wait_all_tasks_blocked(0.05)
            second = await trio.open_tcp_stream("127.0.0.1", port)
            await second.send_all(UNFINISHED)
            refused = await read_all(first)
            self.assertTrue(refused.startswith(b"HTTP/1.1 504 "), refused)
            self.assertIn(b"retry-after: 1\r\n", refused.lower())
            await second.send_all(b"x")
            answered = await second.receive_some()
            self.assertTrue(answered.startswith(b"HTTP/1.1 200 "), answered)

        with self.assertLogs("rhubarbfield", "WARNING"):
            self.run_served(scenario)

    def test_nothing_is_held_once_clients_have_left(self) -> None:
        async def scenario(port: int, intake: Intake) -> None:
            for _ in range(3):
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(UNFINISHED)
                await stream.aclose()
            with trio.fail_after(TIMEOUT_SECONDS):
                while intake.held_bytes:
                    await trio.sleep(0.01)

        self.run_served(scenario)

    def test_a_request_that_follows_chunked_content_is_answered(self) -> None:
        async def scenario(port: int, _intake: Intake) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(CHUNKED + NEXT)
            answers = await read_all(stream)
            self.assertEqual(answers.count(b"HTTP/1.1 200 "), 2)
            self.assertIn(b"/ax", answers)
            self.assertTrue(answers.endswith(b"/b"), answers)

        self.run_served(scenario)

    def test_bad_chunks_are_refused(self) -> None:
        async def scenario(port: int, _intake: Intake) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(CHUNKED.replace(b"1\r\nx", b"1\r\nxy"))
            answer = await read_all(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)

        with self.assertLogs("rhubarbfield", "WARNING"):
            self.run_served(scenario)


class AppTest(unittest.TestCase):
    def run_app(self, app: object, scenario: Callable[[int], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:

                async def serve(task_status: trio.TaskStatus[list[str]]) -> None:
                    await serve_app(
                        app,
                        "127.0.0.1:0",
                        trio.sleep_forever,
                        limits=LIMITS,
                        intake=Intake(),
                        clock=HostClock(),
                        task_status=task_status,
                    )

                binds = await nursery.start(serve)
                await scenario(int(binds[0].rpartition(":")[2]))
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_repeated_header_fields_of_an_app_are_sent(self) -> None:
        async def app(scope: dict, receive: object, send: Callable) -> None:
            event = await receive()
            fields = [(b"set-cookie", b"a"), (b"set-cookie", b"b")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": fields}
            )
            await send({"type": "http.response.body", "body": event["body"]})

        async def scenario(port: int) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(CHUNKED + NEXT)
            answers = await read_all(stream)
            self.assertEqual(answers.count(b"set-cookie: a\r\nset-cookie: b\r\n"), 2)
            self.assertEqual(answers.count(b"date: "), 2)

        self.run_app(app, scenario)

    def test_app_is_cancelled_when_its_client_leaves(self) -> None:
        async def scenario(port: int) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(NEXT)
            with trio.fail_after(TIMEOUT_SECONDS):
                await began.wait()
                await stream.aclose()
                await ended.wait()

        began, ended = trio.Event(), trio.Event()

        async def app(scope: dict, receive: object, send: Callable) -> None:
            began.set()
            try:
                await trio.sleep_forever()
            finally:
                ended.set()

        self.run_app(app, scenario)

    def test_an_app_that_raises_costs_only_its_request(self) -> None:
        async def app(scope: dict, receive: object, send: Callable) -> None:
            raise trio.BusyResourceError("another task is sending")

        async def scenario(port: int) -> None:
            for _ in range(2):
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(NEXT)
                answer = await read_all(stream)
                self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer)

        with self.assertLogs("rhubarbfield", "ERROR"):
            self.run_app(app, scenario)
