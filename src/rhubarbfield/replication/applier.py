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
        self._snapshot_due = state.settings.snapshot_after
        self.applied = LogIndex(0)
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
        self._snapshot_due = index + self._state.settings.snapshot_after

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
        while self.applied < until:
            entry = log.get_entry(LogIndex(self.applied + 1))
            check_invariant(
                entry.index == self.applied + 1,
                "applied-in-order",
                (self.applied, entry.index),
            )
            reply = self._apply(entry)
            self._set_applied(entry.index)
            self._proposals.finish_applied(entry, reply)
        if self.applied >= self._snapshot_due:
            self._take_snapshot()

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
        first_kept = max(log.base.index, self.applied - state.settings.kept_entries)
        base_term = log.find_term(LogIndex(first_kept))
        if base_term is None:
            return
        base = LogPosition(LogIndex(first_kept), base_term)
        saved = state.persist(log.compact(snapshot, base))
        wait = state.settings.snapshot_after if saved else SNAPSHOT_RETRY_ENTRIES
        self._snapshot_due = self.applied + wait
