"""One connection of a backend server to an entry."""

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

PING_AFTER_FRACTION = 0.6
MAX_ANSWER_TIMES = 32


class AnnouncementConnection:
    """A connection of a backend server, from its first announcement to its end.

    Parameters
    ----------
    stream
        The connection.
    server
        The state of the backend server, shared by all its connections.
    announce
        The first message.
    entry
        The name of this entry.
    choose_interval
        Returns the heartbeat interval for the server.
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
        self._first_announce = announce
        self._entry = entry
        self._choose_interval = choose_interval
        self._clock = clock
        self._scope = trio.CancelScope()
        self._answer_times: dict[int, timedelta] = {}

    def cancel(self) -> None:
        """End the connection, because a newer one replaces it."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        with self._scope:
            if not await self._handle_message(self._first_announce):
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
                    if not await self._handle_message(message):
                        return
                case Malformed(reason=reason):
                    await self._refuse(reason)
                    return
                case _:
                    return

    async def _handle_message(self, message: Announce | Heartbeat) -> bool:
        counted_after = self._answer_times.get(message.heard)
        if isinstance(message, Heartbeat):
            self._server.handle_heartbeat(message.running, counted_after)
        elif message.server == self._first_announce.server:
            self._server.handle_announcement(message, counted_after)
        else:
            await self._refuse("a connection announces one backend server")
            return False
        granted = self._server.granted
        interval = self._choose_interval()
        self._server.set_heartbeat_interval(interval)
        answer = Accepted(
            number=message.number,
            owner=InstanceName("") if granted is None else self._entry,
            epoch=Epoch(0) if granted is None else granted.epoch,
            heartbeat_seconds=interval.total_seconds(),
        )
        self._record_answer(message.number)
        return await self._stream.send(answer)

    def _record_answer(self, number: int) -> None:
        """Record the time of an answer, just before it is sent."""
        self._answer_times[number] = self._clock.monotonic()
        if len(self._answer_times) > MAX_ANSWER_TIMES:
            del self._answer_times[min(self._answer_times)]

    async def _publish(self) -> None:
        # The first round doesn't wait for a change: a server that was redirected
        # earlier may be claimed when it returns.
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
            is_late = (
                self._server.time_since_contact
                > self._server.silence_timeout * PING_AFTER_FRACTION
            )
            if is_late and not await self._stream.send(Ping()):
                return

    async def _refuse(self, reason: str) -> None:
        logger.warning(
            "server-refused server=%s %s", self._first_announce.server, reason
        )
        await self._stream.send(ConnectionRefused(reason=reason))
