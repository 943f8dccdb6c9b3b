"""What a replica keeps in its durable storage."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from rhubarbfield.types import Incarnation, InstanceName, LogIndex, Term

MAX_NAME_LENGTH = 128
MAX_COMMAND_BYTES = 256 * 1024

Name = Annotated[InstanceName, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
IncarnationText = Annotated[Incarnation, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Index = Annotated[LogIndex, msgspec.Meta(ge=0)]
TermNumber = Annotated[Term, msgspec.Meta(ge=0)]
EntryData = Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)]


class ReplicaId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One life of a replica's storage.

    A replica whose storage was lost returns under the same name with another
    incarnation, and is another voter.

    Attributes
    ----------
    name
        The instance that runs the replica.
    incarnation
        The random id that was written when the storage was first used.
    """

    name: Name
    incarnation: IncarnationText


class EntryKind(IntEnum):
    """What a log entry is for."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OPERATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place in the replicated log.

    Attributes
    ----------
    index
        Its place; the first entry has 1.
    term
        The term of the leader that appended it.
    kind
        What ``data`` holds.
    data
        An encoded command or membership, or nothing.
    """

    index: Index
    term: TermNumber
    kind: EntryKind
    data: EntryData


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The index and term of an entry; zero and zero come before the first."""

    index: Index = LogIndex(0)
    term: TermNumber = Term(0)


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What must be durable before a replica answers a message.

    Attributes
    ----------
    incarnation
        The id of this storage; empty before its first use.
    term
        The highest term seen.
    vote
        Who was voted for in ``term``.
    commit
        An index known to be committed; it may lag behind.
    """

    incarnation: IncarnationText = Incarnation("")
    term: TermNumber = Term(0)
    vote: ReplicaId | None = None
    commit: Index = LogIndex(0)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of the machine after applying the entry at ``position``.

    Attributes
    ----------
    position
        The last entry that the snapshot includes.
    membership
        The encoded membership in force at ``position``.
    data
        What the machine returned from ``take_snapshot``.
    """

    position: LogPosition
    membership: bytes
    data: bytes


class StoredLog(msgspec.Struct, frozen=True):
    """All that a store holds.

    Attributes
    ----------
    hard_state
        The latest one saved.
    snapshot
        The latest snapshot, if one was saved.
    base
        The position just before the first of ``entries``.
    entries
        The entries kept, without gaps.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    base: LogPosition = LogPosition()
    entries: tuple[Entry, ...] = ()
