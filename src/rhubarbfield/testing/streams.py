"""Message streams in memory, with injected network faults."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.workers.streams import MessageStream

QUEUE_CAPACITY_MESSAGES = 256


class Direction:
    """One direction of a connection and its injected faults.

    Attributes
    ----------
    delay
        Transit time of each message.
    blackholed
        Whether messages are dropped without an error at the sender, as when a
        middlebox has lost the state of the connection.
    blocked
        Whether sends wait forever, as when the receiver doesn't read.
    messages, octets
        Number of messages and bytes sent.
    """

    def __init__(self, clock: Clock) -> None:
        self.delay = timedelta()
        self.blackholed = False
        self.blocked = False
        self.messages = 0
        self.octets = 0
        self._clock = clock
        self._sender, self._receiver = trio.open_memory_channel[
            tuple[timedelta, bytes]
        ](QUEUE_CAPACITY_MESSAGES)

    async def send(self, data: bytes) -> bool:
        """Send ``data``; False when the connection was cut."""
        if self.blocked:
            await trio.sleep_forever()
        self.messages += 1
        self.octets += len(data)
        if self.blackholed:
            await trio.lowlevel.checkpoint()
            return True
        try:
            await self._sender.send((self._clock.monotonic() + self.delay, data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def receive(self) -> bytes | None:
        """Return the next message; None once the connection has ended."""
        try:
            arrival_at, data = await self._receiver.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            return None
        await self._clock.sleep(arrival_at - self._clock.monotonic())
        return data

    def cut(self) -> None:
        """Close both sides and lose the messages in transit."""
        self._sender.close()
        self._receiver.close()

    def stop_reading(self) -> None:
        """Make sends fail from now on, except in a blackholed direction."""
        if not self.blackholed:
            self._receiver.close()

    def end(self) -> None:
        """Close after the messages in transit; no effect if blackholed."""
        if not self.blackholed:
            self._sender.close()


class MemoryStream:
    """One end of a connection in memory; messages are encoded as JSON.

    Parameters
    ----------
    outgoing, incoming
        The two directions, as seen from this end.
    receives
        Type of the messages that this end receives, often a union.

    Attributes
    ----------
    is_unsupported
        Whether the server does not serve the method of the stream.
    """

    def __init__(self, outgoing: Direction, incoming: Direction, receives: Any) -> None:
        self.is_unsupported = False
        self.outgoing = outgoing
        self.incoming = incoming
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(receives)

    async def send(self, message: msgspec.Struct) -> bool:
        """Send ``message``; False when the connection was cut."""
        return await self.outgoing.send(self._encoder.encode(message))

    async def receive(self) -> msgspec.Struct | None:
        """Return the next message; None once the connection has ended."""
        data = await self.incoming.receive()
        return None if data is None else self._decoder.decode(data)

    async def close(self) -> None:
        """Close the connection; the other end still receives messages in transit."""
        self.close_nowait()
        await trio.lowlevel.checkpoint()

    def close_nowait(self) -> None:
        """Close the connection without waiting."""
        self.outgoing.end()
        self.incoming.stop_reading()

    def cut(self) -> None:
        """Cut the connection in both directions."""
        self.outgoing.cut()
        self.incoming.cut()

    def blackhole(self, *, both_ways: bool = True) -> None:
        """Drop outgoing messages, and by default incoming ones, without an error."""
        self.outgoing.blackholed = True
        if both_ways:
            self.incoming.blackholed = True


def memory_stream_pair(
    first_receives: Any, second_receives: Any, *, clock: Clock | None = None
) -> tuple[MemoryStream, MemoryStream]:
    """Return the two ends of a connection.

    Parameters
    ----------
    first_receives, second_receives
        Types of the messages that each end receives.
    clock
        Clock for the delays; the loop's clock by default.
    """
    used = clock or TrioClock()
    forward, backward = Direction(used), Direction(used)
    return (
        MemoryStream(forward, backward, first_receives),
        MemoryStream(backward, forward, second_receives),
    )


StreamHandler = Callable[[MessageStream], Awaitable[None]]


class MemoryNetwork:
    """Network of memory streams between addresses in one process.

    Parameters
    ----------
    nursery
        Runs the handlers of connections.
    clients_receive, servers_receive
        Types of the messages that each side receives.

    Attributes
    ----------
    unreachable
        Addresses to which new connections fail.
    """

    def __init__(
        self, nursery: trio.Nursery, *, clients_receive: Any, servers_receive: Any
    ) -> None:
        self.unreachable: set[str] = set()
        self._nursery = nursery
        self._clients_receive = clients_receive
        self._servers_receive = servers_receive
        self._handlers: dict[str, StreamHandler] = {}
        self._open: list[tuple[str, MemoryStream]] = []

    def listen(self, address: str, handler: StreamHandler) -> None:
        """Serve connections to ``address`` with ``handler`` from now on."""
        self._handlers[address] = handler

    def close(self, address: str) -> None:
        """Refuse new connections to ``address`` and cut the open ones."""
        self._handlers.pop(address, None)
        for stream in self.find_open(address):
            stream.cut()

    def find_open(self, address: str) -> list[MemoryStream]:
        """Return the client ends of the open connections to ``address``."""
        return [stream for target, stream in self._open if target == address]

    @asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[MessageStream | None]:
        """Open a connection to ``address``; None when it is unreachable."""
        handler = self._handlers.get(address)
        if handler is None or address in self.unreachable:
            await trio.lowlevel.checkpoint()
            yield None
            return
        client_end, server_end = memory_stream_pair(
            self._clients_receive, self._servers_receive
        )
        self._nursery.start_soon(handler, server_end)
        self._open.append((address, client_end))
        try:
            yield client_end
        finally:
            self._open.remove((address, client_end))
            client_end.close_nowait()
