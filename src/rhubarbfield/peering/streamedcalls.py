"""Calls that share one stream for each connection.

A call over a stream that is open costs both processes a third of the processor
time of a gRPC call of its own, which opens a stream and sends headers both ways.
"""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta
from typing import Any, Generic, TypeVar

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.peering.ports import (
    CALL_TIMEOUT,
    CONNECT_TIMEOUT,
    CallFailure,
    CallFailureKind,
    CallHandler,
    CallMethod,
    Connection,
    Encoding,
    MessageStream,
    StreamHandler,
    StreamMethod,
    Transport,
    UnsendableMessageError,
)

logger = logging.getLogger(__name__)

ContentT = TypeVar("ContentT")


class Numbered(msgspec.Struct, Generic[ContentT], frozen=True, array_like=True):
    """A request, or the reply to the request with this number.

    Attributes
    ----------
    number
        Number of the request on its stream.
    content
        The request or the reply.
    """

    number: int
    content: ContentT


def make_call_stream(call: CallMethod, path: str) -> StreamMethod:
    """Return the definition of the stream that carries a call.

    Parameters
    ----------
    call
        The call.
    path
        gRPC path of the stream.
    """
    request = Numbered[call.request]  # type: ignore[name-defined]
    return StreamMethod(path, request, Numbered[call.reply])  # type: ignore[name-defined]


def serve_calls(answer: CallHandler) -> StreamHandler:
    """Return a handler that answers the requests on a stream concurrently.

    Parameters
    ----------
    answer
        Answers one request. If it raises, the request gets no reply; only a broken
        invariant ends the stream, and the process.
    """

    async def serve(stream: MessageStream) -> None:
        broken: list[BrokenInvariantError] = []

        async def answer_one(request: Numbered[Any], scope: trio.CancelScope) -> None:
            try:
                reply = await answer(request.content)
                await stream.send(Numbered(request.number, reply))
            except BrokenInvariantError as error:
                broken.append(error)
                scope.cancel()
            except Exception:
                logger.exception("request-failed")

        async with trio.open_nursery() as nursery:
            await _for_each(
                stream,
                lambda request: nursery.start_soon(
                    answer_one, request, nursery.cancel_scope
                ),
            )
            nursery.cancel_scope.cancel()
        if broken:
            raise broken[0]

    return serve


@asynccontextmanager
async def open_streamed_calls(
    transport: Transport, call: CallMethod, stream: StreamMethod
) -> AsyncIterator[Transport]:
    """Yield a transport whose connections carry ``call`` on one stream each.

    Other calls, and calls to servers without the stream, are carried as before.

    Parameters
    ----------
    transport
        Carries the streams.
    call, stream
        The call, and the stream made of it by :func:`make_call_stream`.
    """
    async with trio.open_nursery() as nursery:
        yield _StreamedTransport(transport, call, stream, nursery)
        nursery.cancel_scope.cancel()


class _StreamedTransport:
    """See :func:`open_streamed_calls`."""

    def __init__(
        self,
        transport: Transport,
        call: CallMethod,
        stream: StreamMethod,
        nursery: trio.Nursery,
    ) -> None:
        self._transport = transport
        self._call = call
        self._stream = stream
        self._nursery = nursery
        self.serve = transport.serve

    def open_connection(
        self, host: str, port: int, *, encoding: Encoding = Encoding.MSGPACK
    ) -> Connection:
        """Return a connection; the caller closes it."""
        connection = self._transport.open_connection(host, port, encoding=encoding)
        return _StreamedConnection(connection, self._call, self._stream, self._nursery)


class _PendingCall:
    """A request that was sent, until its reply arrives or the stream ends."""

    def __init__(self) -> None:
        self.settled = trio.Event()
        self.result: Result[Any, CallFailure] = Failure(
            CallFailure(CallFailureKind.TIMEOUT, "no reply in time")
        )

    def settle(self, result: Result[Any, CallFailure]) -> None:
        self.result = result
        self.settled.set()


class _StreamedConnection:
    """A connection that carries one kind of call on one stream, opened on first use."""

    def __init__(
        self,
        connection: Connection,
        call: CallMethod,
        stream: StreamMethod,
        nursery: trio.Nursery,
    ) -> None:
        self._connection = connection
        self._call = call
        self._stream_method = stream
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._stream: MessageStream | None = None
        self._is_running = False
        self._attempted = trio.Event()
        self._has_ended = False
        self._pending: dict[int, _PendingCall] = {}
        self._last_number = 0

    async def call(
        self,
        method: CallMethod,
        request: Any,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``."""
        if method != self._call or self._is_unsupported:
            return await self._connection.call(
                method, request, timeout, connect_timeout
            )
        began = trio.current_time()
        deadline = began + timeout.total_seconds()
        if not self._is_running:
            self._is_running = True
            self._nursery.start_soon(self._run)
        with trio.move_on_at(min(deadline, began + connect_timeout.total_seconds())):
            await self._attempted.wait()
        if self._stream is None:
            return Failure(
                CallFailure(CallFailureKind.UNREACHABLE, "the stream is not open")
            )
        result = await self._send(self._stream, request, deadline)
        remaining = timedelta(seconds=deadline - trio.current_time())
        if (
            isinstance(result, Failure)
            and self._is_unsupported
            and remaining > timedelta()
        ):
            return await self._connection.call(method, request, remaining)
        return result

    @property
    def _is_unsupported(self) -> bool:
        """Whether the server is of an earlier version, which serves no such stream."""
        return self._has_ended and (
            self._stream is not None and self._stream.is_unsupported
        )

    def open(
        self, method: StreamMethod
    ) -> AbstractAsyncContextManager[MessageStream | None]:
        """Open another stream."""
        return self._connection.open(method)

    def close(self) -> None:
        """Close the connection; calls in progress fail."""
        self._scope.cancel()
        self._connection.close()

    async def _send(
        self, stream: MessageStream, request: Any, deadline: float
    ) -> Result[Any, CallFailure]:
        if self._has_ended:
            return Failure(_STREAM_ENDED)
        self._last_number += 1
        number = self._last_number
        pending = self._pending[number] = _PendingCall()
        try:
            with trio.move_on_at(deadline):
                await stream.send(Numbered(number, request))
                await pending.settled.wait()
        except UnsendableMessageError as error:
            return Failure(CallFailure(CallFailureKind.UNSENDABLE, error.message))
        finally:
            self._pending.pop(number, None)
        return pending.result

    async def _run(self) -> None:
        """Open the stream, and receive replies until it ends."""
        try:
            with self._scope:
                async with self._connection.open(self._stream_method) as stream:
                    self._stream = stream
                    self._attempted.set()
                    if stream is not None:
                        await _for_each(stream, self._handle_reply)
        finally:
            self._has_ended = True
            self._attempted.set()
            for pending in self._pending.values():
                pending.settle(Failure(_STREAM_ENDED))

    def _handle_reply(self, reply: Numbered[Any]) -> None:
        pending = self._pending.pop(reply.number, None)
        if pending is not None:
            pending.settle(Success(reply.content))


# A request on a stream that ended may have arrived.
_STREAM_ENDED = CallFailure(CallFailureKind.TIMEOUT, "the stream has ended")


async def _for_each(
    stream: MessageStream, handle: Callable[[Numbered[Any]], None]
) -> None:
    """Pass each message of a stream to ``handle`` until it ends or is unreadable."""
    try:
        while (message := await stream.receive()) is not None:
            assert isinstance(message, Numbered)
            handle(message)
    except msgspec.MsgspecError as error:
        logger.warning("call-unreadable error=%s", error)
