"""Receiving entries and snapshots from the leader."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.applier import Applier
from rhubarbfield.replication.messages import (
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
)
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import Entry, LogPosition, Snapshot
from rhubarbfield.types import LogIndex, Term


class Matched(msgspec.Struct, frozen=True):
    """The log agrees with the leader's up to ``index``."""

    index: LogIndex


class Mismatched(msgspec.Struct, frozen=True):
    """The logs differ; the leader may try again after ``index``."""

    index: LogIndex


class IncomingSnapshot:
    """A snapshot that is being received.

    Parameters
    ----------
    term
        The term of the leader that sends it. Another leader may have encoded the
        same state differently.
    position
        The position of the snapshot.
    """

    def __init__(self, term: Term, position: LogPosition) -> None:
        self.term = term
        self.position = position
        self.data = bytearray()


class Follower:
    """Stores what the leader sends and answers it.

    Parameters
    ----------
    state
        The replica's state.
    applier
        Applies entries and restores snapshots.
    """

    def __init__(self, state: ReplicaState, applier: Applier) -> None:
        self._state = state
        self._applier = applier
        self._incoming: IncomingSnapshot | None = None

    def on_append(self, message: Append) -> None:
        """Store entries if the log before them agrees, and answer."""
        state = self._state
        if not self._accept_leader(message):
            return
        outcome = self._store_entries(message.previous, message.entries)
        if outcome is None:
            return
        if isinstance(outcome, Matched):
            self._advance_commit(message, outcome.index)
        state.refuse_votes_before(state.now + state.settings.lease)
        self._answer(message, isinstance(outcome, Matched), outcome.index)

    def on_install_snapshot(self, message: InstallSnapshot) -> None:
        """Store a chunk of a snapshot, and install the snapshot once complete."""
        state = self._state
        if not self._accept_leader(message):
            return
        received = self._receive_chunk(message)
        if received is None:
            return
        state.refuse_votes_before(state.now + state.settings.lease)
        answer = InstallSnapshotAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            asked_term=message.term,
            position=message.position,
            received=received,
            sent=message.sent,
        )
        state.send(message.source.name, answer)

    def _accept_leader(self, message: Append | InstallSnapshot) -> bool:
        state = self._state
        if message.term < state.term:
            self._answer(message, False, state.log.commit)
            return False
        if not state.observe_term(message.term):
            return False
        state.follow(message.source)
        return True

    def _answer(
        self, message: Append | InstallSnapshot, matched: bool, index: LogIndex
    ) -> None:
        state = self._state
        check_invariant(
            not matched or index <= state.log.synced,
            "answered-after-durable",
            (index, state.log.synced),
        )
        answer = AppendAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            asked_term=message.term,
            matched=matched,
            index=index,
            sent=message.sent,
        )
        state.send(message.source.name, answer)

    def _store_entries(
        self, previous: LogPosition, entries: Sequence[Entry]
    ) -> Matched | Mismatched | None:
        log = self._state.log
        if previous.index > log.last.index:
            return Mismatched(log.last.index)
        if previous.index >= log.base.index and (
            log.find_term(previous.index) != previous.term
        ):
            # Committed entries agree with the log of every leader.
            return Mismatched(log.commit)
        missing = [entry for entry in entries if not self._has_entry(entry)]
        if missing and not self._state.persist(log.append(missing)):
            return None
        return Matched(LogIndex(previous.index + len(entries)))

    def _has_entry(self, entry: Entry) -> bool:
        log = self._state.log
        if entry.index <= log.commit:
            kept = log.find_term(entry.index)
            check_invariant(
                kept in {None, entry.term},
                "committed-entries-never-change",
                (entry.index, entry.term, kept),
            )
            return True
        return log.find_term(entry.index) == entry.term

    def _advance_commit(self, message: Append, matched: LogIndex) -> None:
        state = self._state
        commit = LogIndex(min(message.commit, matched))
        if commit > state.log.commit:
            state.log.advance_commit(commit)
            state.commit_advanced.set()
        state.save_committed_change()
        if message.confirmed:
            self._applier.record_leader_commit(message.commit)

    def _receive_chunk(self, message: InstallSnapshot) -> int | None:
        log = self._state.log
        if message.position.index <= log.commit:
            return message.total
        incoming = self._incoming
        wanted = (message.term, message.position)
        if incoming is None or (incoming.term, incoming.position) != wanted:
            incoming = self._incoming = IncomingSnapshot(*wanted)
        if message.offset == len(incoming.data):
            incoming.data += message.data
        if len(incoming.data) < message.total:
            return len(incoming.data)
        self._incoming = None
        snapshot = Snapshot(message.position, message.membership, bytes(incoming.data))
        if not self._state.persist(log.install(snapshot)):
            return None
        self._applier.restore(snapshot)
        return message.total
