"""The status of a replica, as shown to operators."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.replication.components import ReplicaComponents
from rhubarbfield.replication.state import NEVER, Role
from rhubarbfield.storage import ReplicaId, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, LogIndex, Term


class MemberStatus(msgspec.Struct, frozen=True):
    """The status of one member of a group.

    Attributes
    ----------
    id
        The member's name and incarnation.
    is_voter
        Whether it is a voter; otherwise it is a learner.
    match
        Index up to which its log matches the leader's; set by the leader only.
    silence
        Time since its last answer; set by the leader only.
    """

    id: ReplicaId
    is_voter: bool
    match: LogIndex | None = None
    silence: timedelta | None = None


class ReplicaStatus(msgspec.Struct, frozen=True):
    """The status of a replica and its group.

    Attributes
    ----------
    group
        The group.
    id
        The replica's name and incarnation; None before it runs.
    role
        The replica's role in its term.
    term
        The highest term seen.
    leader
        The leader, if known.
    has_lease
        Whether the replica is the leader and holds a valid lease.
    is_isolated
        Whether the replica is a voter without contact with a leader or, as the
        leader, with a quorum.
    is_current
        Whether the replica has, since it started, applied everything that was
        committed before.
    last, commit, applied
        The last index in the log, the commit index and the last applied index.
    members
        All known members.
    halted
        The failure of the store that stopped the replica, if any.
    store_note
        The damage found in the store when it was opened, if any.
    """

    group: GroupId
    id: ReplicaId | None = None
    role: Role = Role.FOLLOWER
    term: Term = Term(0)
    leader: InstanceName | None = None
    has_lease: bool = False
    is_isolated: bool = False
    is_current: bool = False
    last: LogIndex = LogIndex(0)
    commit: LogIndex = LogIndex(0)
    applied: LogIndex = LogIndex(0)
    members: tuple[MemberStatus, ...] = ()
    halted: StoreFailure | None = None
    store_note: StoreFailure | None = None


def describe_status(
    components: ReplicaComponents, store_note: StoreFailure | None
) -> ReplicaStatus:
    """Return the status of a running replica.

    Parameters
    ----------
    components
        The replica's components.
    store_note
        The damage found in its store when it was opened, if any.
    """
    state = components.state
    has_lease = components.get_leadership() is not None
    has_leader_contact = (
        state.now - state.last_contact_at <= state.settings.election_max
    )
    return ReplicaStatus(
        group=state.group,
        id=state.id,
        role=state.role,
        term=state.term,
        leader=state.leader.name if state.leader is not None else None,
        has_lease=has_lease,
        is_isolated=state.is_voter and not has_lease and not has_leader_contact,
        is_current=components.applier.is_current,
        last=state.log.last.index,
        commit=state.log.commit,
        applied=components.applier.applied,
        members=_list_members(components),
        halted=state.halted,
        store_note=store_note,
    )


def _list_members(components: ReplicaComponents) -> tuple[MemberStatus, ...]:
    voters = components.state.log.quorum.voters
    peers = components.leader.peers if components.leader is not None else {}
    members = []
    for member in sorted({*voters, *peers}):
        is_voter = member in voters
        peer = peers.get(member)
        if peer is None:
            members.append(MemberStatus(member, is_voter))
            continue
        was_contacted = peer.last_contact_at > NEVER
        silence = components.state.now - peer.last_contact_at if was_contacted else None
        members.append(MemberStatus(member, is_voter, peer.match_index, silence))
    return tuple(members)
