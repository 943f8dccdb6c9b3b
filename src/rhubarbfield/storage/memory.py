"""Log store in the memory of the process."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Result, Success

from rhubarbfield.storage.records import (
    Entry,
    HardState,
    LogPosition,
    Snapshot,
    StoredLog,
)
from rhubarbfield.storage.store import StoreFailure


class MemoryStore:
    """Log store that keeps all data in memory.

    It serves instances without a disk: after a restart, their replica returns
    as one whose storage was lost.
    """

    def __init__(self) -> None:
        self._hard_state = HardState()
        self._snapshot: Snapshot | None = None
        self._base = LogPosition()
        self._entries: list[Entry] = []

    def load(self) -> Result[StoredLog, StoreFailure]:
        """Return all stored data."""
        return Success(
            StoredLog(
                self._hard_state, self._snapshot, self._base, tuple(self._entries)
            )
        )

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries."""
        self._hard_state = hard_state
        if entries:
            del self._entries[entries[0].index - self._base.index - 1 :]
            self._entries.extend(entries)
        return Success(None)

    def write(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries."""
        return self.append(hard_state, entries)

    def sync(self) -> Result[None, StoreFailure]:
        """Do nothing, as all data lasts as long as the process."""
        return Success(None)

    def save_snapshot(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: Sequence[Entry],
    ) -> Result[None, StoreFailure]:
        """Save a snapshot and replace the stored entries."""
        self._hard_state = hard_state
        self._snapshot = snapshot
        self._base = base
        self._entries = list(entries)
        return Success(None)

    def discard(self) -> Result[None, StoreFailure]:
        """Delete all stored data."""
        self._hard_state = HardState()
        self._snapshot = None
        self._base = LogPosition()
        self._entries = []
        return Success(None)
