"""Application of ownership commands to the replicated state."""

from __future__ import annotations

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.machine import Done, Refused, Reply
from rhubarbfield.ownership.commands import (
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OpenEntrySession,
    OwnedElsewhere,
    OwnershipEndProof,
    ReassignServer,
    ReleaseServer,
    ServerAssigned,
    SessionEpoch,
    SetServerState,
    SettleServer,
    StaleEpoch,
    UpdateServer,
    ownership_commands,
)
from rhubarbfield.ownership.state import EntrySession, OwnedServer, OwnershipState
from rhubarbfield.types import BackendServerId, Epoch, InstanceName


@ownership_commands.applies(OpenEntrySession)
def open_entry_session(state: OwnershipState, command: OpenEntrySession) -> Reply:
    """Open a session, or return the one that this process already has open."""
    found = state.sessions.get(command.entry)
    if found is not None and not found.ended:
        if found.incarnation == command.incarnation:
            found.address = command.address
            return SessionEpoch(epoch=found.epoch)
        return Refused(reason="the lease of the entry's former process has not lapsed")
    session = EntrySession(
        entry=command.entry,
        incarnation=command.incarnation,
        address=command.address,
        epoch=state.allocate_epoch(),
    )
    state.sessions[command.entry] = session
    return SessionEpoch(epoch=session.epoch)


@ownership_commands.applies(EndEntrySession)
def end_entry_session(state: OwnershipState, command: EndEntrySession) -> Reply:
    """End a session; its servers become unsettled and can be reassigned."""
    found = state.sessions.get(command.entry)
    if found is None or found.epoch != command.session:
        return StaleEpoch(epoch=Epoch(0) if found is None else found.epoch)
    if found.ended:
        return Done()
    owned = _list_owned(state, command.entry, command.session)
    if command.proof is OwnershipEndProof.RELEASED and owned:
        return Refused(reason=f"the entry still owns {len(owned)} backend servers")
    for server in owned:
        server.settled = False
    found.ended = True
    _drop_ended_session(state, command.entry)
    return Done()


@ownership_commands.applies(AssignServer)
def assign_server(state: OwnershipState, command: AssignServer) -> Reply:
    """Make an entry the owner of a server that has no owner."""
    if not state.is_open(command.entry, command.session):
        return StaleEpoch(epoch=_find_session_epoch(state, command.entry))
    server = state.servers.get(command.server)
    if server is None:
        server = OwnedServer(server=command.server, description=command.description)
        state.servers[command.server] = server
    elif server.owner is not None:
        if _is_owned_by(server, command.entry, command.session):
            return ServerAssigned(epoch=server.epoch, settled=server.settled)
        return _make_owner_reply(state, server)
    return _set_owner(state, server, command)


@ownership_commands.applies(ReassignServer)
def reassign_server(state: OwnershipState, command: ReassignServer) -> Reply:
    """Move a server to a new owner once the former owner can no longer send."""
    server = state.servers.get(command.server)
    if server is None or server.epoch != command.former_epoch:
        return _make_stale_reply(server)
    if not state.is_open(command.entry, command.session):
        return StaleEpoch(epoch=_find_session_epoch(state, command.entry))
    if not _is_proof_valid(state, server, command.proof):
        return _make_owner_reply(state, server)
    return _set_owner(state, server, command)


@ownership_commands.applies(ReleaseServer)
def release_server(state: OwnershipState, command: ReleaseServer) -> Reply:
    """Remove the owner of a server at the owner's request."""
    server = _find_owned(state, command.server, command.epoch)
    if server is None:
        return _make_stale_reply(state.servers.get(command.server))
    server.owner = None
    server.settled = command.settled
    return Done()


@ownership_commands.applies(ForgetServer)
def forget_server(state: OwnershipState, command: ForgetServer) -> Reply:
    """Remove a server on which no request runs any more."""
    server = state.servers.get(command.server)
    if server is None or server.epoch != command.epoch:
        return _make_stale_reply(server)
    if not command.settled:
        return Refused(reason="requests may still run on the backend server")
    del state.servers[command.server]
    if server.owner is not None:
        _drop_ended_session(state, server.owner)
    return Done()


@ownership_commands.applies(SetServerState)
def set_server_state(state: OwnershipState, command: SetServerState) -> Reply:
    """Set whether a server takes new requests."""
    server = _find_owned(state, command.server, command.epoch)
    if server is None:
        return _make_stale_reply(state.servers.get(command.server))
    server.state = command.state
    return Done()


@ownership_commands.applies(SettleServer)
def settle_server(state: OwnershipState, command: SettleServer) -> Reply:
    """Record that no request of an earlier owner still runs on a server."""
    server = _find_owned(state, command.server, command.epoch)
    if server is None:
        return _make_stale_reply(state.servers.get(command.server))
    server.settled = True
    return Done()


@ownership_commands.applies(UpdateServer)
def update_server(state: OwnershipState, command: UpdateServer) -> Reply:
    """Replace the address and capacity of a server."""
    server = _find_owned(state, command.server, command.epoch)
    if server is None:
        return _make_stale_reply(state.servers.get(command.server))
    server.description = command.description
    return Done()


def _list_owned(
    state: OwnershipState, entry: InstanceName, session: Epoch
) -> list[OwnedServer]:
    return [
        server
        for server in state.servers.values()
        if _is_owned_by(server, entry, session)
    ]


def _is_owned_by(server: OwnedServer, entry: InstanceName, session: Epoch) -> bool:
    return server.owner == entry and server.owner_session == session


def _is_proof_valid(
    state: OwnershipState, server: OwnedServer, proof: OwnershipEndProof
) -> bool:
    if proof is OwnershipEndProof.RELEASED or server.owner is None:
        return server.owner is None
    return not state.is_open(server.owner, server.owner_session)


def _set_owner(
    state: OwnershipState, server: OwnedServer, command: AssignServer | ReassignServer
) -> ServerAssigned:
    former, former_epoch = server.owner, server.epoch
    check_invariant(
        former is None or not state.is_open(former, server.owner_session),
        "one-owner-at-a-time",
        server,
    )
    server.epoch = state.allocate_epoch()
    check_invariant(
        server.epoch > former_epoch, "owner-epoch-grows", (former_epoch, server)
    )
    server.description = command.description
    server.owner = command.entry
    server.owner_session = command.session
    server.since = command.at
    if former is not None:
        _drop_ended_session(state, former)
    return ServerAssigned(epoch=server.epoch, settled=server.settled)


def _drop_ended_session(state: OwnershipState, entry: InstanceName) -> None:
    session = state.sessions.get(entry)
    if session is None or not session.ended:
        return
    if not _list_owned(state, entry, session.epoch):
        del state.sessions[entry]


def _find_owned(
    state: OwnershipState, server: BackendServerId, epoch: Epoch
) -> OwnedServer | None:
    found = state.servers.get(server)
    if found is None or found.owner is None or found.epoch != epoch:
        return None
    return found if state.is_open(found.owner, found.owner_session) else None


def _find_session_epoch(state: OwnershipState, entry: InstanceName) -> Epoch:
    found = state.sessions.get(entry)
    return Epoch(0) if found is None else found.epoch


def _make_stale_reply(server: OwnedServer | None) -> StaleEpoch:
    return StaleEpoch(epoch=Epoch(0) if server is None else server.epoch)


def _make_owner_reply(state: OwnershipState, server: OwnedServer) -> Reply:
    if server.owner is None or not state.is_open(server.owner, server.owner_session):
        return StaleEpoch(epoch=server.epoch)
    return OwnedElsewhere(
        owner=server.owner,
        address=state.sessions[server.owner].address,
        epoch=server.epoch,
    )
