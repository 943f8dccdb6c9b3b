"""What the program needs of the transport between processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, Protocol

import msgspec


class Encoding(StrEnum):
    """How messages are written; part of the gRPC content type."""

    MSGPACK = "msgpack"
    JSON = "json"


class MessageStream(Protocol):
    """One bidirectional stream of typed messages."""

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


StreamHandler = Callable[[MessageStream], Awaitable[None]]
CallHandler = Callable[[Any], Awaitable[Any]]
