"""Links that carry one-way messages to each peer.

Every process keeps one link of its own to each peer and sends on it; what
the peer sends back comes over the peer's link. A link never blocks its
sender: what does not fit the queue is dropped, and the protocols above
repeat what matters. Messages that wait together travel together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from datetime import timedelta
from typing import Any, Generic, TypeVar

import msgspec
import trio

from rhubarbfield.peering.ports import MessageStream, StreamMethod, Transport
from rhubarbfield.peering.transport import connect
from rhubarbfield.types import InstanceName

QUEUE_MESSAGES = 512
BATCH_MESSAGES = 64
PING_INTERVAL = timedelta(milliseconds=1500)
SILENCE_LIMIT = timedelta(seconds=4)
RECONNECT_DELAY = timedelta(milliseconds=250)
IDLE_LINK_LIMIT = timedelta(seconds=60)  # longer than any pause of a group

M = TypeVar("M")


class Batch(msgspec.Struct, Generic[M], frozen=True, tag="batch"):
    """Messages from ``sender``, oldest first."""

    sender: InstanceName
    messages: list[M]


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Asks the other side to show that it hears."""


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """Answers a ping."""


def make_link_method(path: str, message_type: Any) -> StreamMethod:
    """Return the stream method of links that carry ``message_type``."""
    return StreamMethod(path, Batch[message_type] | Ping, Pong)


async def serve_link(
    stream: MessageStream, deliver: Callable[[InstanceName, Any], None]
) -> None:
    """Hand what comes over a peer's link to ``deliver`` until it ends."""
    while (message := await stream.receive()) is not None:
        if isinstance(message, Ping):
            if not await stream.send(Pong()):
                return
            continue
        for inner in message.messages:  # type: ignore[attr-defined]
            deliver(message.sender, inner)  # type: ignore[attr-defined]


class _Link:
    """The link to one peer: a queue, and the task that empties it."""

    def __init__(self, sender: InstanceName) -> None:
        self._sender = sender
        self._queue: deque[Any] = deque(maxlen=QUEUE_MESSAGES)
        self._filled = trio.Event()
        self._heard_at = trio.current_time()
        self._used_at = trio.current_time()

    @property
    def idle_seconds(self) -> float:
        """How long ago a message was last queued."""
        return trio.current_time() - self._used_at

    def put(self, message: Any) -> None:
        self._used_at = trio.current_time()
        self._queue.append(message)
        self._filled.set()

    async def carry(self, stream: MessageStream) -> None:
        """Use ``stream`` until it ends or has been silent for too long."""
        self._heard_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for part in (self._send_batches, self._send_pings, self._receive_pongs):
                nursery.start_soon(_run_then_cancel, part, stream, nursery.cancel_scope)

    async def _send_batches(self, stream: MessageStream) -> None:
        while True:
            await self._filled.wait()
            count = min(len(self._queue), BATCH_MESSAGES)
            batch = [self._queue.popleft() for _ in range(count)]
            if not self._queue:
                self._filled = trio.Event()
            if batch and not await stream.send(Batch(self._sender, batch)):
                return

    async def _send_pings(self, stream: MessageStream) -> None:
        while await stream.send(Ping()):
            await trio.sleep(PING_INTERVAL.total_seconds())
            silence = trio.current_time() - self._heard_at
            if silence > SILENCE_LIMIT.total_seconds():
                return

    async def _receive_pongs(self, stream: MessageStream) -> None:
        # What is no pong ends the link like silence does.
        with suppress(msgspec.MsgspecError):
            while await stream.receive() is not None:
                self._heard_at = trio.current_time()


async def _run_then_cancel(
    part: Callable[[MessageStream], Any], stream: MessageStream, scope: trio.CancelScope
) -> None:
    await part(stream)
    scope.cancel()


class PeerLinks:
    """The links of this process to its peers.

    Parameters
    ----------
    name
        This instance.
    peers
        Host and port of each peer.
    method
        What :func:`make_link_method` returned.
    transport
        The way to the peers.
    locate
        Returns host and port of a peer that ``peers`` does not list, or None.
        The link to such a peer is made when first used, and given up once
        nothing was sent for ``IDLE_LINK_LIMIT``.
    """

    def __init__(
        self,
        name: InstanceName,
        peers: Mapping[InstanceName, tuple[str, int]],
        method: StreamMethod,
        transport: Transport,
        locate: Callable[[InstanceName], tuple[str, int] | None] | None = None,
    ) -> None:
        self._name = name
        self._peers = peers
        self._method = method
        self._transport = transport
        self._locate = locate
        self._nursery: trio.Nursery | None = None
        self._links = {peer: _Link(name) for peer in peers}

    def send(self, to: InstanceName, message: Any) -> None:
        """Queue ``message`` for ``to``; peers without an address are ignored."""
        link = self._links.get(to) or self._open_link(to)
        if link is not None:
            link.put(message)

    async def run(self) -> None:
        """Keep a link to each peer until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for peer, link in self._links.items():
                nursery.start_soon(self._keep_link, link, self._peers[peer])
            await trio.sleep_forever()

    def _open_link(self, to: InstanceName) -> _Link | None:
        address = self._locate(to) if self._locate is not None else None
        if address is None or self._nursery is None:
            return None
        link = self._links[to] = _Link(self._name)
        self._nursery.start_soon(self._keep_while_used, to, link, address)
        return link

    async def _keep_while_used(
        self, peer: InstanceName, link: _Link, address: tuple[str, int]
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_link, link, address)
            while link.idle_seconds < IDLE_LINK_LIMIT.total_seconds():
                await trio.sleep(PING_INTERVAL.total_seconds())
            del self._links[peer]
            nursery.cancel_scope.cancel()

    async def _keep_link(self, link: _Link, address: tuple[str, int]) -> None:
        host, port = address
        while True:
            async with (
                connect(self._transport, host, port) as connection,
                connection.open(self._method) as stream,
            ):
                if stream is not None:
                    await link.carry(stream)
            await trio.sleep(RECONNECT_DELAY.total_seconds())
