"""What a replica tells operators of itself."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.replication.components import ReplicaComponents
from rhubarbfield.replication.state import NEVER, Role
from rhubarbfield.storage import ReplicaId, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, LogIndex, Term


class MemberStatus(msgspec.Struct, frozen=True):
    """What is known of one member.

    Attributes
    ----------
    id
        Its name and incarnation.
    is_voter
        Whether it votes; else it is a learner.
    match
        Up to where it is known to have the log; known to the leader only.
    silence
        Time since it last answered; known to the leader only.
    """

    id: ReplicaId
    is_voter: bool
    match: LogIndex | None = None
    silence: timedelta | None = None


class ReplicaStatus(msgspec.Struct, frozen=True):
    """What a replica knows of itself and its group.

    Attributes
    ----------
    group
        The group.
    id
        Its own name and incarnation; None before it runs.
    role
        What it does in its term.
    term
        The highest term it has seen.
    leader
        The leader, if one is known.
    has_lease
        Whether it leads and holds a valid lease.
    is_isolated
        Whether it is a voter that hears neither a leader nor, leading, a
        quorum.
    is_current
        Whether it has, since it started, shown all that was committed before.
    last, commit, applied
        The last index in its log, known to be committed, and applied.
    members
        All the members it knows.
    halted
        Why it stopped, if its storage failed.
    store_note
        What was wrong with the storage when it was opened, if anything.
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
    parts
        What it is made of.
    store_note
        What was wrong with its storage when it was opened, if anything.
    """
    state = components.state
    has_lease = (
        components.leader is not None and components.leader.get_leadership() is not None
    )
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
