"""The commands that change ownership, and what they answer."""

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
    """Why a former owner can't send requests any more."""

    LEASE_LAPSED = "lease-lapsed"
    RELEASED = "released"


class OpenEntrySession(Command, frozen=True, kw_only=True):
    """An entry starts to own backend servers in this domain.

    Attributes
    ----------
    entry, incarnation, address
        As in :class:`~rhubarbfield.ownership.EntrySession`.
    at
        When the leader proposed it.
    """

    entry: InstanceName
    incarnation: Incarnation
    address: str
    at: datetime


class EndEntrySession(Command, frozen=True, kw_only=True):
    """The entry can't rely on its session any more.

    Attributes
    ----------
    entry, session
        Whose session, and its epoch.
    proof
        How that is known. With ``LEASE_LAPSED`` its servers stay in doubt.
    at
        When the leader proposed it.
    """

    entry: InstanceName
    session: Epoch
    proof: OwnershipEndProof
    at: datetime


class AssignServer(Command, frozen=True, kw_only=True):
    """A backend server that no entry owns gets an owner.

    Sent again by its owner, it changes nothing and answers the same epoch.

    Attributes
    ----------
    server, description
        The server, and what it announced.
    entry, session
        The new owner and its open session.
    at
        When the leader proposed it.
    """

    server: BackendServerId
    description: ServerDescription
    entry: InstanceName
    session: Epoch
    at: datetime


class ReassignServer(Command, frozen=True, kw_only=True):
    """A backend server passes from one owner to another.

    Attributes
    ----------
    server, description
        The server, and what it announced to the new owner.
    former_epoch
        The owner epoch that ends; another one found means a lost race.
    proof
        How it is known that the former owner can't send any more.
    entry, session
        The new owner and its open session.
    at
        When the leader proposed it.
    """

    server: BackendServerId
    description: ServerDescription
    former_epoch: Epoch
    proof: OwnershipEndProof
    entry: InstanceName
    session: Epoch
    at: datetime


class ReleaseServer(Command, frozen=True, kw_only=True):
    """An owner gives a backend server up; it has stopped sending to it.

    Attributes
    ----------
    server, epoch
        Which server, and the owner epoch that ends.
    settled
        Whether every request sent to it, by this owner or before, is proved
        to have ended.
    """

    server: BackendServerId
    epoch: Epoch
    settled: bool


class ForgetServer(Command, frozen=True, kw_only=True):
    """A backend server is gone for good.

    Refused while requests may still run on it, since a server that comes
    back under the same name would get them on top of its slots.

    Attributes
    ----------
    server, epoch
        Which server, and its last owner epoch.
    settled
        Whether every request sent to it is proved to have ended.
    """

    server: BackendServerId
    epoch: Epoch
    settled: bool


class SetServerState(Command, frozen=True, kw_only=True):
    """A backend server starts or stops to take new requests."""

    server: BackendServerId
    epoch: Epoch
    state: BackendServerState


class SettleServer(Command, frozen=True, kw_only=True):
    """The owner has proof that requests of earlier owners have ended."""

    server: BackendServerId
    epoch: Epoch


class UpdateServer(Command, frozen=True, kw_only=True):
    """A backend server announces another address or capacity."""

    server: BackendServerId
    epoch: Epoch
    description: ServerDescription


class SessionEpoch(Reply, frozen=True, kw_only=True):
    """The entry's session is open under this epoch."""

    epoch: Epoch


class ServerAssigned(Reply, frozen=True, kw_only=True):
    """The entry owns the backend server.

    Attributes
    ----------
    epoch
        The owner epoch, to be put on every effect.
    settled
        False while requests of an earlier owner may still run; the new owner
        starts with all slots taken until it has proof.
    """

    epoch: Epoch
    settled: bool


class OwnedElsewhere(Reply, frozen=True, kw_only=True):
    """Another entry owns the backend server and may still send to it.

    Attributes
    ----------
    owner, address
        The owner and where it takes announcements.
    epoch
        The owner epoch.
    """

    owner: InstanceName
    address: str
    epoch: Epoch


class StaleEpoch(Reply, frozen=True, kw_only=True):
    """The command came under an epoch that is not in force; nothing changed.

    Attributes
    ----------
    epoch
        The epoch that is in force; zero if there is none.
    """

    epoch: Epoch


OWNERSHIP_REPLIES = (SessionEpoch, ServerAssigned, OwnedElsewhere, StaleEpoch)
