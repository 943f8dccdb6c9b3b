"""Replicated state: which entry owns which backend server of a failure domain."""

from __future__ import annotations

from datetime import datetime

import msgspec

from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    Incarnation,
    InstanceName,
    ServiceName,
)


class EntrySession(msgspec.Struct, kw_only=True):
    """The session of an entry, under which it owns backend servers.

    Attributes
    ----------
    entry, incarnation
        The entry, and the process of the entry that holds the session.
    address
        ``host:port`` at which the entry takes announcements of backend servers.
    epoch
        The epoch of the session.
    ended
        Whether the entry released the session, or its lease has lapsed for
        the holder and the grantor, each by its own clock.
    """

    entry: InstanceName
    incarnation: Incarnation
    address: str
    epoch: Epoch
    ended: bool = False


class ServerDescription(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server announces, apart from its state.

    Attributes
    ----------
    service
        The service that it runs.
    host, port
        Where it takes requests.
    slots, connections
        Maximum number of concurrent requests and of concurrent connections.
    close_delimited_answers
        Whether an answer without a length may be delimited by the close of
        the connection.
    """

    service: ServiceName
    host: str
    port: int
    slots: int
    connections: int
    close_delimited_answers: bool = False


class OwnedServer(msgspec.Struct, kw_only=True):
    """A backend server that has announced itself in the failure domain.

    Attributes
    ----------
    server
        The id of the server.
    description
        The last description that it announced.
    state
        Whether it takes new requests.
    owner
        The entry that may send requests to it, or None.
    owner_session
        The epoch of the owner's session.
    epoch
        The owner epoch; it increases with each new owner.
    since
        When ``owner`` became the owner, in UTC.
    settled
        Whether the requests of earlier owners are proved to have ended.
    """

    server: BackendServerId
    description: ServerDescription
    state: BackendServerState = BackendServerState.SERVING
    owner: InstanceName | None = None
    owner_session: Epoch = Epoch(0)
    epoch: Epoch = Epoch(0)
    since: datetime | None = None
    settled: bool = True


class OwnershipState(msgspec.Struct, kw_only=True):
    """The ownership section of a failure domain's log.

    Attributes
    ----------
    sessions
        The last session of each entry, by instance name. A session that has
        ended is removed once it owns no server.
    servers
        The backend servers that have announced themselves, by id.
    last_epoch
        The last epoch given to a session or an owner. All sessions and
        servers share one counter, so that an epoch is never reused after a
        session or server has been removed.
    """

    sessions: dict[str, EntrySession] = msgspec.field(default_factory=dict)
    servers: dict[str, OwnedServer] = msgspec.field(default_factory=dict)
    last_epoch: Epoch = Epoch(0)

    def allocate_epoch(self) -> Epoch:
        """Return a new epoch, greater than all earlier ones."""
        self.last_epoch = Epoch(self.last_epoch + 1)
        return self.last_epoch

    def is_open(self, entry: InstanceName, session: Epoch) -> bool:
        """Return whether ``session`` is the current session of ``entry`` and open."""
        found = self.sessions.get(entry)
        return found is not None and found.epoch == session and not found.ended
