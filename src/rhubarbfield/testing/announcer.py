"""Announcements and heartbeats of a stand-in backend server."""

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
    TimedStream,
    use_stream,
)

SEND_TIMEOUT = timedelta(seconds=1)
SILENCE_TIMEOUT_INTERVALS = 3.2  # heartbeat intervals without an answer
INITIAL_HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
CONNECT_TIMEOUT = timedelta(seconds=1)
RECONNECT_DELAY = timedelta(milliseconds=200)
REFUSED_RECONNECT_DELAY = timedelta(seconds=2)
MAX_REDIRECTS = 3


class AnnouncedState(Protocol):
    """State of a backend server, read before each message."""

    def describe(self) -> Announce:
        """Return the full announcement; the announcer sets its number."""


class Announcer:
    """Announces one backend server to the entry that owns it.

    Parameters
    ----------
    server
        The backend server.
    connect
        Opens a stream to an entry.
    addresses
        Addresses of the entries of the server's domain, as ``host:port``.
    clock
        The server's clock.
    rng
        Random source for the choice of addresses and for delays.

    Attributes
    ----------
    owner, epoch
        Owner of the server and its epoch, from the last accepted announcement.
    address
        Address of the current connection; empty without one.
    muted
        Whether announcements and heartbeats are withheld, for tests.
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
        self._last_accepted_number = 0
        self._interval = INITIAL_HEARTBEAT_INTERVAL
        self._changed = trio.Event()
        self._scope = trio.CancelScope()

    def push(self) -> None:
        """Send an announcement at once, because the server's state has changed."""
        self._changed.set()

    def stop(self) -> None:
        """Close the connection and stop announcing."""
        self._scope.cancel()

    async def run(self) -> None:
        """Announce until stopped or cancelled."""
        with self._scope:
            address = self._rng.choice(self._addresses)
            redirects = 0
            while True:
                end = await self._connect_to_entry(address)
                if isinstance(end, GoTo) and redirects < MAX_REDIRECTS:
                    address, redirects = end.address, redirects + 1
                    continue
                redirects = 0
                refused = isinstance(end, ConnectionRefused)
                delay = REFUSED_RECONNECT_DELAY if refused else RECONNECT_DELAY
                await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
                address = self._choose_next_address(address)

    def _choose_next_address(self, address: str) -> str:
        others = [other for other in self._addresses if other != address]
        return self._rng.choice(others or self._addresses)

    async def _connect_to_entry(self, address: str) -> msgspec.Struct | None:
        async def use(stream: MessageStream) -> msgspec.Struct:
            self.address = address
            return await self._announce_on(stream)

        try:
            return await use_stream(
                self._connect, address, use, connect_timeout=CONNECT_TIMEOUT
            )
        finally:
            self.address = ""

    async def _announce_on(self, raw_stream: MessageStream) -> msgspec.Struct:
        self._interval = INITIAL_HEARTBEAT_INTERVAL
        stream = TimedStream(
            raw_stream,
            send_timeout=SEND_TIMEOUT,
            silence_timeout=INITIAL_HEARTBEAT_INTERVAL * SILENCE_TIMEOUT_INTERVALS,
        )
        self._changed.set()
        self._last_accepted_number = 0
        ends: list[msgspec.Struct] = []
        async with trio.open_nursery() as nursery:

            async def run_part(
                part: Callable[[TimedStream], Awaitable[msgspec.Struct]],
            ) -> None:
                ends.append(await part(stream))
                nursery.cancel_scope.cancel()

            for part in (self._receive, self._announce_changes, self._send_heartbeats):
                nursery.start_soon(run_part, part)
        return ends[0]

    async def _receive(self, stream: TimedStream) -> msgspec.Struct:
        while True:
            message = await stream.receive(self._interval * SILENCE_TIMEOUT_INTERVALS)
            match message:
                case Accepted():
                    self._last_accepted_number = message.number
                    self.owner, self.epoch = message.owner, message.epoch
                    self._interval = timedelta(seconds=message.heartbeat_seconds)
                case Ping():
                    self._changed.set()
                case _:
                    return message

    async def _announce_changes(self, stream: TimedStream) -> msgspec.Struct:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            announce = msgspec.structs.replace(
                self._server.describe(),
                number=self._allocate_number(),
                heard=self._last_accepted_number,
            )
            if not self.muted and not await stream.send(announce):
                return announce

    async def _send_heartbeats(self, stream: TimedStream) -> msgspec.Struct:
        while True:
            await self._clock.sleep(self._interval)
            heartbeat = Heartbeat(
                number=self._allocate_number(),
                running=self._server.describe().running,
                heard=self._last_accepted_number,
            )
            if not self.muted and not await stream.send(heartbeat):
                return heartbeat

    def _allocate_number(self) -> int:
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
        Addresses of the entries of the server's domain, as ``host:port``.
    seed
        Seed of the choice of addresses and of delays.
    task_status
        Receives the announcer, whose ``push`` announces a change at once.
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
    """Announce a planned stop and wait for the requests in progress.

    Parameters
    ----------
    server
        The backend server, whose announced state is ``leaving`` already.
    announcer
        The server's announcer; stopped on return.
    timeout
        How long to wait for requests in progress.

    Returns
    -------
    bool
        Whether the server was leaving and every request had ended.
    """
    leaving = server.describe().state is BackendServerState.LEAVING
    announcer.push()
    with trio.move_on_after(timeout.total_seconds()):
        # Gives the entry time to receive the announcement.
        await trio.sleep(INITIAL_HEARTBEAT_INTERVAL.total_seconds())
        while server.describe().running:
            await trio.sleep(INITIAL_HEARTBEAT_INTERVAL.total_seconds() / 10)
    announcer.stop()
    return leaving and not server.describe().running
