"""Streams in memory, with the faults of real ones."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.workers.streams import MessageStream

CAPACITY_MESSAGES = 256


class Direction:
    """One way of a connection, and what is wrong with it.

    Attributes
    ----------
    delay
        How long each message takes.
    silent
        Whether messages vanish, as when a device on the way forgot the
        connection: the sender notices nothing.
    blocked
        Whether sends wait for ever, as when nobody reads.
    messages, octets
        How much was sent.
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
        ](CAPACITY_MESSAGES)

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
        """Return the next data; None once the connection was cut."""
        try:
            arrives, data = await self._receiver.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            return None
        await self._clock.sleep(arrives - self._clock.monotonic())
        return data

    def cut(self) -> None:
        """Lose what is on the way and end both sides."""
        self._sender.close()
        self._receiver.close()

    def stop_reading(self) -> None:
        """Let sends fail from now on, unless they go nowhere anyway."""
        if not self.blackholed:
            self._receiver.close()

    def end(self) -> None:
        """End after what is on the way, unless that goes nowhere."""
        if not self.blackholed:
            self._sender.close()


class MemoryStream:
    """One end of a connection in memory; messages go through JSON.

    Parameters
    ----------
    outgoing, incoming
        The two ways, as this end sees them.
    receives
        The messages, often a union, that this end takes in.
    """

    def __init__(self, outgoing: Direction, incoming: Direction, receives: Any) -> None:
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
        """End the connection; the other end still gets what is on the way."""
        self.hang_up()
        await trio.lowlevel.checkpoint()

    def hang_up(self) -> None:
        """End the connection without waiting."""
        self.outgoing.end()
        self.incoming.stop_reading()

    def cut(self) -> None:
        """Cut the connection both ways."""
        self.outgoing.cut()
        self.incoming.cut()

    def blackhole(self, *, both_ways: bool = True) -> None:
        """Let messages vanish from now on, without any error."""
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
        The messages that each end takes in.
    clock
        What delays are measured by; the loop's if not given.
    """
    used = clock or TrioClock()
    there, back = Direction(used), Direction(used)
    return (
        MemoryStream(there, back, first_receives),
        MemoryStream(back, there, second_receives),
    )


StreamHandler = Callable[[MessageStream], Awaitable[None]]


class MemoryNetwork:
    """Connections by address inside one process.

    Parameters
    ----------
    nursery
        Where the handlers of connections run.
    clients_receive, servers_receive
        The messages that each side takes in.
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
        """Hand connections to ``address`` to ``handler`` from now on."""
        self._handlers[address] = handler

    def close(self, address: str) -> None:
        """Refuse connections to ``address`` and cut those that are open."""
        self._handlers.pop(address, None)
        for stream in self.find_open(address):
            stream.cut()

    def find_open(self, address: str) -> list[MemoryStream]:
        """Return the clients' ends of the open connections to ``address``."""
        return [stream for at, stream in self._open if at == address]

    @asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[MessageStream | None]:
        """Open a connection to ``address``; None when nobody answers there."""
        handler = self._handlers.get(address)
        if handler is None or address in self.unreachable:
            await trio.lowlevel.checkpoint()
            yield None
            return
        mine, theirs = memory_stream_pair(self._clients_receive, self._servers_receive)
        self._nursery.start_soon(handler, theirs)
        self._open.append((address, mine))
        try:
            yield mine
        finally:
            self._open.remove((address, mine))
            mine.hang_up()
