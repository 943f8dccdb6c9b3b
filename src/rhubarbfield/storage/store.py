"""The port through which a replica keeps its log, and how it may fail."""

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
    """What was read is not what was written; nothing in it can be trusted.

    Attributes
    ----------
    file
        The damaged file.
    offset
        Where in the file the damage was noticed, in bytes.
    reason
        What was found there.
    """

    file: str
    offset: int
    reason: str


class SyncFailed(msgspec.Struct, frozen=True, tag=True):
    """The system refused an operation; the store has stopped.

    What was last written may or may not be durable.

    Attributes
    ----------
    reason
        The system's own words.
    """

    reason: str


class DiskFull(msgspec.Struct, frozen=True, tag=True):
    """There was no room; nothing was changed and a later try may succeed."""


class StoreInUse(msgspec.Struct, frozen=True, tag=True):
    """Another process works with the same files; nothing was read.

    Attributes
    ----------
    reason
        Which folder, and what to do.
    """

    reason: str


StoreFailure = StoreDamaged | SyncFailed | DiskFull | StoreInUse


class LogStore(Protocol):
    """Durable storage of one replica of one group.

    Every method but ``write`` returns only once its effect, and that of all
    writes before it, is durable. Methods block: a replica must not answer a
    message before what it answers is durable. Only ``sync`` may run in a
    thread of its own; other calls wait for it, but for ``write``.
    """

    def load(self) -> Result[StoredLog, StoreFailure]:
        """Return all that is stored; called once, before anything else."""

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries, as one.

        Parameters
        ----------
        hard_state
            Replaces the one saved before.
        entries
            Without gaps. Entries stored at or after the first of them are
            dropped.
        """

    def write(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        """Do what ``append`` does, durable only after the next ``sync``."""

    def sync(self) -> Result[None, StoreFailure]:
        """Make durable what was written."""

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
            Replaces the one saved before.
        snapshot
            Replaces the one saved before.
        base
            The position just before the first of ``entries``, at or before
            that of the snapshot.
        entries
            All the entries to keep.
        """

    def discard(self) -> Result[None, StoreFailure]:
        """Set damaged contents aside, so that ``load`` finds an empty store."""
