"""Applying committed entries to the state machine, and taking snapshots."""

from __future__ import annotations

import heapq
import itertools
from typing import Protocol

import trio

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.log import encode_membership
from rhubarbfield.replication.proposals import Proposals
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import Entry, EntryKind, LogPosition, Snapshot
from rhubarbfield.types import LogIndex

APPLY_BATCH_ENTRIES = 128
SNAPSHOT_RETRY_ENTRIES = 100
SNAPSHOT_RETRIES_IN_BOUND = 8


class StateMachine(Protocol):
    """A deterministic state machine that applies the commands of a log."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply the command at ``index`` and return its reply."""

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot."""


class Applier:
    """Applies committed entries to the state machine and takes snapshots of it.

    Parameters
    ----------
    state
        The replica's state.
    machine
        The state machine.
    proposals
        The replica's proposals, finished with the replies to their commands.
    """

    def __init__(
        self, state: ReplicaState, machine: StateMachine, proposals: Proposals
    ) -> None:
        self._state = state
        self._machine = machine
        self._proposals = proposals
        self._waiting: list[tuple[LogIndex, int, trio.Event]] = []
        self._sequence = itertools.count()
        self._current_index: LogIndex | None = None
        self.applied = LogIndex(0)
        self._bytes_applied = 0
        self._plan_snapshot()
        self.is_current = False
        self.became_current = trio.Event()
        if state.log.snapshot is not None:
            self.restore(state.log.snapshot)

    async def run(self) -> None:
        """Apply entries as they are committed, until cancelled."""
        state = self._state
        while True:
            self._apply_batch()
            if self.applied < state.log.commit:
                await trio.lowlevel.checkpoint()
            else:
                await state.commit_advanced.wait()

    def restore(self, snapshot: Snapshot) -> None:
        """Restore the state machine from a snapshot ahead of its state."""
        index = snapshot.position.index
        check_invariant(
            index > self.applied, "applied-only-grows", (self.applied, index)
        )
        self._machine.restore(snapshot.data)
        self._set_applied(index)
        self._plan_snapshot()

    def record_leader_commit(self, commit: LogIndex) -> None:
        """Record the commit index of a leader that holds its lease.

        The replica is not current before the first one recorded is applied.
        """
        if self._current_index is None:
            self._current_index = commit
        self._update_current()

    async def wait_applied(self, index: LogIndex) -> None:
        """Wait until the entry at ``index`` is applied."""
        if self.applied >= index:
            await trio.lowlevel.checkpoint()
            return
        event = trio.Event()
        heapq.heappush(self._waiting, (index, next(self._sequence), event))
        await event.wait()

    def _apply_batch(self) -> None:
        log = self._state.log
        until = min(log.commit, self.applied + APPLY_BATCH_ENTRIES)
        while self.applied < until and not self._is_snapshot_due:
            entry = log.get_entry(LogIndex(self.applied + 1))
            check_invariant(
                entry.index == self.applied + 1,
                "applied-in-order",
                (self.applied, entry.index),
            )
            reply = self._apply(entry)
            self._set_applied(entry.index)
            self._bytes_applied += len(entry.data)
            self._proposals.finish_applied(entry, reply)
        if self._is_snapshot_due:
            self._take_snapshot()

    @property
    def _is_snapshot_due(self) -> bool:
        return self.applied >= self._due_index or self._bytes_applied >= self._due_bytes

    def _plan_snapshot(self) -> None:
        """Take the next snapshot once enough is applied from now on."""
        settings = self._state.settings
        last = self._state.log.snapshot
        self._bytes_applied = 0
        self._due_index = self.applied + settings.snapshot_after
        # Otherwise a snapshot larger than the bound would be written every few entries.
        self._due_bytes = max(settings.snapshot_bytes, len(last.data) if last else 0)

    def _plan_retry(self) -> None:
        self._due_index = self.applied + SNAPSHOT_RETRY_ENTRIES
        bound = self._state.settings.snapshot_bytes
        self._due_bytes = self._bytes_applied + bound // SNAPSHOT_RETRIES_IN_BOUND + 1

    def _apply(self, entry: Entry) -> bytes:
        if entry.kind is EntryKind.COMMAND:
            return self._machine.apply(entry.index, entry.data)
        return b""

    def _set_applied(self, index: LogIndex) -> None:
        self.applied = index
        while self._waiting and self._waiting[0][0] <= index:
            heapq.heappop(self._waiting)[2].set()
        self._update_current()

    def _update_current(self) -> None:
        if self._current_index is None:
            return
        if self.applied >= max(self._current_index, self._state.log.recovered):
            self.is_current = True
            self.became_current.set()

    def _take_snapshot(self) -> None:
        self._plan_retry()
        state = self._state
        log = state.log
        term = log.find_term(self.applied)
        membership = log.get_membership_at(self.applied)
        check_invariant(
            term is not None and membership is not None,
            "snapshot-of-known-entry",
            (self.applied, log.base, log.last),
        )
        if term is None or membership is None:
            return
        position = LogPosition(self.applied, term)
        data = self._machine.take_snapshot()
        snapshot = Snapshot(position, encode_membership(membership), data)
        settings = state.settings
        first_kept = log.find_first_kept(
            self.applied, settings.kept_entries, settings.kept_bytes
        )
        base_term = log.find_term(first_kept)
        if base_term is None:
            return
        base = LogPosition(first_kept, base_term)
        if state.persist(log.compact(snapshot, base)):
            self._plan_snapshot()
