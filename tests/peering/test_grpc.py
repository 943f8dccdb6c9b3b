"""Tests of streams, calls and links over real loopback connections."""

from __future__ import annotations

import contextlib
import gc
import socket
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import msgspec
import trio
import trio_asyncio
from returns.result import Failure, Success

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.peering import (
    CallFailureKind,
    CallMethod,
    Credentials,
    Encoding,
    GrpcTransport,
    MessageStream,
    PeerLinks,
    StreamMethod,
    connect,
    make_call_stream,
    open_bridge,
    open_streamed_calls,
    serve_link,
)
from rhubarbfield.peering.links import make_link_method
from rhubarbfield.types import InstanceName

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 10
TRANSPORT = GrpcTransport(Credentials("a secret"))
TRANSPORT_WITH_WRONG_SECRET = GrpcTransport(Credentials("another secret"))


class Question(msgspec.Struct, frozen=True, tag=True):
    number: int


class Reply(msgspec.Struct, frozen=True, tag=True):
    number: int


CALL = CallMethod("/test.Test/Call", Question, Reply)
STREAM = StreamMethod("/test.Test/Stream", Question, Reply)
LINK = make_link_method("/test.Test/Link", Question)


async def answer(question: Question) -> Reply:
    return Reply(question.number + 1)


async def answer_all(stream: MessageStream) -> None:
    while (question := await stream.receive()) is not None:
        assert isinstance(question, Question)
        await stream.send(Reply(question.number + 1))


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def run_with_loop(body: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio_asyncio.open_loop():
                await body()

    trio.run(run)


class CallTest(unittest.TestCase):
    def test_calls_work_in_both_encodings(self) -> None:
        for encoding in Encoding:
            with self.subTest(encoding=encoding):
                run_with_loop(lambda encoding=encoding: self.call_once(encoding))

    async def call_once(self, encoding: Encoding) -> None:
        port = find_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_with_calls, port, encoding)
            async with connect(TRANSPORT, HOST, port, encoding=encoding) as connection:
                reply = await connection.call(CALL, Question(1))
            self.assertEqual(reply, Success(Reply(2)))
            nursery.cancel_scope.cancel()

    def test_a_wrong_secret_is_refused(self) -> None:
        run_with_loop(self.call_with_a_wrong_secret)

    async def call_with_a_wrong_secret(self) -> None:
        port = find_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_with_calls, port, Encoding.MSGPACK)
            async with connect(TRANSPORT_WITH_WRONG_SECRET, HOST, port) as connection:
                reply = await connection.call(CALL, Question(1))
            self.assertIsInstance(reply, Failure)
            self.assertEqual(reply.failure().kind, CallFailureKind.REFUSED)
            nursery.cancel_scope.cancel()

    def test_a_request_that_cannot_be_encoded_is_not_sent(self) -> None:
        run_with_loop(self.call_with_what_cannot_be_encoded)

    async def call_with_what_cannot_be_encoded(self) -> None:
        async with trio.open_nursery() as nursery:
            port = find_port()
            await nursery.start(serve_with_calls, port, Encoding.MSGPACK)
            async with connect(TRANSPORT, HOST, port) as connection:
                refused = await connection.call(CALL, Question(2**64))
                self.assertIs(refused.failure().kind, CallFailureKind.UNSENDABLE)
                self.assertIsInstance(await connection.call(CALL, Question(1)), Success)
            nursery.cancel_scope.cancel()

    def test_a_closed_port_is_unreachable(self) -> None:
        run_with_loop(self.call_a_closed_port)

    async def call_a_closed_port(self) -> None:
        async with connect(TRANSPORT, HOST, find_port()) as connection:
            reply = await connection.call(CALL, Question(1))
        self.assertEqual(reply.failure().kind, CallFailureKind.UNREACHABLE)

    def test_a_call_that_never_connects_has_certainly_not_arrived(self) -> None:
        run_with_loop(self.call_a_host_that_does_not_connect)

    async def call_a_host_that_does_not_connect(self) -> None:
        with contextlib.ExitStack() as stack:
            port = fill_listener(stack)
            async with connect(TRANSPORT, HOST, port) as connection:
                reply = await connection.call(
                    CALL, Question(1), timedelta(milliseconds=200)
                )
        self.assertEqual(reply.failure().kind, CallFailureKind.UNREACHABLE)

    def test_a_call_gives_up_connecting_before_its_timeout(self) -> None:
        run_with_loop(self.call_with_a_connect_timeout)

    async def call_with_a_connect_timeout(self) -> None:
        stream = make_call_stream(CALL, "/test.Service/Calls")
        with contextlib.ExitStack() as stack:
            port = fill_listener(stack)
            async with open_streamed_calls(TRANSPORT, CALL, stream) as streamed:
                for transport in (TRANSPORT, streamed):
                    async with connect(transport, HOST, port) as connection:
                        with trio.fail_after(0.9):  # less than CONNECT_TIMEOUT
                            reply = await connection.call(
                                CALL,
                                Question(1),
                                timedelta(seconds=3),
                                timedelta(milliseconds=100),
                            )
                    kind = reply.failure().kind
                    self.assertEqual(kind, CallFailureKind.UNREACHABLE)

    def test_a_silent_server_times_out(self) -> None:
        run_with_loop(self.call_a_silent_server)

    async def call_a_silent_server(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        async with connect(TRANSPORT, HOST, port) as connection:
            reply = await connection.call(
                CALL, Question(1), timedelta(milliseconds=100)
            )
        self.assertEqual(reply.failure().kind, CallFailureKind.TIMEOUT)
        await listeners[0].aclose()


class BrokenHandlerTest(unittest.TestCase):
    """Handlers that raise."""

    def test_invariant_broken_on_a_stream_ends_the_server(self) -> None:
        """The process went on: the error was inside the group of a nursery."""
        with self.assertRaises(BaseExceptionGroup) as caught:
            run_with_loop(self.break_an_invariant)
        self.assertIsNotNone(caught.exception.subgroup(BrokenInvariantError))

    def test_call_whose_handler_raises_may_have_taken_effect(self) -> None:
        """REFUSED: an unreadable value in the handler was told as a refusal."""
        run_with_loop(self.call_a_handler_that_reads_an_invalid_value)

    async def call_a_handler_that_reads_an_invalid_value(self) -> None:
        async def handle(question: Question) -> Reply:
            return msgspec.json.decode(b"{}", type=Reply)

        port = find_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(TRANSPORT.serve, HOST, port, calls={CALL: handle})
            )
            async with connect(TRANSPORT, HOST, port) as connection:
                with self.assertLogs("rhubarbfield.peering", "ERROR"):
                    reply = await connection.call(CALL, Question(1))
            self.assertIs(reply.failure().kind, CallFailureKind.TIMEOUT)
            nursery.cancel_scope.cancel()

    async def break_an_invariant(self) -> None:
        async def handle(stream: MessageStream) -> None:
            await stream.receive()
            raise BrokenInvariantError("short-name", 1)

        port = find_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(TRANSPORT.serve, HOST, port, streams={STREAM: handle})
            )
            async with (
                connect(TRANSPORT, HOST, port) as connection,
                connection.open(STREAM) as stream,
            ):
                assert stream is not None
                await stream.send(Question(1))
                self.assertIsNone(await stream.receive())
            await trio.sleep(1)
            nursery.cancel_scope.cancel()


def fill_listener(stack: contextlib.ExitStack) -> int:
    """Return the port of a listener that accepts no further connection."""
    server = stack.enter_context(socket.socket())
    server.bind((HOST, 0))
    server.listen(0)
    port: int = server.getsockname()[1]
    # Later connections wait, once these fill the queue of the listener.
    for _ in range(4):
        waiting = stack.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex((HOST, port))
    return port


async def serve_with_calls(
    port: int,
    encoding: Encoding,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await TRANSPORT.serve(
        HOST,
        port,
        encoding=encoding,
        calls={CALL: answer},
        streams={STREAM: answer_all},
        task_status=task_status,
    )


class StreamTest(unittest.TestCase):
    def test_messages_go_both_ways(self) -> None:
        run_with_loop(self.exchange)

    async def exchange(self) -> None:
        port = find_port()
        async with (
            trio.open_nursery() as nursery,
            connect(TRANSPORT, HOST, port) as connection,
        ):
            await nursery.start(serve_with_calls, port, Encoding.MSGPACK)
            async with connection.open(STREAM) as stream:
                assert stream is not None
                for number in range(3):
                    self.assertTrue(await stream.send(Question(number)))
                    self.assertEqual(await stream.receive(), Reply(number + 1))
            nursery.cancel_scope.cancel()


class LinkTest(unittest.TestCase):
    def test_messages_arrive_in_order_with_their_sender(self) -> None:
        run_with_loop(self.send_over_a_link)

    async def send_over_a_link(self) -> None:
        port = find_port()
        sender, receiver = InstanceName("a1"), InstanceName("a2")
        received: list[tuple[InstanceName, Question]] = []

        async def handle(stream: MessageStream) -> None:
            await serve_link(
                stream, lambda name, payload: received.append((name, payload))
            )

        links = PeerLinks(sender, {receiver: (HOST, port)}, LINK, TRANSPORT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.run)
            for number in range(5):
                links.send(receiver, Question(number))
            await nursery.start(serve_linked, port, handle)
            while len(received) < 5:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        self.assertEqual(received, [(sender, Question(n)) for n in range(5)])

    def test_a_message_that_cannot_be_encoded_is_dropped(self) -> None:
        run_with_loop(self.send_what_cannot_be_encoded)

    async def send_what_cannot_be_encoded(self) -> None:
        sender, receiver = InstanceName("a"), InstanceName("b")
        received: list[Question] = []

        async def handle(stream: MessageStream) -> None:
            await serve_link(stream, lambda _, message: received.append(message))

        port = find_port()
        links = PeerLinks(sender, {receiver: (HOST, port)}, LINK, TRANSPORT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.run)
            await nursery.start(serve_linked, port, handle)
            with self.assertLogs("rhubarbfield.peering", "ERROR"):
                links.send(receiver, Question(2**64))
                await trio.sleep(0.5)
            links.send(receiver, Question(1))
            while not received:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        self.assertEqual(received, [Question(1)])


async def serve_linked(
    port: int,
    handle: Callable[[MessageStream], Awaitable[None]],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await TRANSPORT.serve(HOST, port, streams={LINK: handle}, task_status=task_status)


class BridgeTest(unittest.TestCase):
    def test_an_unclosed_connection_only_logs_an_error(self) -> None:
        async def answer_odd(question: Question) -> Reply:
            if question.number % 2 == 0:
                await trio.sleep_forever()
            return await answer(question)

        async def leave_open() -> None:
            port = find_port()
            async with open_bridge(), trio.open_nursery() as nursery:
                await nursery.start(
                    partial(TRANSPORT.serve, HOST, port, calls={CALL: answer_odd})
                )
                connection = TRANSPORT.open_connection(HOST, find_port())
                connection = TRANSPORT.open_connection(HOST, port)
                reply = await connection.call(CALL, Question(1))
                self.assertEqual(reply, Success(Reply(2)))
                lost = await connection.call(
                    CALL, Question(2), timedelta(milliseconds=100)
                )
                self.assertIsInstance(lost, Failure)
                del connection
                gc.collect()
                await trio.sleep(0.1)
                async with connect(TRANSPORT, HOST, port) as another:
                    reply = await another.call(CALL, Question(1))
                self.assertEqual(reply, Success(Reply(2)))
                nursery.cancel_scope.cancel()

        with self.assertLogs("rhubarbfield.peering.bridge", "ERROR"):
            trio.run(leave_open)
