"""Interface to the durable storage of a replica's log, and its failures."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec
from returns.result import Result

from rhubarbfield.storage.records import (
    Entry,
    HardState,
    LogPosition,
    Snapshot,
    StoredLog,
)


class StoreDamaged(msgspec.Struct, frozen=True, tag=True):
    """The data read is not the data written; none of it can be relied on.

    Attributes
    ----------
    file
        Name of the damaged file.
    offset
        Position in the file where the damage was detected, in bytes.
    reason
        Description of the damage.
    """

    file: str
    offset: int
    reason: str


class SyncFailed(msgspec.Struct, frozen=True, tag=True):
    """The operating system reported an error; the store has stopped.

    The last writes may or may not be durable.

    Attributes
    ----------
    reason
        Error message of the operating system.
    """

    reason: str


class DiskFull(msgspec.Struct, frozen=True, tag=True):
    """The disk is full; nothing was changed and a later attempt may succeed."""


class StoreInUse(msgspec.Struct, frozen=True, tag=True):
    """Another process uses the same files; nothing was read.

    Attributes
    ----------
    reason
        Description that names the folder.
    """

    reason: str


StoreFailure = StoreDamaged | SyncFailed | DiskFull | StoreInUse


class LogStore(Protocol):
    """Durable storage of one replica of one group.

    Every method except ``write`` returns only once its own effect and that of
    all previous writes is durable. Methods block, as a replica must not answer
    a message before the state that its answer relies on is durable. Only
    ``sync`` may run in a separate thread; other calls except ``write`` wait for
    it.
    """

    def load(self) -> Result[StoredLog, StoreFailure]:
        """Return all stored data; called first, and again only after it failed."""

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries as a unit.

        Parameters
        ----------
        hard_state
            Replaces the previous hard state.
        entries
            New entries without gaps. Entries stored at or after the index of
            the first one are dropped.
        """

    def write(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        """Save like ``append``, but durable only after the next ``sync``."""

    def sync(self) -> Result[None, StoreFailure]:
        """Make all previous writes durable."""

    def save_snapshot(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: Sequence[Entry],
    ) -> Result[None, StoreFailure]:
        """Save a snapshot and replace the stored entries.

        Parameters
        ----------
        hard_state
            Replaces the previous hard state.
        snapshot
            Replaces the previous snapshot.
        base
            Position just before the first of ``entries``; not after the
            position of the snapshot.
        entries
            All entries to keep.
        """

    def discard(self) -> Result[None, StoreFailure]:
        """Set damaged data aside, so that ``load`` finds an empty store."""
