"""Which entry owns which backend server, as a failure domain's log has it."""

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
        The entry, and which of its processes.
    address
        ``host:port`` at which backend servers announce themselves.
    epoch
        The epoch of the session.
    ended
        Whether the entry released it, or its lease has lapsed by both clocks.
    """

    entry: InstanceName
    incarnation: Incarnation
    address: str
    epoch: Epoch
    ended: bool = False


class ServerDescription(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server announces of itself, apart from its state.

    Attributes
    ----------
    service
        What it serves.
    host, port
        Where it takes requests.
    slots, connections
        How many requests and connections it takes at once.
    close_delimited_answers
        Whether its answers may end with the connection, without a length.
    """

    service: ServiceName
    host: str
    port: int
    slots: int
    connections: int
    close_delimited_answers: bool = False


class OwnedServer(msgspec.Struct, kw_only=True):
    """A backend server that announced itself.

    Attributes
    ----------
    server
        Its id.
    description
        What it announced last.
    state
        Whether it takes new requests.
    owner
        The entry that may send requests to it; None while it has none.
    owner_session
        The epoch of the owner's session.
    epoch
        Grows with each new owner.
    since
        When the owner became it, in UTC.
    settled
        Whether it is proved that requests of earlier owners have ended.
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
        The last session of each entry, by instance name; one that has ended
        is dropped once it owns nothing.
    servers
        Each backend server that is known, by its id.
    last_epoch
        The last epoch given to a session or an owner. There is one counter
        for all of them, so that forgetting one never brings an epoch back.
    """

    sessions: dict[str, EntrySession] = msgspec.field(default_factory=dict)
    servers: dict[str, OwnedServer] = msgspec.field(default_factory=dict)
    last_epoch: Epoch = Epoch(0)

    def allocate_epoch(self) -> Epoch:
        """Return an epoch above all before it."""
        self.last_epoch = Epoch(self.last_epoch + 1)
        return self.last_epoch

    def is_open(self, entry: InstanceName, session: Epoch) -> bool:
        """Return whether this very session of ``entry`` has not ended."""
        found = self.sessions.get(entry)
        return found is not None and found.epoch == session and not found.ended
