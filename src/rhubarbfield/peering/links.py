"""Links that carry one-way messages to each peer.

Each process opens its own link to each peer and sends on it; messages of the
peer arrive over the peer's link. A link never blocks its sender: when its queue
is full, the oldest messages are dropped, and the protocols above repeat those
that matter. Queued messages are sent in batches.
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
from rhubarbfield.peering.transport import connect, send_or_drop
from rhubarbfield.types import InstanceName

QUEUE_MESSAGES = 512
BATCH_MESSAGES = 64
PING_INTERVAL = timedelta(milliseconds=1500)
PONG_TIMEOUT = timedelta(seconds=4)
RECONNECT_DELAY = timedelta(milliseconds=250)
# Longer than any pause between messages of a group.
IDLE_LINK_TIMEOUT = timedelta(seconds=60)

M = TypeVar("M")


class Batch(msgspec.Struct, Generic[M], frozen=True, tag="batch"):
    """Batch of messages from ``sender``, oldest first."""

    sender: InstanceName
    messages: list[M]


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Asks the other side to confirm that it receives messages."""


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """Reply to a ping."""


def make_link_method(path: str, message_type: Any) -> StreamMethod:
    """Return the stream method for links that carry ``message_type``."""
    return StreamMethod(path, Batch[message_type] | Ping, Pong)


async def serve_link(
    stream: MessageStream, deliver: Callable[[InstanceName, Any], None]
) -> None:
    """Pass the messages of a peer's link to ``deliver`` until the link ends."""
    while (message := await stream.receive()) is not None:
        if isinstance(message, Ping):
            if not await stream.send(Pong()):
                return
            continue
        for payload in message.messages:  # type: ignore[attr-defined]
            deliver(message.sender, payload)  # type: ignore[attr-defined]


class _Link:
    """Link to one peer: a queue of messages and the tasks that send them."""

    def __init__(self, sender: InstanceName) -> None:
        self._sender = sender
        self._queue: deque[Any] = deque(maxlen=QUEUE_MESSAGES)
        self._filled = trio.Event()
        self._last_contact_at = trio.current_time()
        self._last_queued_at = trio.current_time()

    @property
    def idle_seconds(self) -> float:
        """Seconds since a message was last queued."""
        return trio.current_time() - self._last_queued_at

    def put(self, message: Any) -> None:
        self._last_queued_at = trio.current_time()
        self._queue.append(message)
        self._filled.set()

    async def run(self, stream: MessageStream) -> None:
        """Send over ``stream`` until it ends or pings are not answered in time."""
        self._last_contact_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for pump in (self._send_batches, self._send_pings, self._receive_pongs):
                nursery.start_soon(_run_then_cancel, pump, stream, nursery.cancel_scope)

    async def _send_batches(self, stream: MessageStream) -> None:
        while True:
            await self._filled.wait()
            count = min(len(self._queue), BATCH_MESSAGES)
            batch = [self._queue.popleft() for _ in range(count)]
            if not self._queue:
                self._filled = trio.Event()
            if batch and not await send_or_drop(stream, Batch(self._sender, batch)):
                return

    async def _send_pings(self, stream: MessageStream) -> None:
        while await stream.send(Ping()):
            await trio.sleep(PING_INTERVAL.total_seconds())
            since_contact = trio.current_time() - self._last_contact_at
            if since_contact > PONG_TIMEOUT.total_seconds():
                return

    async def _receive_pongs(self, stream: MessageStream) -> None:
        # A message that can't be decoded ends the link like missing pongs do.
        with suppress(msgspec.MsgspecError):
            while await stream.receive() is not None:
                self._last_contact_at = trio.current_time()


async def _run_then_cancel(
    pump: Callable[[MessageStream], Any], stream: MessageStream, scope: trio.CancelScope
) -> None:
    await pump(stream)
    scope.cancel()


class PeerLinks:
    """Links of this process to its peers.

    Parameters
    ----------
    name
        Name of this instance.
    peers
        Host and port of each peer.
    method
        Stream method returned by :func:`make_link_method`.
    transport
        Transport used to reach the peers.
    locate
        Returns host and port of a peer that ``peers`` does not list, or None.
        The link to such a peer is opened on first use and closed after
        ``IDLE_LINK_TIMEOUT`` without a message.
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
        """Maintain a link to each peer until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for peer, link in self._links.items():
                nursery.start_soon(self._maintain_link, link, self._peers[peer])
            await trio.sleep_forever()

    def _open_link(self, to: InstanceName) -> _Link | None:
        address = self._locate(to) if self._locate is not None else None
        if address is None or self._nursery is None:
            return None
        link = self._links[to] = _Link(self._name)
        self._nursery.start_soon(self._maintain_until_idle, to, link, address)
        return link

    async def _maintain_until_idle(
        self, peer: InstanceName, link: _Link, address: tuple[str, int]
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._maintain_link, link, address)
            while link.idle_seconds < IDLE_LINK_TIMEOUT.total_seconds():
                await trio.sleep(PING_INTERVAL.total_seconds())
            del self._links[peer]
            nursery.cancel_scope.cancel()

    async def _maintain_link(self, link: _Link, address: tuple[str, int]) -> None:
        host, port = address
        while True:
            async with (
                connect(self._transport, host, port) as connection,
                connection.open(self._method) as stream,
            ):
                if stream is not None:
                    await link.run(stream)
            await trio.sleep(RECONNECT_DELAY.total_seconds())
