"""Data that a replica keeps in its durable storage."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from rhubarbfield.types import Incarnation, InstanceName, LogIndex, Term

MAX_NAME_LENGTH = 128
MAX_COMMAND_BYTES = 2 * 1024 * 1024  # a configuration of 5,000 queues

Name = Annotated[InstanceName, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
IncarnationText = Annotated[Incarnation, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Index = Annotated[LogIndex, msgspec.Meta(ge=0)]
TermNumber = Annotated[Term, msgspec.Meta(ge=0)]
EntryData = Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)]


class ReplicaId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identity of a replica with one incarnation of its storage.

    A replica whose storage was lost returns under the same name with a new
    incarnation and counts as a different voter.

    Attributes
    ----------
    name
        Instance that runs the replica.
    incarnation
        Random id that was written when the storage was first used.
    """

    name: Name
    incarnation: IncarnationText


class EntryKind(IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OPERATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a replicated log.

    Attributes
    ----------
    index
        Position in the log; the first entry has index 1.
    term
        Term of the leader that appended the entry.
    kind
        Kind of the content of ``data``.
    data
        Encoded command or membership; empty for an entry without operation.
    """

    index: Index
    term: TermNumber
    kind: EntryKind
    data: EntryData


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Index and term of an entry; both are 0 before the first entry."""

    index: Index = LogIndex(0)
    term: TermNumber = Term(0)


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that must be durable before a replica answers a message.

    Attributes
    ----------
    incarnation
        Id of this storage; empty before its first use.
    term
        Highest term seen.
    vote
        Candidate that received this replica's vote in ``term``.
    commit
        Index known to be committed; may be lower than the actual commit index.
    founders
        Names of the founding voters, on one that may take part in founding its
        group; empty on any other, and once the log has an entry.
    """

    incarnation: IncarnationText = Incarnation("")
    term: TermNumber = Term(0)
    vote: ReplicaId | None = None
    commit: Index = LogIndex(0)
    founders: tuple[Name, ...] = ()


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after applying the entry at ``position``.

    Attributes
    ----------
    position
        Position of the last entry that the snapshot includes.
    membership
        Encoded membership in effect at ``position``.
    data
        Encoded state as returned by the state machine's ``take_snapshot``.
    """

    position: LogPosition
    membership: bytes
    data: bytes


class StoredLog(msgspec.Struct, frozen=True):
    """Contents of a log store.

    Attributes
    ----------
    hard_state
        Latest saved hard state.
    snapshot
        Latest snapshot, if one was saved.
    base
        Position just before the first of ``entries``.
    entries
        Stored entries, without gaps.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    base: LogPosition = LogPosition()
    entries: tuple[Entry, ...] = ()
