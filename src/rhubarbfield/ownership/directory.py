"""Questions about ownership that entries and operators ask."""

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
    """What the entries of a domain know of one backend server.

    Attributes
    ----------
    server, description, state, epoch
        As in :class:`~rhubarbfield.ownership.OwnedServer`.
    owner
        The entry that sends requests to it; None while no open session does.
    owner_address
        Where the owner takes announcements; empty while there is none.
    """

    server: BackendServerId
    description: ServerDescription
    state: BackendServerState
    epoch: Epoch
    owner: InstanceName | None
    owner_address: str


def list_directory(state: OwnershipState) -> tuple[DirectoryEntry, ...]:
    """Return every known backend server, ordered by its id.

    Parameters
    ----------
    state
        The ownership section of the domain's log.
    """
    return tuple(
        _describe(state, state.servers[server]) for server in sorted(state.servers)
    )


def plan_claim(
    state: OwnershipState, announced: AssignServer
) -> Result[AssignServer | ReassignServer, OwnedElsewhere]:
    """Return the command by which an entry gets a backend server.

    The plan may be out of date when it is applied; the command then answers
    so and changes nothing.

    Parameters
    ----------
    state
        The ownership section as the leader has applied it.
    announced
        The claim of an entry that got the server's announcement.

    Returns
    -------
    Result[AssignServer | ReassignServer, OwnedElsewhere]
        What to propose, or which entry may still send to the server.
    """
    server = state.servers.get(announced.server)
    if server is None or server.owner is None:
        return Success(announced)
    if server.owner == announced.entry and server.owner_session == announced.session:
        return Success(announced)
    if state.is_open(server.owner, server.owner_session):
        owner = state.sessions[server.owner]
        return Failure(
            OwnedElsewhere(
                owner=server.owner, address=owner.address, epoch=server.epoch
            )
        )
    return Success(_plan_succession(server, announced))


def _plan_succession(server: OwnedServer, announced: AssignServer) -> ReassignServer:
    return ReassignServer(
        server=server.server,
        description=announced.description,
        former_epoch=server.epoch,
        proof=OwnershipEndProof.LEASE_LAPSED,
        entry=announced.entry,
        session=announced.session,
        at=announced.at,
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
