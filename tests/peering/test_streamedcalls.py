"""Tests of calls that share a stream, over real loopback connections."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio
import trio_asyncio
from returns.result import Failure, Success

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.peering import (
    CallFailureKind,
    Connection,
    MessageStream,
    StreamMethod,
    connect,
    make_call_stream,
    open_streamed_calls,
    serve_calls,
)
from rhubarbfield.peering.ports import CallHandler, StreamHandler
from rhubarbfield.peering.streamedcalls import Numbered
from tests.peering.test_grpc import (
    CALL,
    HOST,
    TEST_TIMEOUT_SECONDS,
    TRANSPORT,
    Question,
    Reply,
    find_port,
)

STREAM = make_call_stream(CALL, "/test.Test/Calls")
SLOW, FAILING, UNSENDABLE = Question(100), Question(200), Question(2**64)


class Answerer:
    """Answers questions, slow ones once released, and counts them."""

    def __init__(self) -> None:
        self.questions: list[int] = []
        self.release = trio.Event()

    async def answer(self, question: Question) -> Reply:
        self.questions.append(question.number)
        if question == SLOW:
            await self.release.wait()
        if question == FAILING:
            raise RuntimeError("told to fail")
        return Reply(question.number + 1)


class CountingTransport:
    """Counts the streams and the calls of the connections it opens."""

    def __init__(self) -> None:
        self.streams = 0
        self.calls = 0
        self.serve = TRANSPORT.serve

    def open_connection(self, host: str, port: int, **options: Any) -> Any:
        connection: Any = TRANSPORT.open_connection(host, port, **options)
        transport = self
        call, open_stream = connection.call, connection.open

        class Counted:
            close = staticmethod(connection.close)

            @staticmethod
            async def call(*arguments: Any) -> Any:
                transport.calls += 1
                return await call(*arguments)

            @staticmethod
            def open(method: StreamMethod) -> Any:
                transport.streams += 1
                return open_stream(method)

        return Counted()


class StreamedCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answerer = Answerer()
        self.transport = CountingTransport()

    def run_calls(
        self,
        body: Callable[[Connection], Awaitable[None]],
        *,
        handle_stream: StreamHandler | None = None,
        has_stream: bool = True,
        answer: CallHandler | None = None,
    ) -> None:
        """Run ``body`` with a connection to a server."""
        handler = answer or self.answerer.answer
        streams = {STREAM: handle_stream or serve_calls(handler)} if has_stream else {}

        async def serve(port: int, task_status: trio.TaskStatus[None]) -> None:
            await TRANSPORT.serve(
                HOST,
                port,
                streams=streams,
                calls={CALL: handler},
                task_status=task_status,
            )

        async def run() -> None:
            port = find_port()
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
                    await nursery.start(serve, port)
                    async with (
                        open_streamed_calls(self.transport, CALL, STREAM) as streamed,
                        connect(streamed, HOST, port) as connection,
                    ):
                        await body(connection)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_calls_share_one_stream(self) -> None:
        async def body(connection: Connection) -> None:
            for number in range(20):
                reply = await connection.call(CALL, Question(number))
                self.assertEqual(reply, Success(Reply(number + 1)))

        self.run_calls(body)
        self.assertEqual((self.transport.streams, self.transport.calls), (1, 0))

    def test_a_slow_call_does_not_hold_up_another(self) -> None:
        async def body(connection: Connection) -> None:
            replies = []

            async def call_slowly() -> None:
                replies.append(await connection.call(CALL, SLOW))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_slowly)
                await trio.sleep(0.05)
                self.assertEqual(
                    await connection.call(CALL, Question(1)), Success(Reply(2))
                )
                self.answerer.release.set()
            self.assertEqual(replies, [Success(Reply(101))])

        self.run_calls(body)

    def test_a_call_without_a_reply_is_in_doubt(self) -> None:
        async def body(connection: Connection) -> None:
            reply = await connection.call(CALL, SLOW, timedelta(milliseconds=100))
            self.assertEqual(reply.failure().kind, CallFailureKind.TIMEOUT)
            self.assertEqual(
                await connection.call(CALL, Question(1)), Success(Reply(2))
            )

        self.run_calls(body)

    def test_a_lost_stream_leaves_its_calls_in_doubt_at_once(self) -> None:
        async def answer_two(stream: MessageStream) -> None:
            for _ in range(2):
                question: Any = await stream.receive()
                if question.content != SLOW:
                    reply = Reply(question.content.number + 1)
                    await stream.send(Numbered(question.number, reply))

        async def body(connection: Connection) -> None:
            self.assertIsInstance(await connection.call(CALL, Question(1)), Success)
            with trio.fail_after(2):
                reply = await connection.call(CALL, SLOW, timedelta(seconds=5))
            self.assertEqual(reply.failure().kind, CallFailureKind.TIMEOUT)
            later = await connection.call(CALL, Question(2))
            self.assertEqual(later.failure().kind, CallFailureKind.TIMEOUT)

        self.run_calls(body, handle_stream=answer_two)
        self.assertEqual(self.transport.calls, 0)

    def test_request_on_a_stream_lost_before_any_reply_is_in_doubt(self) -> None:
        """REFUSED: it was sent again as a call, whose refusal ended the first, too."""
        taken: list[Question] = []

        async def take_one(stream: MessageStream) -> None:
            request: Any = await stream.receive()
            taken.append(request.content)

        async def body(connection: Connection) -> None:
            reply = await connection.call(CALL, Question(1))
            self.assertEqual(taken, [Question(1)])
            self.assertIsInstance(reply, Failure)
            self.assertIs(reply.failure().kind, CallFailureKind.TIMEOUT)

        self.run_calls(body, handle_stream=take_one)
        self.assertEqual(self.answerer.questions, [])

    def test_a_server_without_the_stream_is_called_as_before(self) -> None:
        async def body(connection: Connection) -> None:
            for number in range(3):
                reply = await connection.call(CALL, Question(number))
                self.assertEqual(reply, Success(Reply(number + 1)))

        self.run_calls(body, has_stream=False)
        self.assertEqual((self.transport.streams, self.transport.calls), (1, 3))

    def test_an_unreachable_server_has_certainly_got_nothing(self) -> None:
        async def body(connection: Connection) -> None:
            async with (
                open_streamed_calls(TRANSPORT, CALL, STREAM) as streamed,
                connect(streamed, HOST, find_port()) as closed,
            ):
                reply = await closed.call(CALL, Question(1))
            self.assertEqual(reply.failure().kind, CallFailureKind.UNREACHABLE)

        self.run_calls(body)

    def test_a_failing_handler_costs_one_reply(self) -> None:
        async def body(connection: Connection) -> None:
            with self.assertLogs("rhubarbfield.peering", "ERROR"):
                reply = await connection.call(
                    CALL, FAILING, timedelta(milliseconds=100)
                )
            self.assertEqual(reply.failure().kind, CallFailureKind.TIMEOUT)
            self.assertIsInstance(await connection.call(CALL, Question(1)), Success)

        self.run_calls(body)

    def test_a_request_that_cannot_be_encoded_ends_neither_stream_nor_process(
        self,
    ) -> None:
        """The task that sends for all requests raised, which ended the process."""

        async def body(connection: Connection) -> None:
            replies = []

            async def call_slowly() -> None:
                replies.append(await connection.call(CALL, SLOW))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_slowly)
                await trio.sleep(0.05)
                refused = await connection.call(CALL, UNSENDABLE)
                self.assertIs(refused.failure().kind, CallFailureKind.UNSENDABLE)
                self.assertIn("can't be encoded", refused.failure().detail)
                self.assertIsInstance(await connection.call(CALL, Question(1)), Success)
                self.answerer.release.set()
            self.assertEqual(replies, [Success(Reply(101))])

        self.run_calls(body)
        self.assertEqual((self.transport.streams, self.transport.calls), (1, 0))

    def test_a_reply_that_cannot_be_encoded_costs_one_reply(self) -> None:
        async def answer(question: Question) -> Reply:
            return Reply(question.number * 2**62)

        async def body(connection: Connection) -> None:
            with self.assertLogs("rhubarbfield.peering", "ERROR"):
                reply = await connection.call(
                    CALL, Question(8), timedelta(milliseconds=100)
                )
            self.assertIs(reply.failure().kind, CallFailureKind.TIMEOUT)
            self.assertIsInstance(await connection.call(CALL, Question(0)), Success)

        self.run_calls(body, answer=answer)
        self.assertEqual(self.transport.streams, 1)

    def test_a_broken_invariant_ends_the_server(self) -> None:
        async def answer(question: Question) -> Reply:
            raise BrokenInvariantError("short-name", question.number)

        async def body(connection: Connection) -> None:
            await connection.call(CALL, Question(1))
            await trio.sleep(1)

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_calls(body, answer=answer)
        self.assertIsNotNone(caught.exception.subgroup(BrokenInvariantError))


if __name__ == "__main__":
    unittest.main()
