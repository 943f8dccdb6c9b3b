"""A transport in memory, with the failures of a network.

Many processes of the program run in one trio loop, each with a
:class:`MemoryTransport` of its own; the loop's clock may be virtual. Messages
are encoded and decoded as on a real connection.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.peering import (
    CallFailure,
    CallFailureKind,
    CallMethod,
    Encoding,
    MessageStream,
    StreamMethod,
)
from rhubarbfield.peering.ports import CALL_TIMEOUT, CallHandler, StreamHandler
from rhubarbfield.testing.streams import MemoryStream, memory_stream_pair

LEAST_DELAY = timedelta(milliseconds=1)
MOST_DELAY = timedelta(milliseconds=3)


class _Served(msgspec.Struct):
    """What one address serves."""

    nursery: trio.Nursery
    streams: Mapping[StreamMethod, StreamHandler]
    calls: Mapping[CallMethod, CallHandler]


class _OpenStream(msgspec.Struct):
    """A stream between two hosts; ``near`` is the end that opened it."""

    opener: str
    server: str
    near: MemoryStream
    far: MemoryStream


class SimulatedNetwork:
    """Connects hosts; may be cut, slow or forgetful.

    Parameters
    ----------
    rng
        Of the delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._served: dict[tuple[str, int], _Served] = {}
        self._streams: list[_OpenStream] = []
        self._cuts: set[tuple[str, str]] = set()
        self._resets: dict[frozenset[str], trio.Event] = {}
        self.delay_factor = 1.0

    @property
    def is_disturbed(self) -> bool:
        """Whether anything is cut or slow for new connections."""
        return bool(self._cuts) or self.delay_factor > 1

    def cut(self, source: str, target: str) -> None:
        """Lose all that ``source`` sends to ``target`` from now on."""
        self._cuts.add((source, target))
        for stream in self._streams:
            if (stream.opener, stream.server) == (source, target):
                stream.near.outgoing.blackholed = True
            elif (stream.server, stream.opener) == (source, target):
                stream.far.outgoing.blackholed = True

    def heal(self, source: str, target: str) -> None:
        """Let new connections through again; old ones stay silent for good."""
        self._cuts.discard((source, target))

    def heal_all(self) -> None:
        """Let new connections through everywhere."""
        self._cuts.clear()
        self.delay_factor = 1.0

    def blackhole(self, one: str, other: str) -> None:
        """Make the open streams between two hosts silent; new ones work."""
        for stream in self._streams:
            if {stream.opener, stream.server} == {one, other}:
                stream.near.blackhole()

    def reset(self, one: str, other: str) -> None:
        """Break the open connections between two hosts, so that both notice."""
        for stream in self._streams:
            if {stream.opener, stream.server} == {one, other}:
                stream.near.cut()
                stream.far.cut()
        self._resets.pop(frozenset((one, other)), trio.Event()).set()

    async def wait_until_reset(self, one: str, other: str) -> None:
        """Wait until the open connections between two hosts break."""
        pair = frozenset((one, other))
        await self._resets.setdefault(pair, trio.Event()).wait()

    def disconnect_host(self, host: str) -> None:
        """Cut every stream of a host whose process has died."""
        for stream in self._streams:
            if host in (stream.opener, stream.server):
                stream.near.cut()
                stream.far.cut()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether what ``source`` sends to ``target`` is lost."""
        return (source, target) in self._cuts

    async def delay_message(self) -> None:
        """Wait as long as a message takes."""
        spread = (MOST_DELAY - LEAST_DELAY) * self._rng.random()
        await trio.sleep((LEAST_DELAY + spread).total_seconds() * self.delay_factor)

    def find(self, host: str, port: int) -> _Served | None:
        """Return what an address serves, if anything."""
        return self._served.get((host, port))

    @asynccontextmanager
    async def listen(
        self,
        address: tuple[str, int],
        streams: Mapping[StreamMethod, StreamHandler],
        calls: Mapping[CallMethod, CallHandler],
    ) -> AsyncIterator[None]:
        """Serve ``address`` while the block runs."""
        async with trio.open_nursery() as nursery:
            served = _Served(nursery, streams, calls)
            self._served[address] = served
            try:
                yield
            finally:
                if self._served.get(address) is served:
                    del self._served[address]
                nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def join(
        self, opener: str, server: str, method: StreamMethod
    ) -> AsyncIterator[_OpenStream]:
        """Open a stream between two hosts while the block runs."""
        near, far = memory_stream_pair(method.outbound, method.inbound)
        stream = _OpenStream(opener, server, near, far)
        near.outgoing.blackholed = self.is_cut(opener, server)
        far.outgoing.blackholed = self.is_cut(server, opener)
        self._streams.append(stream)
        try:
            yield stream
        finally:
            near.hang_up()
            self._streams.remove(stream)


class MemoryConnection:
    """A connection of one host to an address of another.

    Parameters
    ----------
    network
        The network.
    host
        Who connects.
    address
        Where to.
    """

    def __init__(
        self, network: SimulatedNetwork, host: str, address: tuple[str, int]
    ) -> None:
        self._network = network
        self._host = host
        self._address = address

    async def call(
        self, method: CallMethod, request: Any, timeout: timedelta = CALL_TIMEOUT
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``."""
        with trio.move_on_after(timeout.total_seconds()):
            return await self._call(method, request)
        return Failure(CallFailure(CallFailureKind.TIMEOUT, "no reply in time"))

    async def _call(self, method: CallMethod, request: Any) -> Result[Any, CallFailure]:
        network, target = self._network, self._address[0]
        await network.delay_message()
        if network.is_cut(self._host, target):
            await trio.sleep_forever()
        served = network.find(*self._address)
        if served is None:
            return Failure(CallFailure(CallFailureKind.UNREACHABLE, "nobody is there"))
        data = msgspec.msgpack.encode(request)
        decoded = msgspec.msgpack.decode(data, type=method.request)
        done = trio.Event()
        replies: list[bytes] = []

        async def run() -> None:
            reply = await served.calls[method](decoded)
            replies.append(msgspec.msgpack.encode(reply))
            done.set()

        served.nursery.start_soon(run)
        await done.wait()
        await network.delay_message()
        if network.is_cut(target, self._host):
            await trio.sleep_forever()
        return Success(msgspec.msgpack.decode(replies[0], type=method.reply))

    @asynccontextmanager
    async def open(self, method: StreamMethod) -> AsyncIterator[MessageStream | None]:
        """Open a stream; None when the other side can't be reached."""
        network, target = self._network, self._address[0]
        await network.delay_message()
        served = network.find(*self._address)
        lost = network.is_cut(self._host, target) or network.is_cut(target, self._host)
        if served is None or lost:
            yield None
            return
        async with network.join(self._host, target, method) as stream:
            handler = served.streams[method]
            served.nursery.start_soon(_handle_stream, handler, stream.far)
            yield stream.near

    def close(self) -> None:
        """Close the connection."""


class MemoryTransport:
    """A :class:`~rhubarbfield.peering.Transport` for one host.

    Parameters
    ----------
    network
        What it is connected to.
    host
        Its address.
    """

    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network = network
        self._host = host

    def open_connection(
        self, host: str, port: int, *, encoding: Encoding = Encoding.MSGPACK
    ) -> MemoryConnection:
        """Return a connection to ``host``:``port``."""
        return MemoryConnection(self._network, self._host, (host, port))

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
        """Serve streams and calls on one port until cancelled."""
        async with self._network.listen((host, port), streams or {}, calls or {}):
            task_status.started()
            await trio.sleep_forever()


async def _handle_stream(handler: StreamHandler, stream: MemoryStream) -> None:
    """Run a handler; its end of the stream ends with it, as that of a process."""
    try:
        await handler(stream)
    finally:
        stream.hang_up()
