"""Read-only queries of the ownership state, for entries and operators."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.ownership.commands import (
    AssignServer,
    OwnedElsewhere,
    OwnershipEndProof,
    ReassignServer,
)
from rhubarbfield.ownership.state import (
    OwnedServer,
    OwnershipState,
    ServerDescription,
)
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    InstanceName,
)


class DirectoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as the entries of its failure domain see it.

    Attributes
    ----------
    server, description, state, epoch
        As in :class:`~rhubarbfield.ownership.OwnedServer`.
    owner
        The entry that sends requests to the server; None while no entry with
        an open session owns it.
    owner_address
        The address at which the owner takes announcements; empty while there
        is no owner.
    """

    server: BackendServerId
    description: ServerDescription
    state: BackendServerState
    epoch: Epoch
    owner: InstanceName | None
    owner_address: str


def list_directory(state: OwnershipState) -> tuple[DirectoryEntry, ...]:
    """Return every backend server of the failure domain, ordered by id.

    Parameters
    ----------
    state
        The ownership section of the domain's log.
    """
    return tuple(
        _describe(state, state.servers[server]) for server in sorted(state.servers)
    )


def plan_claim(
    state: OwnershipState, claim: AssignServer
) -> Result[AssignServer | ReassignServer, OwnedElsewhere]:
    """Return the command that makes an entry the owner of a backend server.

    The state may change before the command is applied; the command then
    changes nothing and its reply says so.

    Parameters
    ----------
    state
        The ownership section as the leader has applied it.
    claim
        The claim of the entry that received the server's announcement.

    Returns
    -------
    Result[AssignServer | ReassignServer, OwnedElsewhere]
        The command to propose, or the entry that may still send requests to
        the server.
    """
    server = state.servers.get(claim.server)
    if server is None or server.owner is None:
        return Success(claim)
    if server.owner == claim.entry and server.owner_session == claim.session:
        return Success(claim)
    if state.is_open(server.owner, server.owner_session):
        owner = state.sessions[server.owner]
        return Failure(
            OwnedElsewhere(
                owner=server.owner, address=owner.address, epoch=server.epoch
            )
        )
    return Success(_make_reassignment(server, claim))


def _make_reassignment(server: OwnedServer, claim: AssignServer) -> ReassignServer:
    return ReassignServer(
        server=server.server,
        description=claim.description,
        former_epoch=server.epoch,
        proof=OwnershipEndProof.LEASE_LAPSED,
        entry=claim.entry,
        session=claim.session,
        at=claim.at,
    )


def _describe(state: OwnershipState, server: OwnedServer) -> DirectoryEntry:
    owner = server.owner
    if owner is not None and not state.is_open(owner, server.owner_session):
        owner = None
    return DirectoryEntry(
        server=server.server,
        description=server.description,
        state=server.state,
        epoch=server.epoch,
        owner=owner,
        owner_address="" if owner is None else state.sessions[owner].address,
    )
