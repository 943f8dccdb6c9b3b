"""Replication from a leader to one peer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.messages import (
    MAX_CHUNK_BYTES,
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
)
from rhubarbfield.replication.signal import Signal
from rhubarbfield.replication.state import MICROSECOND, NEVER, ReplicaState
from rhubarbfield.storage import Entry, LogPosition, ReplicaId, Snapshot
from rhubarbfield.types import LogIndex


class SnapshotTransfer:
    """The progress of sending a snapshot to a peer.

    Parameters
    ----------
    snapshot
        The snapshot to send.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.received = 0
        self.sent_until = -1


class Peer:
    """Replicates the log to one peer during the leader's term.

    Entries are sent in batches, several of them in flight. A heartbeat names
    the last entry sent before it, so that a lost batch is detected and sent
    again.

    Parameters
    ----------
    state
        The leader's state.
    replica_id
        The peer's name and incarnation.
    has_lease
        Returns whether the leader holds its lease.
    """

    def __init__(
        self,
        state: ReplicaState,
        replica_id: ReplicaId,
        has_lease: Callable[[], bool],
    ) -> None:
        self._state = state
        self._term = state.term
        self.id = replica_id
        self.match_index = LogIndex(0)
        self.acknowledged_sent_at = NEVER
        self.last_contact_at = NEVER
        self.last_sent_at = NEVER
        self.added_at = state.now
        self._has_lease = has_lease
        self._next_index = LogIndex(state.log.last.index + 1)
        self._reset_at = 0
        self._in_flight: deque[LogIndex] = deque()
        self._transfer: SnapshotTransfer | None = None
        self._is_heartbeat_due = True
        self._wake = Signal()
        self._wake.set()

    async def run(self) -> None:
        """Send missing entries, snapshots and heartbeats until cancelled."""
        while True:
            await self._wake.wait()
            if not self._state.is_leader_in(self._term):
                return
            if self._transfer is not None or self._needs_snapshot():
                self._send_chunk()
            else:
                self._send_entries()

    def wake(self) -> None:
        """Check for entries to send."""
        self._wake.set()

    def request_heartbeat(self) -> None:
        """Send a heartbeat, also when there are no entries to send."""
        self._is_heartbeat_due = True
        self._wake.set()

    def on_append_answer(self, message: AppendAnswer) -> None:
        """Update the index up to which the peer's log matches."""
        self._record_contact(message)
        if message.matched:
            self._record_match(message.index)
        elif message.sent >= self._reset_at:
            check_invariant(
                message.index <= self._state.log.last.index,
                "peer-log-within-leader-log",
                message,
            )
            # The peer will reject all batches sent until now; those answers must
            # not reset the next index again.
            self._reset_at = self._get_now_microseconds()
            self._next_index = LogIndex(max(self.match_index, message.index) + 1)
            self._in_flight.clear()
        self._wake.set()

    def on_install_answer(self, message: InstallSnapshotAnswer) -> None:
        """Update how much of a snapshot the peer has received."""
        self._record_contact(message)
        transfer = self._transfer
        if transfer is None or transfer.snapshot.position != message.position:
            return
        transfer.received = message.received
        if message.received >= len(transfer.snapshot.data):
            self._transfer = None
            self._in_flight.clear()
            self._record_match(message.position.index)
            self._next_index = LogIndex(self.match_index + 1)
        self._wake.set()

    def _get_now_microseconds(self) -> int:
        return int(self._state.now / MICROSECOND)

    def _record_contact(self, message: AppendAnswer | InstallSnapshotAnswer) -> None:
        state = self._state
        sent = message.sent * MICROSECOND
        check_invariant(sent <= state.now, "answer-after-question", message)
        self.last_contact_at = state.now
        self.acknowledged_sent_at = max(self.acknowledged_sent_at, sent)

    def _record_match(self, index: LogIndex) -> None:
        check_invariant(
            index <= self._state.log.last.index,
            "peer-log-within-leader-log",
            (self.id, index),
        )
        self.match_index = LogIndex(max(self.match_index, index))
        self._next_index = LogIndex(max(self._next_index, self.match_index + 1))
        while self._in_flight and self._in_flight[0] <= self.match_index:
            self._in_flight.popleft()

    def _needs_snapshot(self) -> bool:
        return self._next_index <= self._state.log.base.index

    def _send_entries(self) -> None:
        state = self._state
        settings = state.settings
        while (
            self._next_index <= state.log.last.index
            and len(self._in_flight) < settings.batches_in_flight
        ):
            batch = state.log.get_batch(
                self._next_index, settings.batch_entries, settings.batch_bytes
            )
            self._send_append(batch)
            self._next_index = LogIndex(batch[-1].index + 1)
            self._in_flight.append(batch[-1].index)
        if self._is_heartbeat_due:
            self._send_append(())

    def _send_append(self, entries: tuple[Entry, ...]) -> None:
        state = self._state
        previous = LogIndex(self._next_index - 1)
        term = state.log.find_term(previous)
        check_invariant(term is not None, "previous-entry-kept", (self.id, previous))
        if term is None:
            return
        message = Append(
            source=state.id,
            target=self.id.incarnation,
            term=state.term,
            previous=LogPosition(previous, term),
            entries=entries,
            commit=state.log.commit,
            confirmed=self._has_lease(),
            sent=self._get_now_microseconds(),
        )
        self._is_heartbeat_due = False
        self._send(message)

    def _send_chunk(self) -> None:
        state = self._state
        transfer = self._transfer
        snapshot = state.log.snapshot
        check_invariant(snapshot is not None, "snapshot-kept", state.log.base)
        if snapshot is None:
            return
        if transfer is None or (
            transfer.received == 0 and transfer.snapshot is not snapshot
        ):
            transfer = self._transfer = SnapshotTransfer(snapshot)
        if transfer.received == transfer.sent_until and not self._is_heartbeat_due:
            return
        self._is_heartbeat_due = False
        transfer.sent_until = transfer.received
        snapshot = transfer.snapshot
        end = transfer.received + MAX_CHUNK_BYTES
        message = InstallSnapshot(
            source=state.id,
            target=self.id.incarnation,
            term=state.term,
            position=snapshot.position,
            membership=snapshot.membership,
            total=len(snapshot.data),
            offset=transfer.received,
            data=snapshot.data[transfer.received : end],
            sent=self._get_now_microseconds(),
        )
        self._send(message)

    def _send(self, message: Append | InstallSnapshot) -> None:
        self._state.send(self.id.name, message)
        self.last_sent_at = self._state.now
