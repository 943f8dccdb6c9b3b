"""Tests of the HTTP server of daemons, over loopback sockets."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import httpx
import msgspec
import trio

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.httpserver import HttpLimits, HttpRequest, HttpResponse, HttpServer
from tests.routing.fakes import scenario

LIMITS = HttpLimits(
    body_bytes=1000,
    header_bytes=4000,
    idle_timeout=timedelta(seconds=30),
    drain_timeout=timedelta(seconds=1),
)
LARGE_BYTES = 64 << 20  # more than the buffers of a connection hold
PIPELINED = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"


class Served:
    """A server with a handler that records requests, and its address."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.stop = trio.Event()
        self.release = trio.Event()
        self.stopped = trio.Event()
        self.port = 0

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        match request.path:
            case "/fault":
                raise RuntimeError("told to fail")
            case "/broken":
                raise BrokenInvariantError("short-name", "told to break")
            case "/wait":
                await self.release.wait()
            case "/large":
                return HttpResponse(HTTPStatus.OK, bytes(LARGE_BYTES))
            case "/last":
                return HttpResponse(
                    HTTPStatus.OK, b"last", headers={"Connection": "close"}
                )
        return HttpResponse(HTTPStatus.OK, request.path.encode())

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.port)


async def read_all(stream: trio.SocketStream) -> bytes:
    with trio.fail_after(5):
        return b"".join([part async for part in stream])


class ServedTestCase(unittest.TestCase):
    limits = LIMITS

    def run_served(self, scenario: Callable[[Served], Awaitable[None]]) -> None:
        async def run() -> None:
            served = Served()

            async def serve(task_status: trio.TaskStatus[list[str]]) -> None:
                server = HttpServer(served.answer, self.limits)
                await server.serve(
                    ["127.0.0.1:0"], served.stop.wait, task_status=task_status
                )
                served.stopped.set()

            async with trio.open_nursery() as nursery:
                (address,) = await nursery.start(serve)
                served.port = int(address.rpartition(":")[2])
                with trio.fail_after(10):
                    await scenario(served)
                nursery.cancel_scope.cancel()

        trio.run(run)


class HttpServerTest(ServedTestCase):
    @scenario("run_served")
    async def test_a_handler_gets_the_whole_request(self, served: Served) -> None:
        async with httpx.AsyncClient(base_url=served.url) as client:
            response = await client.put(
                "/a%2Fb%20c?d=e", content=b"x" * 1000, headers={"X-Kind": "k"}
            )
        self.assertEqual((response.status_code, response.text), (200, "/a/b c"))
        (request,) = served.requests
        self.assertEqual((request.method, request.path), ("PUT", "/a/b c"))
        self.assertEqual(request.headers["x-kind"], "k")
        self.assertEqual(request.body, b"x" * 1000)

    @scenario("run_served")
    async def test_requests_of_a_connection_are_answered_in_order(
        self, served: Served
    ) -> None:
        stream = await served.connect()
        await stream.send_all(PIPELINED)
        await stream.send_eof()
        answers = await read_all(stream)
        self.assertEqual(answers.count(b"200"), 2)
        self.assertLess(answers.index(b"\r\n\r\n/a"), answers.index(b"\r\n\r\n/b"))

    @scenario("run_served")
    async def test_a_client_that_waits_for_permission_gets_it(
        self, served: Served
    ) -> None:
        stream = await served.connect()
        await stream.send_all(
            b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
        )
        self.assertIn(b" 100 ", await stream.receive_some())
        await stream.send_all(b"ab")
        self.assertIn(b" 200 ", await read_all(stream))

    @scenario("run_served")
    async def test_a_response_to_head_has_no_content(self, served: Served) -> None:
        async with httpx.AsyncClient(base_url=served.url) as client:
            head = await client.head("/abc")
            self.assertEqual((head.headers["Content-Length"], head.content), ("4", b""))
            self.assertEqual((await client.get("/abc")).text, "/abc")

    @scenario("run_served")
    async def test_malformed_requests_are_refused_and_the_server_goes_on(
        self, served: Served
    ) -> None:
        for content, status in (
            (b"\x00\xff nonsense\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\n\r\n", b" 400 "),
            (b"GET /" + b"a" * 5000, b" 431 "),
            (b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", b" 400 "),
            (
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"
                + b"x" * 1001,
                b" 413 ",
            ),
        ):
            stream = await served.connect()
            with self.assertLogs("rhubarbfield.httpserver", "WARNING"):
                await stream.send_all(content)
                self.assertIn(status, (await read_all(stream)).partition(b"\r\n")[0])
        self.assertEqual(served.requests, [])
        async with httpx.AsyncClient(base_url=served.url) as client:
            self.assertEqual((await client.get("/a")).status_code, 200)

    @scenario("run_served")
    async def test_a_failing_handler_costs_one_response(self, served: Served) -> None:
        async with httpx.AsyncClient(base_url=served.url) as client:
            with self.assertLogs("rhubarbfield.httpserver", "ERROR"):
                self.assertEqual((await client.get("/fault")).status_code, 500)
            self.assertEqual((await client.get("/a")).status_code, 200)

    def test_a_broken_invariant_ends_the_server(self) -> None:
        async def request(served: Served) -> None:
            stream = await served.connect()
            await stream.send_all(b"GET /broken HTTP/1.1\r\nHost: h\r\n\r\n")
            await read_all(stream)
            await trio.sleep(1)

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_served(request)
        self.assertIsNotNone(caught.exception.subgroup(BrokenInvariantError))

    @scenario("run_served")
    async def test_a_handler_can_end_its_connection(self, served: Served) -> None:
        stream = await served.connect()
        await stream.send_all(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue((await read_all(stream)).endswith(b"last"))

    @scenario("run_served")
    async def test_a_stop_finishes_requests_and_closes_idle_connections(
        self, served: Served
    ) -> None:
        idle, busy = await served.connect(), await served.connect()
        await busy.send_all(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests:
            await trio.sleep(0.01)
        served.stop.set()
        self.assertEqual(await read_all(idle), b"")
        with self.assertRaises(OSError):
            await served.connect()
        self.assertFalse(served.stopped.is_set())
        served.release.set()
        answer = await read_all(busy)
        self.assertIn(b" 200 ", answer)
        self.assertIn(b"connection: close", answer.lower())
        await served.stopped.wait()

    @scenario("run_served")
    async def test_a_stop_does_not_wait_for_ever(self, served: Served) -> None:
        stream = await served.connect()
        await stream.send_all(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests:
            await trio.sleep(0.01)
        served.stop.set()
        with trio.fail_after(3):
            await served.stopped.wait()


class SilentConnectionsTest(ServedTestCase):
    limits = msgspec.structs.replace(LIMITS, idle_timeout=timedelta(seconds=0.3))

    @scenario("run_served")
    async def test_silent_connections_are_closed(self, served: Served) -> None:
        for content in (b"", b"GET /a HT", b"PUT /a HTTP/1.1\r\nContent-Length: 9\r\n"):
            stream = await served.connect()
            await stream.send_all(content)
            self.assertEqual(await read_all(stream), b"")
        self.assertEqual(served.requests, [])

    @scenario("run_served")
    async def test_a_client_that_does_not_read_is_not_waited_for(
        self, served: Served
    ) -> None:
        stream = await served.connect()
        await stream.send_all(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
        await trio.sleep(1)
        received = 0
        with trio.fail_after(5), contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                received += len(part)
        self.assertLess(received, LARGE_BYTES)


if __name__ == "__main__":
    unittest.main()
