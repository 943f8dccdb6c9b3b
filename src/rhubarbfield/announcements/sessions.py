"""The sessions of all backend servers with one entry."""

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
FIRST_MESSAGE_TIMEOUT = timedelta(seconds=2)


class AnnouncementSessions:
    """Serves the connections of backend servers and detects silent servers.

    Parameters
    ----------
    settings
        Timeouts, intervals and limits.
    entry
        The name of this entry.
    clock
        The entry's clock.
    ownership
        Claims and releases servers in the domain.
    sink
        Receives the owned servers for the router.
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
        self._active_connections: dict[BackendServerId, AnnouncementConnection] = {}
        self._releasing: set[BackendServerId] = set()
        self._connection_count = 0
        self._stopping = False

    @property
    def owned(self) -> tuple[BackendServerId, ...]:
        """The backend servers that this entry owns, ordered by id."""
        return tuple(
            sorted(
                server
                for server, announced in self._servers.items()
                if announced.granted
            )
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
            silence_timeout=FIRST_MESSAGE_TIMEOUT,
        )
        self._connection_count += 1
        try:
            await self._serve_first_message(watched)
        finally:
            self._connection_count -= 1
            await watched.close()

    async def watch(self) -> None:
        """Detect silent servers and release expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._clock.sleep(WATCH_INTERVAL)
                for server, announced in list(self._servers.items()):
                    announced.check_silence()
                    if server not in self._releasing and self._is_expired(
                        server, announced
                    ):
                        nursery.start_soon(self._release_expired, server, announced)

    def reclaim_all(self) -> None:
        """Drop every grant and claim all servers again under a new session."""
        for announced in self._servers.values():
            announced.drop_grant()

    async def hand_over_all(self) -> None:
        """Release every backend server, so that other entries can claim them.

        No connection is accepted from then on. Finish the requests in progress
        first: a server that still runs some is released as unsettled. Without a
        quorum this waits; the caller sets the deadline.
        """
        self._stopping = True
        async with trio.open_nursery() as nursery:
            for announced in self._servers.values():
                nursery.start_soon(announced.hand_over)
        for connection in list(self._active_connections.values()):
            connection.cancel()

    async def _serve_first_message(self, watched: TimedStream) -> None:
        if self._stopping:
            return
        limit = self._settings.max_connections
        if self._connection_count > limit or len(self._servers) > limit:
            await watched.send(ConnectionRefused(reason="too many backend servers"))
            return
        announce = await watched.receive()
        if not isinstance(announce, Announce):
            refusal = describe_end(announce) or "the first message has to be announce"
            await watched.send(ConnectionRefused(reason=refusal))
            return
        if self._is_duplicate(announce):
            reason = f"another process announces itself as {announce.server}"
            logger.warning("server-refused server=%s %s", announce.server, reason)
            await watched.send(ConnectionRefused(reason=reason))
            return
        await self._serve_server(watched, announce)

    async def _serve_server(self, watched: TimedStream, announce: Announce) -> None:
        previous = self._active_connections.get(announce.server)
        if previous is not None:
            previous.cancel()
        announced = self._servers.get(announce.server)
        if announced is None:
            announced = self._servers[announce.server] = self._make_server(announce)
        connection = AnnouncementConnection(
            watched,
            announced,
            announce,
            entry=self._entry,
            choose_interval=self._choose_interval,
            clock=self._clock,
        )
        self._active_connections[announce.server] = connection
        try:
            await connection.run()
        finally:
            if self._active_connections.get(announce.server) is connection:
                del self._active_connections[announce.server]
                announced.handle_disconnect()

    def _choose_interval(self) -> timedelta:
        return self._settings.choose_heartbeat_interval(len(self._active_connections))

    def _make_server(self, announce: Announce) -> AnnouncedServer:
        return AnnouncedServer(
            announce,
            settings=self._settings,
            clock=self._clock,
            ownership=self._ownership,
            sink=self._sink,
        )

    def _is_duplicate(self, announce: Announce) -> bool:
        announced = self._servers.get(announce.server)
        if announced is None or announce.server not in self._active_connections:
            return False
        is_other_process = announced.announce.incarnation != announce.incarnation
        return (
            is_other_process
            and announced.time_since_contact < announced.silence_timeout
        )

    def _is_expired(self, server: BackendServerId, announced: AnnouncedServer) -> bool:
        if server in self._active_connections:
            return False
        if announced.announce.state is BackendServerState.LEAVING:
            return announced.time_since_contact >= self._settings.silence_timeout
        return announced.time_since_contact >= self._settings.release_after

    async def _release_expired(
        self, server: BackendServerId, announced: AnnouncedServer
    ) -> None:
        # The record stays until the release has completed: a server that returns
        # meanwhile can be claimed only after that.
        self._releasing.add(server)
        await announced.release(removed=True)
        self._releasing.discard(server)
        if server not in self._active_connections:
            self._servers.pop(server, None)
