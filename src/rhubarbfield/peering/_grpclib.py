"""Codecs for grpclib, and its asyncio streams as trio streams."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from trio_asyncio import aio_as_trio

from rhubarbfield.containment import Unit, contain
from rhubarbfield.peering.metrics import count_received, count_sent
from rhubarbfield.peering.ports import Encoding, UnsendableMessageError

SEND_TIMEOUT = timedelta(seconds=2)
CLOSE_TIMEOUT = timedelta(milliseconds=200)
FULL_INBOX_POLL_INTERVAL = timedelta(milliseconds=10)
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


@contextmanager
def contain_faults() -> Iterator[None]:
    """Ignore the loss of a connection in the block, and contain any other error.

    grpclib raises errors of many types for what the other side sends, or when a
    connection ends while it is being opened.
    """
    try:
        yield
    except TRANSPORT_ERRORS:
        pass
    except Exception as error:
        contain(Unit.CONNECTION, error)


class EncodedMessage(msgspec.Struct, frozen=True):
    """A message that a stream has encoded already."""

    data: bytes


class MessageCodec(CodecBase):
    """Base of grpclib codecs for msgspec structs; see :func:`make_codec`."""

    __content_subtype__ = ""
    _module: Any

    def __init__(self) -> None:
        self._decoders: dict[Any, Any] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded ``message``.

        Raises
        ------
        UnsendableMessageError
            If it holds something that the encoding can't represent.
        """
        if isinstance(message, EncodedMessage):
            return message.data
        try:
            data = bytes(self._module.encode(message))
        except (ValueError, TypeError, OverflowError, RecursionError) as error:
            name = type(message).__name__
            raise UnsendableMessageError(f"{name} can't be encoded: {error}") from error
        count_sent(len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of ``message_type`` that is encoded in ``data``."""
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
    """Return a codec for ``encoding``."""
    return _JsonCodec() if encoding is Encoding.JSON else _MsgpackCodec()


class GrpcStream:
    """A :class:`~rhubarbfield.peering.ports.MessageStream` over grpclib.

    One asyncio task per direction transfers messages until the stream ends; a
    task for each message would cost more than the message itself.

    Parameters
    ----------
    stream
        grpclib stream of a client or of a server.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._codec: MessageCodec = stream._codec
        self._open = True
        self._outbox: deque[EncodedMessage] = deque()
        self._outbox_filled = asyncio.Event()
        self._outbox_drained = trio.Event()
        self._inbox_sender, self._inbox = trio.open_memory_channel[Any](math.inf)

    @property
    def is_unsupported(self) -> bool:
        """See :class:`~rhubarbfield.peering.ports.MessageStream`."""
        # grpclib raises no status for a stream that is reset right after its headers.
        http_stream = getattr(self._stream, "_stream", None)
        headers = dict(getattr(http_stream, "headers", None) or ())
        return headers.get("grpc-status") == str(Status.UNIMPLEMENTED.value)

    @asynccontextmanager
    async def pump(self) -> AsyncIterator[None]:
        """Transfer messages in both directions while the block runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(aio_as_trio(self._pump_out))
            nursery.start_soon(aio_as_trio(self._pump_in))
            yield
            nursery.cancel_scope.cancel()

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; return False if the stream has ended or is too slow.

        Raises
        ------
        UnsendableMessageError
            If the message can't be encoded; the stream stays usable.
        """
        if not self._open:
            return False
        self._outbox.append(EncodedMessage(self._codec.encode(message, None)))
        self._outbox_filled.set()
        if len(self._outbox) <= OUTBOX_MESSAGES:
            await trio.lowlevel.checkpoint()
            return self._open
        with trio.move_on_after(SEND_TIMEOUT.total_seconds()):
            while self._open and len(self._outbox) > OUTBOX_MESSAGES:
                self._outbox_drained = trio.Event()
                await self._outbox_drained.wait()
            return self._open
        self._end()
        return False

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message, or None after the end of the stream.

        Raises
        ------
        msgspec.MsgspecError
            If the other side sent something that can't be decoded.
        """
        try:
            message = await self._inbox.receive()
        except trio.EndOfChannel:
            return None
        if isinstance(message, msgspec.MsgspecError):
            raise message
        return message

    async def close(self) -> None:
        """Send the messages in the outbox and stop using the stream.

        grpclib ends the stream for the other side when the handler returns (on
        a server) or the block is left (on a client).
        """
        with trio.move_on_after(CLOSE_TIMEOUT.total_seconds()):
            while self._open and self._outbox:
                self._outbox_drained = trio.Event()
                await self._outbox_drained.wait()
        self._end()

    async def _pump_out(self) -> None:
        """Send the messages in the outbox; runs on the asyncio loop."""
        with contain_faults():
            while self._open:
                await self._outbox_filled.wait()
                while self._outbox:
                    await self._stream.send_message(self._outbox[0])
                    self._outbox.popleft()
                self._outbox_filled.clear()
                self._outbox_drained.set()
        self._end()

    async def _pump_in(self) -> None:
        """Put received messages into the inbox; runs on the asyncio loop."""
        with contain_faults():
            try:
                await self._receive_all()
            except msgspec.MsgspecError as error:
                # Sending stays possible, to report the error to the other side.
                self._inbox_sender.send_nowait(error)
                self._inbox_sender.close()
                return
        self._end()

    async def _receive_all(self) -> None:
        while (message := await self._stream.recv_message()) is not None:
            self._inbox_sender.send_nowait(message)
            while self._inbox.statistics().current_buffer_used > INBOX_MESSAGES:
                await asyncio.sleep(FULL_INBOX_POLL_INTERVAL.total_seconds())

    def _end(self) -> None:
        self._open = False
        self._inbox_sender.close()
        self._outbox_drained.set()
        self._outbox_filled.set()
