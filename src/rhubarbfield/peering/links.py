"""Links that carry one-way messages to each peer.

Every process keeps one link of its own to each peer and sends on it; what
the peer sends back comes over the peer's link. A link never blocks its
sender: what does not fit the queue is dropped, and the protocols above
repeat what matters. Messages that wait together travel together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
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

    def put(self, message: Any) -> None:
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
    """

    def __init__(
        self,
        name: InstanceName,
        peers: dict[InstanceName, tuple[str, int]],
        method: StreamMethod,
        transport: Transport,
    ) -> None:
        self._peers = peers
        self._method = method
        self._transport = transport
        self._links = {peer: _Link(name) for peer in peers}

    def send(self, to: InstanceName, message: Any) -> None:
        """Queue ``message`` for ``to``; unknown peers are ignored."""
        link = self._links.get(to)
        if link is not None:
            link.put(message)

    async def run(self) -> None:
        """Keep a link to each peer until cancelled."""
        async with trio.open_nursery() as nursery:
            for peer, link in self._links.items():
                nursery.start_soon(self._keep_link, peer, link)

    async def _keep_link(self, peer: InstanceName, link: _Link) -> None:
        host, port = self._peers[peer]
        while True:
            async with (
                connect(self._transport, host, port) as connection,
                connection.open(self._method) as stream,
            ):
                if stream is not None:
                    await link.carry(stream)
            await trio.sleep(RECONNECT_DELAY.total_seconds())
