"""The announcing half of a stand-in backend server."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import Protocol

import msgspec
import trio

from rhubarbfield.announcements.messages import (
    Accepted,
    Announce,
    GoTo,
    Heartbeat,
    Ping,
)
from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.types import BackendServerState, Epoch, InstanceName
from rhubarbfield.workers.streams import (
    Connect,
    ConnectionRefused,
    MessageStream,
    WatchedStream,
    use_stream,
)

SEND_DEADLINE = timedelta(seconds=1)
SILENCE_INTERVALS = 3.2
FIRST_INTERVAL = timedelta(milliseconds=500)
CONNECT_DEADLINE = timedelta(seconds=1)
RECONNECT_DELAY = timedelta(milliseconds=200)
REFUSED_DELAY = timedelta(seconds=2)
MAX_DETOURS = 3


class AnnouncedState(Protocol):
    """What the announcer reads of its backend server at each message."""

    def describe(self) -> Announce:
        """Return the whole announcement; its number is replaced."""


class Announcer:
    """Announces one backend server to the entry that owns it.

    Parameters
    ----------
    server
        The backend server.
    connect
        Opens a stream to an entry.
    addresses
        The entries of its domain, as ``host:port``.
    clock
        The server's clock.
    rng
        For the order of addresses and for delays.

    Attributes
    ----------
    owner, epoch
        The entry that sends requests to the server, as last heard.
    address
        Where the present connection goes; empty without one.
    silent
        Whether heartbeats are withheld, for tests.
    """

    def __init__(
        self,
        server: AnnouncedState,
        *,
        connect: Connect,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.owner = InstanceName("")
        self.epoch = Epoch(0)
        self.address = ""
        self.muted = False
        self._server = server
        self._connect = connect
        self._addresses = list(addresses)
        self._clock = clock
        self._rng = rng
        self._number = 0
        self._heard = 0
        self._interval = FIRST_INTERVAL
        self._changed = trio.Event()
        self._scope = trio.CancelScope()

    def push(self) -> None:
        """Announce at once, because something has changed."""
        self._changed.set()

    def stop(self) -> None:
        """End the connection; the server has left, or has died."""
        self._scope.cancel()

    async def run(self) -> None:
        """Announce until stopped or cancelled."""
        with self._scope:
            address = self._rng.choice(self._addresses)
            detours = 0
            while True:
                end = await self._try_entry(address)
                if isinstance(end, GoTo) and detours < MAX_DETOURS:
                    address, detours = end.address, detours + 1
                    continue
                detours = 0
                refused = isinstance(end, ConnectionRefused)
                delay = REFUSED_DELAY if refused else RECONNECT_DELAY
                await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
                address = self._choose_other(address)

    def _choose_other(self, address: str) -> str:
        others = [other for other in self._addresses if other != address]
        return self._rng.choice(others or self._addresses)

    async def _try_entry(self, address: str) -> msgspec.Struct | None:
        async def use(stream: MessageStream) -> msgspec.Struct:
            self.address = address
            return await self._serve(stream)

        try:
            return await use_stream(
                self._connect, address, use, connect_deadline=CONNECT_DEADLINE
            )
        finally:
            self.address = ""

    async def _serve(self, plain: MessageStream) -> msgspec.Struct:
        self._interval = FIRST_INTERVAL
        stream = WatchedStream(
            plain,
            send_deadline=SEND_DEADLINE,
            silence_limit=FIRST_INTERVAL * SILENCE_INTERVALS,
        )
        self._changed.set()
        self._heard = 0
        ends: list[msgspec.Struct] = []
        async with trio.open_nursery() as nursery:

            async def run_part(
                part: Callable[[WatchedStream], Awaitable[msgspec.Struct]],
            ) -> None:
                ends.append(await part(stream))
                nursery.cancel_scope.cancel()

            for part in (self._receive, self._announce_changes, self._send_heartbeats):
                nursery.start_soon(run_part, part)
        return ends[0]

    async def _receive(self, stream: WatchedStream) -> msgspec.Struct:
        while True:
            message = await stream.receive(self._interval * SILENCE_INTERVALS)
            match message:
                case Accepted():
                    self._heard = message.number
                    self.owner, self.epoch = message.owner, message.epoch
                    self._interval = timedelta(seconds=message.heartbeat_seconds)
                case Ping():
                    self._changed.set()
                case _:
                    return message

    async def _announce_changes(self, stream: WatchedStream) -> msgspec.Struct:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            announce = msgspec.structs.replace(
                self._server.describe(),
                number=self._take_number(),
                heard=self._heard,
            )
            if not self.muted and not await stream.send(announce):
                return announce

    async def _send_heartbeats(self, stream: WatchedStream) -> msgspec.Struct:
        while True:
            await self._clock.sleep(self._interval)
            heartbeat = Heartbeat(
                number=self._take_number(),
                running=self._server.describe().running,
                heard=self._heard,
            )
            if not self.muted and not await stream.send(heartbeat):
                return heartbeat

    def _take_number(self) -> int:
        self._number += 1
        return self._number


async def announce(
    server: AnnouncedState,
    *,
    connect: Connect,
    addresses: Sequence[str],
    seed: int = 0,
    task_status: trio.TaskStatus[Announcer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Announce a backend server on the loop's clock until cancelled.

    Parameters
    ----------
    server
        The backend server.
    connect
        Opens a stream to an entry.
    addresses
        The entries of its domain, as ``host:port``.
    seed
        Of the order of addresses and of delays.
    task_status
        Given the announcer, whose ``push`` announces a change at once.
    """
    announcer = Announcer(
        server,
        connect=connect,
        addresses=addresses,
        clock=TrioClock(),
        rng=random.Random(f"{seed}/{server.describe().server}"),
    )
    task_status.started(announcer)
    await announcer.run()


async def leave(
    server: AnnouncedState, announcer: Announcer, *, timeout: timedelta
) -> bool:
    """See a planned stop through: announce it and wait for the last request.

    Parameters
    ----------
    server
        The backend server, whose announcement says ``leaving`` already.
    announcer
        What announces it; stopped on return.
    patience
        How long to wait for requests in progress.

    Returns
    -------
    bool
        Whether every request had ended.
    """
    leaving = server.describe().state is BackendServerState.LEAVING
    announcer.push()
    with trio.move_on_after(timeout.total_seconds()):
        # The first interval is for the entry to hear of it.
        await trio.sleep(FIRST_INTERVAL.total_seconds())
        while server.describe().running:
            await trio.sleep(FIRST_INTERVAL.total_seconds() / 10)
    announcer.stop()
    return leaving and not server.describe().running
