"""Tests of servers whose addresses are in use when they start, over real sockets."""

from __future__ import annotations

import errno
import socket
import unittest
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from unittest import mock

import trio
from quart import Quart
from returns.result import Success
from trio_asyncio import open_loop

from rhubarbfield.callers import Readiness, serve
from rhubarbfield.callers.serving import ServingSettings
from rhubarbfield.cli.program import find_error
from rhubarbfield.clock import TrioClock
from rhubarbfield.httpserver import HttpLimits, HttpRequest, HttpResponse, HttpServer
from rhubarbfield.peering import CallMethod, Credentials, GrpcTransport, connect
from tests.peering.test_grpc import HOST, Question, Reply, answer

CALL = CallMethod("/test.Test/Call", Question, Reply)
TIMEOUT_SECONDS = 10
OCCUPIED_SECONDS = 0.5


async def answer_http(request: HttpRequest) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, request.path.encode())


def occupy() -> socket.socket:
    """Return a socket that listens at a port of its own."""
    return socket.create_server((HOST, 0))


def name_address(occupied: socket.socket) -> str:
    return f"{HOST}:{occupied.getsockname()[1]}"


async def is_listening(address: str) -> bool:
    try:
        stream = await trio.open_tcp_stream(HOST, int(address.rpartition(":")[2]))
    except OSError:
        return False
    await stream.aclose()
    return True


class LateAddressTest(unittest.TestCase):
    def test_http_server_waits_for_an_address_in_use(self) -> None:
        async def body() -> None:
            occupied = occupy()
            server = HttpServer(answer_http, HttpLimits())
            serve = partial(server.serve, [name_address(occupied)], trio.sleep_forever)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(free_later, occupied)
                with trio.fail_after(TIMEOUT_SECONDS):
                    bound = await nursery.start(serve)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(bound), 1)

        with self.assertLogs("rhubarbfield", "WARNING") as logs:
            trio.run(body)
        events = [record.getMessage() for record in logs.records]
        self.assertEqual(events.count("port-in-use"), 1)

    def test_address_is_not_served_before_those_it_follows(self) -> None:
        async def body() -> None:
            occupied, readiness = occupy(), occupy()
            callers_address, readiness_address = map(
                name_address, (occupied, readiness)
            )
            readiness.close()
            server = HttpServer(answer_http, HttpLimits())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    server.serve,
                    [callers_address, readiness_address],
                    trio.sleep_forever,
                )
                await trio.sleep(OCCUPIED_SECONDS)
                self.assertFalse(await is_listening(readiness_address))
                occupied.close()
                with trio.fail_after(TIMEOUT_SECONDS):
                    while not await is_listening(readiness_address):
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(body)

    def test_stop_ends_the_wait_for_an_address(self) -> None:
        async def body() -> None:
            stop = trio.Event()
            with occupy() as occupied:
                server = HttpServer(answer_http, HttpLimits())
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        nursery.start,
                        partial(server.serve, [name_address(occupied)], stop.wait),
                    )
                    await trio.sleep(OCCUPIED_SECONDS)
                    stop.set()
                    nursery.cancel_scope.deadline = trio.current_time() + 1
                self.assertFalse(nursery.cancel_scope.cancelled_caught)

        trio.run(body)

    def test_address_that_cannot_be_bound_is_refused(self) -> None:
        server = HttpServer(answer_http, HttpLimits())
        refusal = PermissionError(errno.EACCES, "not permitted")
        for port, kind in (("x", ValueError), ("80", PermissionError)):

            async def body(port: str = port) -> None:
                with trio.fail_after(TIMEOUT_SECONDS):
                    await server.serve([f"{HOST}:{port}"], trio.sleep_forever)

            with (
                self.subTest(port=port),
                mock.patch("trio.open_tcp_listeners", side_effect=refusal),
                self.assertRaises(BaseExceptionGroup) as raised,
            ):
                trio.run(body)
            self.assertIsNotNone(find_error(raised.exception, kind))

    def test_server_for_callers_of_the_entry_waits_for_an_address_in_use(self) -> None:
        async def body() -> None:
            occupied, stop = occupy(), trio.Event()
            address = name_address(occupied)
            stop_soon = ServingSettings(readiness_propagation_delay=timedelta())
            serve_callers = partial(
                serve,
                Quart("test"),
                address,
                stop=stop,
                readiness=Readiness(),
                clock=TrioClock(),
                settings=stop_soon,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(free_later, occupied)
                with trio.fail_after(TIMEOUT_SECONDS):
                    bound = await nursery.start(serve_callers)
                stop.set()
            self.assertEqual(bound, [f"http://{address}"])

        trio.run(body)

    def test_peer_server_waits_for_a_port_in_use(self) -> None:
        async def body() -> None:
            occupied = occupy()
            port = occupied.getsockname()[1]
            transport = GrpcTransport(Credentials("a secret"))
            serve = partial(transport.serve, HOST, port, calls={CALL: answer})
            async with open_loop(), trio.open_nursery() as nursery:
                nursery.start_soon(free_later, occupied)
                with trio.fail_after(TIMEOUT_SECONDS):
                    await nursery.start(serve)
                    async with connect(transport, HOST, port) as connection:
                        reply = await connection.call(CALL, Question(1))
                self.assertEqual(reply, Success(Reply(2)))
                nursery.cancel_scope.cancel()

        trio.run(body)


async def free_later(occupied: socket.socket) -> None:
    await trio.sleep(OCCUPIED_SECONDS)
    occupied.close()


if __name__ == "__main__":
    unittest.main()
