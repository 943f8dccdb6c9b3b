"""Tests of what gRPC clients make a process hold."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import trio
from grpclib.exceptions import ProtocolError
from returns.result import Success

from rhubarbfield.intake import Intake, IntakeLimits
from rhubarbfield.peering import (
    CallMethod,
    Credentials,
    GrpcTransport,
    connect,
    open_bridge,
)
from rhubarbfield.peering._grpclib import MAX_MESSAGE_BYTES
from rhubarbfield.peering.listener import StreamBuffer
from tests.peering.test_grpc import HOST, Question, Reply, answer, find_port
from tests.processes.crowds import (
    Crowd,
    Shape,
    is_grpc_served,
    send_grpc,
)
from tests.replication.determinism import expect_contained_errors

SECRET = "s"
CALL = CallMethod("/test.Test/Call", Question, Reply)
MESSAGE_BYTES = 1_000_000
TIMEOUT_SECONDS = 10


class ListenerTest(unittest.TestCase):
    def run_served(
        self, scenario: Callable[[int, Intake], Awaitable[None]], **limits: int
    ) -> None:
        intake = Intake(IntakeLimits(**limits))

        async def run() -> None:
            transport = GrpcTransport(Credentials(SECRET), intake)
            async with open_bridge(), trio.open_nursery() as nursery:
                port = find_port()

                async def serve(task_status: trio.TaskStatus[None]) -> None:
                    await transport.serve(
                        HOST, port, calls={CALL: answer}, task_status=task_status
                    )

                await nursery.start(serve)
                await scenario(port, intake)
                async with connect(transport, HOST, port) as connection:
                    reply = await connection.call(CALL, Question(1))
                    self.assertIsInstance(reply, Success)
                nursery.cancel_scope.cancel()

        with expect_contained_errors():
            trio.run(run)

    async def send(self, port: int, shape: Shape) -> trio.SocketStream:
        """Return a connection on which all but the last byte was sent."""
        stream = await trio.open_tcp_stream(HOST, port)
        crowd = Crowd(
            clients=2, host=HOST, port=port, shape=shape, body=bytes(MESSAGE_BYTES)
        )
        await send_grpc(CALL.path, "msgpack", SECRET, crowd)(1, stream)
        return stream

    def test_unread_bytes_are_counted_until_the_client_leaves(self) -> None:
        async def scenario(port: int, intake: Intake) -> None:
            for shape in (Shape.LARGE_CHUNKS, Shape.PIECES):
                stream = await self.send(port, shape)
                await _wait_until(lambda: intake.held_bytes >= MESSAGE_BYTES)
                await stream.aclose()
                await _wait_until(lambda: intake.held_bytes == 0)

        self.run_served(scenario)

    def test_the_longest_waiting_message_is_given_up(self) -> None:
        async def scenario(port: int, intake: Intake) -> None:
            streams = [await self.send(port, Shape.LARGE_CHUNKS) for _ in range(4)]
            with trio.fail_after(TIMEOUT_SECONDS):
                while True:
                    try:
                        if not await streams[0].receive_some():
                            break
                    except trio.BrokenResourceError:
                        break
            await _wait_until(lambda: intake.held_bytes <= 3 * MESSAGE_BYTES)
            for stream in streams:
                await stream.aclose()

        self.run_served(scenario, held_bytes=3 * MESSAGE_BYTES)

    def test_connections_without_a_stream_are_given_up(self) -> None:
        async def scenario(port: int, _intake: Intake) -> None:
            streams = [await trio.open_tcp_stream(HOST, port) for _ in range(20)]
            self.assertTrue(await is_grpc_served(HOST, port, SECRET))
            with trio.fail_after(TIMEOUT_SECONDS):
                while await streams[0].receive_some():
                    pass
            for stream in streams:
                await stream.aclose()

        self.run_served(scenario, connections=5)


async def _wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(0.01)


class StreamBufferTest(unittest.TestCase):
    def make_buffer(self) -> tuple[StreamBuffer, Intake, list[int]]:
        intake, acknowledged = Intake(), []
        buffer = StreamBuffer(acknowledged.append, intake.hold(), self.fail)
        return buffer, intake, acknowledged

    def test_bytes_are_read_in_other_parts_than_they_arrive(self) -> None:
        async def run() -> None:
            buffer, intake, acknowledged = self.make_buffer()
            for part in (b"ab", b"c", b"def"):
                buffer.add(part, len(part) + 1)
            self.assertEqual(await buffer.read(1), b"a")
            self.assertEqual(intake.held_bytes, 5)
            self.assertEqual(await buffer.read(5), b"bcdef")
            self.assertEqual((intake.held_bytes, sum(acknowledged)), (0, 9))
            buffer.eof()
            self.assertEqual(await buffer.read(5), b"")

        asyncio.run(run())

    def test_a_reader_that_waits_lets_the_client_send_more(self) -> None:
        async def run() -> None:
            buffer, _, acknowledged = self.make_buffer()
            buffer.add(b"a", 1)
            reading = asyncio.create_task(buffer.read(2))
            await asyncio.sleep(0)
            self.assertEqual(acknowledged, [1])
            buffer.add(b"b", 1)
            self.assertEqual(await reading, b"ab")

        asyncio.run(run())

    def test_a_message_of_a_forbidden_size_is_not_awaited(self) -> None:
        buffer, _, _ = self.make_buffer()
        with self.assertRaises(ProtocolError):
            asyncio.run(buffer.read(MAX_MESSAGE_BYTES + 1))

    def test_a_message_that_is_cut_short_is_refused(self) -> None:
        buffer, _, _ = self.make_buffer()
        buffer.add(b"a", 1)
        buffer.eof()
        with self.assertRaises(ProtocolError):
            asyncio.run(buffer.read(2))
