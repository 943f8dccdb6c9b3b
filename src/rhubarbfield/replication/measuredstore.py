"""Log store that measures how long its disk takes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum

from returns.result import Result

from rhubarbfield.logs import log_event
from rhubarbfield.replication.metrics import STORE_SECONDS
from rhubarbfield.storage import (
    Entry,
    HardState,
    LogPosition,
    LogStore,
    Snapshot,
    StoredLog,
    StoreFailure,
)
from rhubarbfield.types import GroupId

logger = logging.getLogger(__name__)

SLOW_SYNC = timedelta(milliseconds=200)


class StoreOperation(Enum):
    """Operations that wait for the disk."""

    APPEND = "append"
    WRITE = "write"
    SYNC = "sync"
    SNAPSHOT = "snapshot"


class MeasuredStore:
    """Log store that measures the operations of another one.

    An operation that takes ``SLOW_SYNC`` or longer is logged as ``sync-slow``.

    Parameters
    ----------
    store
        The store that keeps the data.
    group
        The group whose log is stored.
    monotonic
        Returns monotonic time in seconds, in any thread: ``sync`` may run in one
        of its own, and must not be charged for the wait to get there.
    """

    def __init__(
        self, store: LogStore, group: GroupId, monotonic: Callable[[], float]
    ) -> None:
        self._store = store
        self._group = group
        self._monotonic = monotonic

    def load(self) -> Result[StoredLog, StoreFailure]:
        """Return all stored data."""
        return self._store.load()

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries."""
        return self._measure(
            StoreOperation.APPEND, lambda: self._store.append(hard_state, entries)
        )

    def write(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries, durable only after the next sync."""
        return self._measure(
            StoreOperation.WRITE, lambda: self._store.write(hard_state, entries)
        )

    def sync(self) -> Result[None, StoreFailure]:
        """Make all previous writes durable."""
        return self._measure(StoreOperation.SYNC, self._store.sync)

    def save_snapshot(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: Sequence[Entry],
    ) -> Result[None, StoreFailure]:
        """Save a snapshot and replace the stored entries."""
        return self._measure(
            StoreOperation.SNAPSHOT,
            lambda: self._store.save_snapshot(hard_state, snapshot, base, entries),
        )

    def discard(self) -> Result[None, StoreFailure]:
        """Set damaged data aside."""
        return self._store.discard()

    def _measure(
        self,
        operation: StoreOperation,
        run: Callable[[], Result[None, StoreFailure]],
    ) -> Result[None, StoreFailure]:
        started_at = self._monotonic()
        result = run()
        seconds = self._monotonic() - started_at
        STORE_SECONDS.labels(self._group, operation.value).observe(seconds)
        if seconds >= SLOW_SYNC.total_seconds():
            log_event(
                logger,
                logging.WARNING,
                "sync-slow",
                group=self._group,
                operation=operation,
                seconds=round(seconds, 3),
            )
        return result
