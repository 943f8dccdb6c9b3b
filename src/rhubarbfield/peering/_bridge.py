"""The seam between trio and grpclib's asyncio objects."""

from __future__ import annotations

import asyncio
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

    Parameters
    ----------
    stream
        The grpclib stream, of a client or of a server.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._open = True
        # Two messages must not interleave their frames.
        self._sending = trio.Lock()

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message`` within the send deadline."""
        if not self._open:
            return False
        with trio.move_on_after(SEND_TIMEOUT.total_seconds()):
            async with self._sending:
                return await self._send_now(message)
        # Half of a message may be out: nothing may follow it.
        self._open = False
        return False

    async def _send_now(self, message: msgspec.Struct) -> bool:
        try:
            await aio_as_trio(self._stream.send_message)(message)
        except TRANSPORT_ERRORS:
            self._open = False
            return False
        return True

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message, or None after the end.

        Raises
        ------
        msgspec.MsgspecError
            If the other side sent what is no message.
        """
        try:
            message = await aio_as_trio(self._stream.recv_message)()
        except msgspec.MsgspecError:
            self._open = False
            raise
        except TRANSPORT_ERRORS:
            self._open = False
            return None
        if message is None:
            self._open = False
        return message

    async def close(self) -> None:
        """Reset the stream."""
        self._open = False
        try:
            await aio_as_trio(self._stream.cancel)()
        except TRANSPORT_ERRORS:
            return
