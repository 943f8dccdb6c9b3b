"""Commands that change ownership, and their replies."""

from __future__ import annotations

from datetime import datetime
from enum import StrEnum

from rhubarbfield.machine import Command, CommandRegistry, Reply
from rhubarbfield.ownership.state import OwnershipState, ServerDescription
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    Incarnation,
    InstanceName,
)

ownership_commands: CommandRegistry[OwnershipState] = CommandRegistry()


class OwnershipEndProof(StrEnum):
    """How it is proved that a former owner can no longer send requests."""

    LEASE_LAPSED = "lease-lapsed"
    RELEASED = "released"


class OpenEntrySession(Command, frozen=True, kw_only=True):
    """Open a session, under which an entry may own backend servers.

    Attributes
    ----------
    entry, incarnation, address
        As in :class:`~rhubarbfield.ownership.EntrySession`.
    at
        When the leader proposed the command.
    """

    entry: InstanceName
    incarnation: Incarnation
    address: str
    at: datetime


class EndEntrySession(Command, frozen=True, kw_only=True):
    """End the session of an entry.

    Attributes
    ----------
    entry, session
        The entry, and the epoch of its session.
    proof
        How it is proved that the entry no longer sends requests under the
        session. With ``LEASE_LAPSED``, requests may still run on its servers.
    at
        When the leader proposed the command.
    """

    entry: InstanceName
    session: Epoch
    proof: OwnershipEndProof
    at: datetime


class AssignServer(Command, frozen=True, kw_only=True):
    """Assign a backend server that no entry owns to an owner.

    Idempotent: when the owner repeats the command, nothing changes and the
    reply has the same epoch.

    Attributes
    ----------
    server, description
        The server, and what it announced.
    entry, session
        The new owner, and the epoch of its open session.
    at
        When the leader proposed the command.
    """

    server: BackendServerId
    description: ServerDescription
    entry: InstanceName
    session: Epoch
    at: datetime


class ReassignServer(Command, frozen=True, kw_only=True):
    """Move a backend server from one owner to another.

    Attributes
    ----------
    server, description
        The server, and what it announced to the new owner.
    former_epoch
        The owner epoch that ends. If another epoch is in force, the owner
        has changed concurrently and the command changes nothing.
    proof
        How it is proved that the former owner can no longer send requests.
    entry, session
        The new owner, and the epoch of its open session.
    at
        When the leader proposed the command.
    """

    server: BackendServerId
    description: ServerDescription
    former_epoch: Epoch
    proof: OwnershipEndProof
    entry: InstanceName
    session: Epoch
    at: datetime


class ReleaseServer(Command, frozen=True, kw_only=True):
    """Release a backend server to which its owner has stopped sending requests.

    Attributes
    ----------
    server, epoch
        The server, and the owner epoch that ends.
    settled
        Whether every request sent to the server, by this owner or an earlier
        one, is proved to have ended.
    """

    server: BackendServerId
    epoch: Epoch
    settled: bool


class ForgetServer(Command, frozen=True, kw_only=True):
    """Remove a backend server permanently.

    Refused while requests may still run on the server: if it announced itself
    again under the same name, all its slots would count as free, and these
    requests would exceed them.

    Attributes
    ----------
    server, epoch
        The server, and its last owner epoch.
    settled
        Whether every request sent to the server is proved to have ended.
    """

    server: BackendServerId
    epoch: Epoch
    settled: bool


class SetServerState(Command, frozen=True, kw_only=True):
    """Set whether a backend server takes new requests."""

    server: BackendServerId
    epoch: Epoch
    state: BackendServerState


class SettleServer(Command, frozen=True, kw_only=True):
    """Record that the requests of earlier owners are proved to have ended."""

    server: BackendServerId
    epoch: Epoch


class UpdateServer(Command, frozen=True, kw_only=True):
    """Replace the address and capacity that a backend server announced."""

    server: BackendServerId
    epoch: Epoch
    description: ServerDescription


class SessionEpoch(Reply, frozen=True, kw_only=True):
    """The entry's session is open, with this epoch."""

    epoch: Epoch


class ServerAssigned(Reply, frozen=True, kw_only=True):
    """The entry owns the backend server.

    Attributes
    ----------
    epoch
        The owner epoch, which the owner attaches to each request that it
        sends to the server.
    settled
        False while requests of earlier owners may still run. The new owner
        counts all slots as taken until these requests are proved to have
        ended.
    """

    epoch: Epoch
    settled: bool


class OwnedElsewhere(Reply, frozen=True, kw_only=True):
    """Another entry owns the backend server and may still send to it.

    Attributes
    ----------
    owner, address
        The owner, and the address at which it takes announcements.
    epoch
        The owner epoch.
    """

    owner: InstanceName
    address: str
    epoch: Epoch


class StaleEpoch(Reply, frozen=True, kw_only=True):
    """The command has an epoch that is not in force; nothing changed.

    Attributes
    ----------
    epoch
        The epoch that is in force; zero if there is none.
    """

    epoch: Epoch


OWNERSHIP_REPLIES = (SessionEpoch, ServerAssigned, OwnedElsewhere, StaleEpoch)
