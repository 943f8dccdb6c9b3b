"""A transport in memory, with injected network faults.

Many processes of the program run in one trio loop, each with its own
:class:`MemoryTransport`; the loop's clock may be virtual. Messages are encoded
and decoded as on a real connection.
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
from rhubarbfield.peering.ports import (
    CALL_TIMEOUT,
    CONNECT_TIMEOUT,
    CallHandler,
    StreamHandler,
)
from rhubarbfield.testing.streams import MemoryStream, memory_stream_pair

MIN_DELAY = timedelta(milliseconds=1)
MAX_DELAY = timedelta(milliseconds=3)


class _Served(msgspec.Struct):
    """Streams and calls that one address serves."""

    nursery: trio.Nursery
    streams: Mapping[StreamMethod, StreamHandler]
    calls: Mapping[CallMethod, CallHandler]


class _OpenStream(msgspec.Struct):
    """Both ends of a stream between two hosts."""

    opener: str
    server: str
    opener_end: MemoryStream
    server_end: MemoryStream


class SimulatedNetwork:
    """Connects hosts, with partitions, delays and resets on request.

    Parameters
    ----------
    rng
        Random source of the delays.

    Attributes
    ----------
    delay_factor
        Factor by which the delay of each message is multiplied.
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
        """Whether new connections are cut or delayed."""
        return bool(self._cuts) or self.delay_factor > 1

    def cut(self, source: str, target: str) -> None:
        """Drop everything that ``source`` sends to ``target`` from now on."""
        self._cuts.add((source, target))
        for stream in self._streams:
            if (stream.opener, stream.server) == (source, target):
                stream.opener_end.outgoing.blackholed = True
            elif (stream.server, stream.opener) == (source, target):
                stream.server_end.outgoing.blackholed = True

    def heal(self, source: str, target: str) -> None:
        """Let new connections through again; old ones stay blackholed."""
        self._cuts.discard((source, target))

    def heal_all(self) -> None:
        """Remove all cuts and delays for new connections."""
        self._cuts.clear()
        self.delay_factor = 1.0

    def blackhole(self, one: str, other: str) -> None:
        """Blackhole the open streams between two hosts; new ones work."""
        for stream in self._streams:
            if {stream.opener, stream.server} == {one, other}:
                stream.opener_end.blackhole()

    def reset(self, one: str, other: str) -> None:
        """Reset the open connections between two hosts, as seen by both."""
        for stream in self._streams:
            if {stream.opener, stream.server} == {one, other}:
                stream.opener_end.cut()
                stream.server_end.cut()
        self._resets.pop(frozenset((one, other)), trio.Event()).set()

    async def wait_until_reset(self, one: str, other: str) -> None:
        """Wait until the open connections between two hosts are reset."""
        pair = frozenset((one, other))
        await self._resets.setdefault(pair, trio.Event()).wait()

    def disconnect_host(self, host: str) -> None:
        """Cut every stream of a host, as at the end of its process."""
        for stream in self._streams:
            if host in (stream.opener, stream.server):
                stream.opener_end.cut()
                stream.server_end.cut()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from ``source`` to ``target`` are dropped."""
        return (source, target) in self._cuts

    async def delay_message(self) -> None:
        """Wait for the transit time of one message."""
        spread = (MAX_DELAY - MIN_DELAY) * self._rng.random()
        await trio.sleep((MIN_DELAY + spread).total_seconds() * self.delay_factor)

    def find(self, host: str, port: int) -> _Served | None:
        """Return what an address serves; None if it serves nothing."""
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
    async def open_stream(
        self, opener: str, server: str, method: StreamMethod
    ) -> AsyncIterator[_OpenStream]:
        """Open a stream between two hosts while the block runs."""
        opener_end, server_end = memory_stream_pair(method.outbound, method.inbound)
        stream = _OpenStream(opener, server, opener_end, server_end)
        opener_end.outgoing.blackholed = self.is_cut(opener, server)
        server_end.outgoing.blackholed = self.is_cut(server, opener)
        self._streams.append(stream)
        try:
            yield stream
        finally:
            opener_end.close_nowait()
            self._streams.remove(stream)


class MemoryConnection:
    """A connection of one host to an address of another.

    Parameters
    ----------
    network
        The network.
    host
        Host that connects.
    address
        Host and port to connect to.
    """

    def __init__(
        self, network: SimulatedNetwork, host: str, address: tuple[str, int]
    ) -> None:
        self._network = network
        self._host = host
        self._address = address

    async def call(
        self,
        method: CallMethod,
        request: Any,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``.

        A cut loses the request, as on a connection that was open before.
        """
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
            return Failure(
                CallFailure(CallFailureKind.UNREACHABLE, "no server at the address")
            )
        if method not in served.calls:
            return Failure(
                CallFailure(CallFailureKind.TIMEOUT, "the method is not served")
            )
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
        """Open a stream; None when the other host can't be reached."""
        network, target = self._network, self._address[0]
        await network.delay_message()
        served = network.find(*self._address)
        lost = network.is_cut(self._host, target) or network.is_cut(target, self._host)
        if served is None or lost:
            yield None
            return
        async with network.open_stream(self._host, target, method) as stream:
            handler = served.streams.get(method, _end_at_once)
            stream.opener_end.is_unsupported = handler is _end_at_once
            served.nursery.start_soon(_handle_stream, handler, stream.server_end)
            yield stream.opener_end

    def close(self) -> None:
        """Close the connection."""


class MemoryTransport:
    """A :class:`~rhubarbfield.peering.Transport` for one host.

    Parameters
    ----------
    network
        The network that connects the host.
    host
        The host's name.
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


async def _end_at_once(stream: MessageStream) -> None:
    """Handle a stream that the server does not serve, as gRPC does."""


async def _handle_stream(handler: StreamHandler, stream: MemoryStream) -> None:
    """Run a handler and close its end of the stream when it ends."""
    try:
        await handler(stream)
    finally:
        stream.close_nowait()
