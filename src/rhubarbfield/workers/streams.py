"""The stream port, and what every session over a stream does with it."""

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
"""Opens a stream to ``host:port``; None when the other side can't be reached."""


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
        How long opening may take; a host that is gone answers nothing.

    Returns
    -------
    msgspec.Struct or None
        What ``use`` returned; None when the stream was not opened.
    """
    with trio.move_on_after(connect_timeout.total_seconds()) as scope:
        async with connect(address) as stream:
            if stream is not None:
                scope.deadline = math.inf
                return await use(stream)
    return None


class Malformed(msgspec.Struct, frozen=True):
    """The other side sent what can't be decoded.

    Attributes
    ----------
    reason
        A sentence for a person that names the field.
    """

    reason: str


class Silent(msgspec.Struct, frozen=True):
    """Nothing came within the time allowed; the connection isn't trusted."""


class Ended(msgspec.Struct, frozen=True):
    """The stream has ended."""


class TimedStream:
    """A stream that is never waited on without a limit.

    Connections go silent without an error, so each send has a deadline and
    each receive a limit on silence. Several tasks may send; their messages
    don't mix.

    Parameters
    ----------
    stream
        The stream underneath.
    send_timeout
        How long one send may take.
    silence_timeout
        How long the other side may say nothing.
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
        """Send ``message``; False when the stream is not to be used again."""
        with trio.move_on_after(self._send_timeout):
            async with self._lock:
                return await self._stream.send(message)
        return False

    async def receive(self, silence_timeout: timedelta | None = None) -> msgspec.Struct:
        """Return the next message, or one of the three ends of a stream.

        Parameters
        ----------
        silence_timeout
            Taken instead of the stream's own, if given.

        Returns
        -------
        msgspec.Struct
            A message, or :class:`Malformed`, :class:`Silent` or
            :class:`Ended`, after which nothing more is to be received.
        """
        limit = silence_timeout or self._silence_timeout
        with trio.move_on_after(limit.total_seconds()):
            try:
                message = await self._stream.receive()
            except msgspec.MsgspecError as error:
                return Malformed(str(error))
            return Ended() if message is None else message
        return Silent()

    async def close(self) -> None:
        """End the stream, within the deadline for sending and when cancelled."""
        with trio.move_on_after(self._send_timeout) as scope:
            scope.shield = True
            await self._stream.close()


def make_tag(class_name: str) -> str:
    """Return a message's ``type`` on the wire, as ``usage-report``.

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
    """Base of the messages that workers and backend servers exchange with us."""


MessageT = TypeVar("MessageT")


def decode_message(
    data: bytes, decoder: msgspec.json.Decoder[MessageT], limit: int
) -> Result[MessageT, Malformed]:
    """Decode one message from outside.

    Parameters
    ----------
    data
        The message as JSON.
    decoder
        The decoder of the messages that are allowed.
    limit
        The largest message allowed, in bytes.

    Returns
    -------
    Result[MessageT, Malformed]
        The message, or what is wrong with it.
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
    """Return why a stream that ended in ``message`` did; empty if it hasn't.

    Parameters
    ----------
    message
        What :meth:`TimedStream.receive` gave.
    """
    match message:
        case Malformed(reason=reason):
            return reason
        case Silent():
            return "nothing was heard for too long"
        case Ended():
            return "the connection has ended"
    return ""


class ConnectionRefused(Message, frozen=True, kw_only=True):
    """The session is over and the same words would be refused again.

    Attributes
    ----------
    reason
        A sentence for a person.
    """

    reason: str
