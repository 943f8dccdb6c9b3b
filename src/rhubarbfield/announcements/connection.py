"""One connection of a backend server, written straight down."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbfield.announcements.messages import (
    Accepted,
    Announce,
    GoTo,
    Heartbeat,
    Ping,
)
from rhubarbfield.announcements.servers import AnnouncedServer
from rhubarbfield.clock import Clock
from rhubarbfield.types import Epoch, InstanceName
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    Malformed,
    TimedStream,
)

logger = logging.getLogger(__name__)

PING_AFTER = 0.6
MOST_ANSWERS = 32


class AnnouncementConnection:
    """A connection from its first announcement to its end.

    Parameters
    ----------
    stream
        The connection.
    server
        What the entry knows of the backend server.
    announce
        The first message.
    entry
        The instance that this is.
    choose_interval
        Returns how often the server is to send heartbeats.
    clock
        The entry's clock.
    """

    def __init__(
        self,
        stream: TimedStream,
        server: AnnouncedServer,
        announce: Announce,
        *,
        entry: InstanceName,
        choose_interval: Callable[[], timedelta],
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._server = server
        self._first = announce
        self._entry = entry
        self._choose_interval = choose_interval
        self._clock = clock
        self._scope = trio.CancelScope()
        self._answered: dict[int, timedelta] = {}

    def cancel(self) -> None:
        """End the connection, because a newer one takes its place."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        with self._scope:
            if not await self._hear(self._first):
                return
            async with trio.open_nursery() as nursery:
                for part in (self._receive, self._publish, self._ping):
                    nursery.start_soon(self._run_part, part)

    async def _run_part(self, part: Callable[[], Awaitable[None]]) -> None:
        await part()
        self._scope.cancel()

    async def _receive(self) -> None:
        while True:
            message = await self._stream.receive(self._server.silence_timeout)
            match message:
                case Announce() | Heartbeat():
                    if not await self._hear(message):
                        return
                case Malformed(reason=reason):
                    await self._refuse(reason)
                    return
                case _:
                    return

    async def _hear(self, message: Announce | Heartbeat) -> bool:
        counted_after = self._answered.get(message.heard)
        if isinstance(message, Heartbeat):
            self._server.hear_heartbeat(message.running, counted_after)
        elif message.server == self._first.server:
            self._server.hear(message, counted_after)
        else:
            await self._refuse("a connection announces one backend server")
            return False
        granted = self._server.granted
        interval = self._choose_interval()
        self._server.expect(interval)
        answer = Accepted(
            number=message.number,
            owner=InstanceName("") if granted is None else self._entry,
            epoch=Epoch(0) if granted is None else granted.epoch,
            heartbeat_seconds=interval.total_seconds(),
        )
        self._note_answer(message.number)
        return await self._stream.send(answer)

    def _note_answer(self, number: int) -> None:
        """Remember when an answer was sent, before it is."""
        self._answered[number] = self._clock.monotonic()
        if len(self._answered) > MOST_ANSWERS:
            del self._answered[min(self._answered)]

    async def _publish(self) -> None:
        # A server that was sent away before may be claimed on its return, so
        # that the first round doesn't wait for a change.
        while True:
            self._server.changed = trio.Event()
            owner = await self._server.publish()
            if owner is not None:
                await self._stream.send(GoTo(owner=owner.owner, address=owner.address))
                return
            await self._server.changed.wait()

    async def _ping(self) -> None:
        while True:
            await self._clock.sleep(self._choose_interval())
            late = self._server.silent_for > self._server.silence_timeout * PING_AFTER
            if late and not await self._stream.send(Ping()):
                return

    async def _refuse(self, reason: str) -> None:
        logger.warning("server-refused server=%s %s", self._first.server, reason)
        await self._stream.send(ConnectionRefused(reason=reason))
