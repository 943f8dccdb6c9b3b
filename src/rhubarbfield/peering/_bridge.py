"""The seam between trio and grpclib's asyncio objects."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from trio_asyncio import aio_as_trio

from rhubarbfield.peering.metrics import count_received, count_sent
from rhubarbfield.peering.ports import Encoding

SEND_TIMEOUT = timedelta(seconds=2)
CLOSE_TIMEOUT = timedelta(milliseconds=200)
FULL_INBOX_PAUSE = timedelta(milliseconds=10)
OUTBOX_MESSAGES = 16
INBOX_MESSAGES = 64
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

TRANSPORT_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    msgspec.MsgspecError,
    asyncio.IncompleteReadError,
)


class MessageCodec(CodecBase):
    """A grpclib codec that writes msgspec structs; see :func:`make_codec`."""

    __content_subtype__ = ""
    _module: Any

    def __init__(self) -> None:
        self._decoders: dict[Any, Any] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` as bytes."""
        data = bytes(self._module.encode(message))
        count_sent(len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of ``message_type`` that ``data`` holds."""
        count_received(len(data))
        if len(data) > MAX_MESSAGE_BYTES:
            raise msgspec.ValidationError(f"a message has {len(data)} bytes")
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = self._module.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)


class _MsgpackCodec(MessageCodec):
    __content_subtype__ = Encoding.MSGPACK.value
    _module = msgspec.msgpack


class _JsonCodec(MessageCodec):
    __content_subtype__ = Encoding.JSON.value
    _module = msgspec.json


def make_codec(encoding: Encoding) -> MessageCodec:
    """Return a codec that writes in ``encoding``."""
    return _JsonCodec() if encoding is Encoding.JSON else _MsgpackCodec()


class GrpcStream:
    """A :class:`~rhubarbfield.peering.ports.MessageStream` over grpclib.

    One asyncio task each way moves messages for the whole life of the
    stream; a task for each message would cost more than the message.

    Parameters
    ----------
    stream
        The grpclib stream, of a client or of a server.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._open = True
        self._outbox: deque[msgspec.Struct] = deque()
        self._filled = asyncio.Event()
        self._drained = trio.Event()
        self._deliver, self._inbox = trio.open_memory_channel[Any](math.inf)

    @asynccontextmanager
    async def pump(self) -> AsyncIterator[None]:
        """Move messages both ways while the block runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(aio_as_trio(self._pump_out))
            nursery.start_soon(aio_as_trio(self._pump_in))
            yield
            nursery.cancel_scope.cancel()

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; False when the stream is gone or too slow."""
        if not self._open:
            return False
        self._outbox.append(message)
        self._filled.set()
        if len(self._outbox) <= OUTBOX_MESSAGES:
            await trio.lowlevel.checkpoint()
            return self._open
        with trio.move_on_after(SEND_TIMEOUT.total_seconds()):
            while self._open and len(self._outbox) > OUTBOX_MESSAGES:
                self._drained = trio.Event()
                await self._drained.wait()
            return self._open
        self._end()
        return False

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message, or None after the end.

        Raises
        ------
        msgspec.MsgspecError
            If the other side sent what is no message.
        """
        try:
            message = await self._inbox.receive()
        except trio.EndOfChannel:
            return None
        if isinstance(message, msgspec.MsgspecError):
            raise message
        return message

    async def close(self) -> None:
        """Send what is under way and use the stream no more.

        grpclib ends it for the other side once its handler returns, on a
        server, or its block is left, on a client.
        """
        with trio.move_on_after(CLOSE_TIMEOUT.total_seconds()):
            while self._open and self._outbox:
                self._drained = trio.Event()
                await self._drained.wait()
        self._end()

    async def _pump_out(self) -> None:
        """Send what is in the outbox; runs on the asyncio side."""
        try:
            while self._open:
                await self._filled.wait()
                while self._outbox:
                    await self._stream.send_message(self._outbox[0])
                    self._outbox.popleft()
                self._filled.clear()
                self._drained.set()
        except TRANSPORT_ERRORS:
            self._end()

    async def _pump_in(self) -> None:
        """Hand over what comes; runs on the asyncio side."""
        try:
            while (message := await self._stream.recv_message()) is not None:
                self._deliver.send_nowait(message)
                while self._inbox.statistics().current_buffer_used > INBOX_MESSAGES:
                    await asyncio.sleep(FULL_INBOX_PAUSE.total_seconds())
        except msgspec.MsgspecError as error:
            # The other side may still be told what was wrong.
            self._deliver.send_nowait(error)
            self._deliver.close()
            return
        except TRANSPORT_ERRORS:
            pass
        self._end()

    def _end(self) -> None:
        self._open = False
        self._deliver.close()
        self._drained.set()
        self._filled.set()
