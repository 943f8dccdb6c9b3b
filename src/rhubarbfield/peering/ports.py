"""What the program needs of the transport between processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from enum import StrEnum
from typing import Any, Protocol

import msgspec
import trio
from returns.result import Result


class Encoding(StrEnum):
    """How messages are written; part of the gRPC content type."""

    MSGPACK = "msgpack"
    JSON = "json"


class MessageStream(Protocol):
    """One bidirectional stream of typed messages.

    ``receive`` may raise :class:`msgspec.MsgspecError` when the other side
    sent what can't be decoded.
    """

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; False when the stream is gone or too slow."""

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message, or None once the stream has ended."""

    async def close(self) -> None:
        """End the stream; the other side's ``receive`` returns None."""


class CallFailureKind(StrEnum):
    """Why a call has no reply."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"


class CallFailure(msgspec.Struct, frozen=True):
    """A call that got no reply.

    Attributes
    ----------
    kind
        ``UNREACHABLE`` when no connection was made, so that the request
        certainly did not arrive; after the others it may have.
    detail
        A sentence for a person.
    """

    kind: CallFailureKind
    detail: str


CALL_TIMEOUT = timedelta(seconds=3)
# An instance without power does not refuse; the system would wait for minutes.
CONNECT_TIMEOUT = timedelta(seconds=1)


class StreamMethod(msgspec.Struct, frozen=True):
    """A stream that a server offers.

    Attributes
    ----------
    path
        The gRPC path, ``/package.Service/Method``.
    inbound
        The message type, often a union, that the server receives.
    outbound
        The message type that the server sends.
    """

    path: str
    inbound: Any
    outbound: Any


class CallMethod(msgspec.Struct, frozen=True):
    """A call with one request and one reply.

    Attributes
    ----------
    path
        The gRPC path, ``/package.Service/Method``.
    request
        The request type, often a union.
    reply
        The reply type, often a union.
    """

    path: str
    request: Any
    reply: Any


class Connection(Protocol):
    """A connection to one address, made when first used."""

    async def call(
        self, method: CallMethod, request: Any, timeout: timedelta = CALL_TIMEOUT
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``."""

    def open(
        self, method: StreamMethod
    ) -> AbstractAsyncContextManager[MessageStream | None]:
        """Open a stream; None when the other side can't be reached.

        The stream is reset when the block is left, whatever the reason.
        """

    def close(self) -> None:
        """Close the connection; calls in progress fail."""


StreamHandler = Callable[[MessageStream], Awaitable[None]]
CallHandler = Callable[[Any], Awaitable[Any]]


class Transport(Protocol):
    """How processes reach each other."""

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
            The address to listen on.
        encoding
            How messages are written.
        streams, calls
            The methods served and the function that handles each.
        task_status
            Started once the port accepts connections.

        Raises
        ------
        BrokenInvariantError
            If a handler raised it.
        OSError
            If the port can't be listened on.
        """
