"""Streams with timeouts, and the decoding of messages from outside."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import TypeAlias, TypeVar

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.peering.ports import MessageStream

Connect: TypeAlias = Callable[[str], AbstractAsyncContextManager[MessageStream | None]]
"""Opens a stream to ``host:port``; yields None when it can't be reached."""


async def use_stream(
    connect: Connect,
    address: str,
    use: Callable[[MessageStream], Awaitable[msgspec.Struct]],
    *,
    connect_timeout: timedelta,
) -> msgspec.Struct | None:
    """Open a stream, use it and close it.

    Parameters
    ----------
    connect
        Opens the stream.
    address
        ``host:port`` of the other side.
    use
        Called with the stream once it is open.
    connect_timeout
        How long opening may take; a host that is down doesn't answer at all.

    Returns
    -------
    msgspec.Struct or None
        The result of ``use``; None when the stream was not opened.
    """
    with trio.move_on_after(connect_timeout.total_seconds()) as scope:
        async with connect(address) as stream:
            if stream is not None:
                scope.deadline = math.inf
                return await use(stream)
    return None


class Malformed(msgspec.Struct, frozen=True):
    """The peer sent a message that can't be decoded.

    Attributes
    ----------
    reason
        A sentence for people that names the invalid field.
    """

    reason: str


class ReceiveTimeout(msgspec.Struct, frozen=True):
    """No message arrived in time; the connection must not be used again."""


class StreamEnded(msgspec.Struct, frozen=True):
    """The stream has ended."""


class TimedStream:
    """A stream with a timeout on each send and each receive.

    The timeouts detect connections that go silent without an error. Several
    tasks may send concurrently; their messages are not interleaved.

    Parameters
    ----------
    stream
        The underlying stream.
    send_timeout
        How long one send may take.
    silence_timeout
        How long a receive may wait for the next message.
    """

    def __init__(
        self,
        stream: MessageStream,
        *,
        send_timeout: timedelta,
        silence_timeout: timedelta,
    ) -> None:
        self._stream = stream
        self._send_timeout = send_timeout.total_seconds()
        self._silence_timeout = silence_timeout
        self._lock = trio.Lock()

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; return False when the stream must not be used again."""
        with trio.move_on_after(self._send_timeout):
            async with self._lock:
                return await self._stream.send(message)
        return False

    async def receive(self, silence_timeout: timedelta | None = None) -> msgspec.Struct:
        """Return the next message, or the reason why the stream has ended.

        Parameters
        ----------
        silence_timeout
            Replaces the timeout of the stream, if given.

        Returns
        -------
        msgspec.Struct
            A message, or :class:`Malformed`, :class:`ReceiveTimeout` or
            :class:`StreamEnded`, after which the caller must not receive again.
        """
        limit = silence_timeout or self._silence_timeout
        with trio.move_on_after(limit.total_seconds()):
            try:
                message = await self._stream.receive()
            except msgspec.MsgspecError as error:
                return Malformed(str(error))
            return StreamEnded() if message is None else message
        return ReceiveTimeout()

    async def close(self) -> None:
        """Close the stream within the send timeout, even when cancelled."""
        with trio.move_on_after(self._send_timeout) as scope:
            scope.shield = True
            await self._stream.close()


def make_tag(class_name: str) -> str:
    """Return a message's ``type`` on the wire, such as ``usage-report``.

    Parameters
    ----------
    class_name
        The name of the message's class.
    """
    parts = ["-" + char.lower() if char.isupper() else char for char in class_name]
    return "".join(parts).removeprefix("-")


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag=make_tag
):
    """Base of the messages exchanged with workers and backend servers."""


MessageT = TypeVar("MessageT")


def decode_message(
    data: bytes, decoder: msgspec.json.Decoder[MessageT], limit: int
) -> Result[MessageT, Malformed]:
    """Decode one message from an untrusted peer.

    Parameters
    ----------
    data
        The message as JSON.
    decoder
        The decoder of the allowed messages.
    limit
        The largest allowed size of a message, in bytes.

    Returns
    -------
    Result[MessageT, Malformed]
        The message, or the reason why it is invalid.
    """
    if len(data) > limit:
        return Failure(Malformed(f"a message may have {limit} bytes"))
    try:
        return Success(decoder.decode(data))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(str(error)))
    except UnicodeDecodeError:
        return Failure(Malformed("the message is not UTF-8"))


def describe_end(message: msgspec.Struct) -> str:
    """Return why ``message`` ended its stream; empty if it didn't.

    Parameters
    ----------
    message
        The result of :meth:`TimedStream.receive`.
    """
    match message:
        case Malformed(reason=reason):
            return reason
        case ReceiveTimeout():
            return "nothing was heard for too long"
        case StreamEnded():
            return "the connection has ended"
    return ""


class ConnectionRefused(Message, frozen=True, kw_only=True):
    """The session is refused; the same message would be refused again.

    Attributes
    ----------
    reason
        A sentence for people.
    """

    reason: str
