"""Interface to the transport between processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from enum import StrEnum
from typing import Any, Protocol

import msgspec
import trio
from returns.result import Result

from rhubarbfield.exceptions import RhubarbfieldError


class Encoding(StrEnum):
    """Encoding of messages; part of the gRPC content type."""

    MSGPACK = "msgpack"
    JSON = "json"


class UnsendableMessageError(RhubarbfieldError):
    """A message can't be encoded; nothing was sent, and the connection is as before."""


class MessageStream(Protocol):
    """Bidirectional stream of typed messages.

    ``send`` raises :class:`UnsendableMessageError` for a message that can't be
    encoded.

    ``receive`` may raise :class:`msgspec.MsgspecError` if the other side sent
    something that can't be decoded.
    """

    @property
    def is_unsupported(self) -> bool:
        """Whether the other side does not serve the method, and so read nothing.

        Known once the stream has ended.
        """

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; return False if the stream has ended or is too slow."""

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message, or None once the stream has ended."""

    async def close(self) -> None:
        """End the stream; the other side's ``receive`` returns None."""


class CallFailureKind(StrEnum):
    """Reason why a call got no reply."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    UNSENDABLE = "unsendable"


class CallFailure(msgspec.Struct, frozen=True):
    """Failure of a call that got no reply.

    Attributes
    ----------
    kind
        ``UNREACHABLE`` if no connection was made, and ``UNSENDABLE`` if the request
        can't be encoded: it certainly did not arrive. In all other cases it may have
        arrived.
    detail
        Human-readable description.
    """

    kind: CallFailureKind
    detail: str


CALL_TIMEOUT = timedelta(seconds=3)
# An instance without power does not refuse connections; without this timeout,
# the operating system would try to connect for minutes.
CONNECT_TIMEOUT = timedelta(seconds=1)


class StreamMethod(msgspec.Struct, frozen=True):
    """Definition of a stream that a server offers.

    Attributes
    ----------
    path
        gRPC path, ``/package.Service/Method``.
    inbound
        Type of the messages that the server receives, often a union.
    outbound
        Type of the messages that the server sends, often a union.
    """

    path: str
    inbound: Any
    outbound: Any


class CallMethod(msgspec.Struct, frozen=True):
    """Definition of a call with one request and one reply.

    Attributes
    ----------
    path
        gRPC path, ``/package.Service/Method``.
    request
        Type of the request, often a union.
    reply
        Type of the reply, often a union.
    """

    path: str
    request: Any
    reply: Any


class Connection(Protocol):
    """Connection to one address, opened on first use."""

    async def call(
        self,
        method: CallMethod,
        request: Any,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``.

        Parameters
        ----------
        method, request
            The method to call, and the request to send.
        timeout
            Time to wait for the reply, connecting included.
        connect_timeout
            Time after which the call fails as ``UNREACHABLE`` if the connection is
            not open by then, so that the request was not sent.
        """

    def open(
        self, method: StreamMethod
    ) -> AbstractAsyncContextManager[MessageStream | None]:
        """Open a stream, or yield None if the other side can't be reached.

        The stream is reset when the block is left for any reason.
        """

    def close(self) -> None:
        """Close the connection; calls in progress fail."""


StreamHandler = Callable[[MessageStream], Awaitable[None]]
CallHandler = Callable[[Any], Awaitable[Any]]


class Transport(Protocol):
    """Transport between processes."""

    def open_connection(
        self, host: str, port: int, *, encoding: Encoding = Encoding.MSGPACK
    ) -> Connection:
        """Return a connection to ``host``:``port``; the caller closes it."""

    async def serve(
        self,
        host: str,
        port: int,
        *,
        encoding: Encoding = Encoding.MSGPACK,
        streams: Mapping[StreamMethod, StreamHandler] | None = None,
        calls: Mapping[CallMethod, CallHandler] | None = None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve streams and calls on one port until cancelled.

        Parameters
        ----------
        host, port
            Address to listen on.
        encoding
            Encoding of messages.
        streams, calls
            Methods to serve, each with the function that handles it.
        task_status
            Reported as started once the port accepts connections.

        Raises
        ------
        BrokenInvariantError
            If a handler raised it.
        OSError
            If listening on the port fails.
        """
