"""The sessions of backend servers with one entry."""

from __future__ import annotations

import logging
from datetime import timedelta

import trio

from rhubarbfield.announcements.connection import AnnouncementConnection
from rhubarbfield.announcements.messages import Announce
from rhubarbfield.announcements.ports import GrantSink, OwnershipPort
from rhubarbfield.announcements.servers import AnnouncedServer
from rhubarbfield.announcements.settings import AnnouncementSettings
from rhubarbfield.clock import Clock
from rhubarbfield.types import BackendServerId, BackendServerState, InstanceName
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    MessageStream,
    TimedStream,
    describe_end,
)

logger = logging.getLogger(__name__)

WATCH_INTERVAL = timedelta(milliseconds=100)
FIRST_MESSAGE_LIMIT = timedelta(seconds=2)


class AnnouncementSessions:
    """Serves the connections of backend servers and watches for silence.

    Parameters
    ----------
    settings
        Times and sizes.
    entry
        The instance that this is.
    clock
        The entry's clock.
    ownership
        The domain's decisions.
    sink
        The router.
    """

    def __init__(
        self,
        settings: AnnouncementSettings,
        *,
        entry: InstanceName,
        clock: Clock,
        ownership: OwnershipPort,
        sink: GrantSink,
    ) -> None:
        self._settings = settings
        self._entry = entry
        self._clock = clock
        self._ownership = ownership
        self._sink = sink
        self._servers: dict[BackendServerId, AnnouncedServer] = {}
        self._newest: dict[BackendServerId, AnnouncementConnection] = {}
        self._leaving: set[BackendServerId] = set()
        self._connections = 0
        self._stopping = False

    @property
    def owned(self) -> tuple[BackendServerId, ...]:
        """The backend servers that this entry owns, ordered by id."""
        return tuple(
            sorted(server for server, known in self._servers.items() if known.granted)
        )

    async def serve(self, stream: MessageStream) -> None:
        """Serve one connection until it ends.

        Parameters
        ----------
        stream
            The connection of a backend server; it is closed on return.
        """
        watched = TimedStream(
            stream,
            send_timeout=self._settings.send_timeout,
            silence_timeout=FIRST_MESSAGE_LIMIT,
        )
        self._connections += 1
        try:
            await self._serve_first(watched)
        finally:
            self._connections -= 1
            await watched.close()

    async def watch(self) -> None:
        """Look for silent and gone backend servers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._clock.sleep(WATCH_INTERVAL)
                for server, known in list(self._servers.items()):
                    known.check_silence()
                    if server not in self._leaving and self._is_gone(server, known):
                        nursery.start_soon(self._release_gone, server, known)

    def reclaim_all(self) -> None:
        """Drop every grant and ask for it anew, under a new session."""
        for known in self._servers.values():
            known.drop_grant()

    async def hand_over_all(self) -> None:
        """Give every backend server up, so that other entries get them.

        No connection is accepted from then on. Requests in progress are
        better finished first: what still runs leaves its server in doubt.
        Without a quorum this waits; the caller sets the deadline.
        """
        self._stopping = True
        async with trio.open_nursery() as nursery:
            for known in self._servers.values():
                nursery.start_soon(known.hand_over)
        for connection in list(self._newest.values()):
            connection.cancel()

    async def _serve_first(self, watched: TimedStream) -> None:
        if self._stopping:
            return
        most = self._settings.max_connections
        if self._connections > most or len(self._servers) > most:
            await watched.send(ConnectionRefused(reason="too many backend servers"))
            return
        announce = await watched.receive()
        if not isinstance(announce, Announce):
            refusal = describe_end(announce) or "the first message has to be announce"
            await watched.send(ConnectionRefused(reason=refusal))
            return
        if self._is_rival(announce):
            reason = f"another process announces itself as {announce.server}"
            logger.warning("server-refused server=%s %s", announce.server, reason)
            await watched.send(ConnectionRefused(reason=reason))
            return
        await self._serve_server(watched, announce)

    async def _serve_server(self, watched: TimedStream, announce: Announce) -> None:
        before = self._newest.get(announce.server)
        if before is not None:
            before.cancel()
        known = self._servers.get(announce.server)
        if known is None:
            known = self._servers[announce.server] = self._make_server(announce)
        connection = AnnouncementConnection(
            watched,
            known,
            announce,
            entry=self._entry,
            choose_interval=self._choose_interval,
            clock=self._clock,
        )
        self._newest[announce.server] = connection
        try:
            await connection.run()
        finally:
            if self._newest.get(announce.server) is connection:
                del self._newest[announce.server]
                known.note_end()

    def _choose_interval(self) -> timedelta:
        return self._settings.choose_heartbeat_interval(len(self._newest))

    def _make_server(self, announce: Announce) -> AnnouncedServer:
        return AnnouncedServer(
            announce,
            settings=self._settings,
            clock=self._clock,
            ownership=self._ownership,
            sink=self._sink,
        )

    def _is_rival(self, announce: Announce) -> bool:
        known = self._servers.get(announce.server)
        if known is None or announce.server not in self._newest:
            return False
        other = known.announce.incarnation != announce.incarnation
        return other and known.silent_for < known.silence_timeout

    def _is_gone(self, server: BackendServerId, known: AnnouncedServer) -> bool:
        if server in self._newest:
            return False
        if known.announce.state is BackendServerState.LEAVING:
            return known.silent_for >= self._settings.silence_timeout
        return known.silent_for >= self._settings.release_after

    async def _release_gone(
        self, server: BackendServerId, known: AnnouncedServer
    ) -> None:
        # The record stays until the release is through: a server that comes
        # back meanwhile has to wait for it before it is claimed again.
        self._leaving.add(server)
        await known.release(removed=True)
        self._leaving.discard(server)
        if server not in self._newest:
            self._servers.pop(server, None)
