"""The stored log of one replica, mirrored in memory for reading."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from returns.result import Result

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.entries import EntryList
from rhubarbfield.replication.membership import IndexedMembership, Membership, Quorum
from rhubarbfield.storage import (
    Entry,
    EntryKind,
    HardState,
    LogPosition,
    LogStore,
    ReplicaId,
    Snapshot,
    StoredLog,
    StoreFailure,
)
from rhubarbfield.types import LogIndex, Term

_encoder = msgspec.msgpack.Encoder()
_membership_decoder = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Return ``membership`` in the encoding used by entries and snapshots."""
    return _encoder.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode ``data`` as returned by :func:`encode_membership`."""
    return _membership_decoder.decode(data)


class ReplicaLog:
    """Entries, snapshot, vote and memberships of one replica.

    A change is durable once its method returns a success, except for entries
    added by :meth:`write`. A failure changes nothing.

    Parameters
    ----------
    store
        The storage of the log.
    stored
        The contents of ``store`` when it was loaded.

    Attributes
    ----------
    recovered
        Index of the last entry found when the store was loaded that has not
        been overwritten since.
    synced
        Index up to which the entries are durable.
    """

    def __init__(self, store: LogStore, stored: StoredLog) -> None:
        self._store = store
        self.hard_state = stored.hard_state
        self.snapshot = stored.snapshot
        self._entries = EntryList(stored.base, stored.entries)
        snapshot_index = stored.snapshot.position.index if stored.snapshot else 0
        self.commit = LogIndex(max(stored.hard_state.commit, snapshot_index))
        self._memberships = self._collect_memberships()
        # Any of the entries found may have been applied before a restart.
        self.recovered = self.last.index
        self.synced = self.last.index
        check_invariant(
            self.commit <= self.last.index, "commit-within-log", stored.hard_state
        )

    @property
    def term(self) -> Term:
        """The current term, which is the highest one seen."""
        return self.hard_state.term

    @property
    def base(self) -> LogPosition:
        """The position just before the first entry kept."""
        return self._entries.base

    @property
    def last(self) -> LogPosition:
        """The position of the last entry."""
        return self._entries.last

    @property
    def uncommitted_bytes(self) -> int:
        """Bytes of the entries that are not known to be committed."""
        return self._entries.measure_bytes(self.commit, self.last.index)

    @property
    def is_empty(self) -> bool:
        """Whether the log has no entry, and no term but one of a founding."""
        return self.last.index == 0 and (self.term == 0 or self.may_found)

    @property
    def may_found(self) -> bool:
        """Whether this replica may take part in founding its group."""
        return self.last.index == 0 and bool(self.hard_state.founders)

    @property
    def quorum(self) -> Quorum:
        """The quorum in force: two majorities while a change is uncommitted."""
        in_force = self._memberships[-1:]
        if in_force and in_force[0].index > self.commit:
            in_force = self._memberships[-2:]
        return Quorum(tuple(indexed.membership for indexed in in_force))

    @property
    def membership(self) -> Membership | None:
        """The latest membership in the log, committed or not."""
        return self._memberships[-1].membership if self._memberships else None

    @property
    def has_uncommitted_change(self) -> bool:
        """Whether the latest membership is not known to be committed."""
        return bool(self._memberships) and self._memberships[-1].index > self.commit

    @property
    def has_unsaved_change(self) -> bool:
        """Whether a restart would forget that a membership change was committed."""
        saved = self.hard_state.commit
        return any(saved < each.index <= self.commit for each in self._memberships)

    @property
    def commit_position(self) -> LogPosition:
        """The position of the last entry known to be committed, if it is kept."""
        term = self.find_term(self.commit)
        return LogPosition() if term is None else LogPosition(self.commit, term)

    def find_term(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at ``index``, or None if not kept."""
        if index == self.base.index:
            return self.base.term
        if not self.base.index < index <= self.last.index:
            return None
        return self._entries.get(index).term

    def get_entry(self, index: LogIndex) -> Entry:
        """Return the entry at ``index``, which must be kept."""
        return self._entries.get(index)

    def find_first_kept(
        self, until: LogIndex, max_entries: int, max_bytes: int
    ) -> LogIndex:
        """Return the index after which the entries up to ``until`` are in bounds."""
        return self._entries.find_first_kept(until, max_entries, max_bytes)

    def get_batch(
        self, first: LogIndex, max_entries: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Return entries from ``first`` on within the limits, but at least one."""
        candidates = self._entries.list_after(LogIndex(first - 1), max_entries)
        taken = 0
        size = 0
        for entry in candidates:
            size += len(entry.data)
            if taken and size > max_bytes:
                break
            taken += 1
        return tuple(candidates[:taken])

    def get_membership_at(self, index: LogIndex) -> Membership | None:
        """Return the membership in force after the entry at ``index``."""
        until = [indexed for indexed in self._memberships if indexed.index <= index]
        return until[-1].membership if until else None

    def save_incarnation(self, hard_state: HardState) -> Result[None, StoreFailure]:
        """Save the first hard state of an empty store, or the right to found."""
        check_invariant(self.is_empty, "incarnation-saved-once", self.hard_state)
        return self._store.append(hard_state).map(
            lambda _: self._set_hard_state(hard_state)
        )

    def save_vote(
        self, term: Term, vote: ReplicaId | None
    ) -> Result[None, StoreFailure]:
        """Save a term and the vote granted in it."""
        old = self.hard_state
        check_invariant(term >= old.term, "term-only-grows", (old, term))
        check_invariant(
            term > old.term or old.vote in {None, vote},
            "one-vote-a-term",
            (old, vote),
        )
        founders = old.founders if self.last.index == 0 else ()
        new = HardState(old.incarnation, term, vote, self.commit, founders)
        return self._store.append(new).map(lambda _: self._set_hard_state(new))

    def save_first_entry(self, membership: Membership) -> Result[None, StoreFailure]:
        """Save the first entry of a new group, in the term of its founding."""
        old = self.hard_state
        check_invariant(self.may_found and old.term > 0, "group-formed-once", old)
        data = encode_membership(membership)
        entries = [Entry(LogIndex(1), old.term, EntryKind.MEMBERSHIP, data)]
        new = HardState(old.incarnation, old.term, old.vote)
        return self._append_synced(new, entries)

    def append(self, entries: Sequence[Entry]) -> Result[None, StoreFailure]:
        """Append entries and drop those stored at or after the first of them."""
        return self._append_synced(self._prepare_append(entries), entries)

    def write(self, entries: Sequence[Entry]) -> Result[None, StoreFailure]:
        """Append entries that become durable only with :meth:`sync`."""
        new = self._prepare_append(entries)
        result = self._store.write(new, entries)
        return result.map(lambda _: self._add_entries(new, entries))

    def sync(self) -> Result[None, StoreFailure]:
        """Make the entries written so far durable; may run in a thread.

        The caller must call :meth:`mark_synced` afterwards.
        """
        return self._store.sync()

    def mark_synced(self, index: LogIndex) -> None:
        """Mark the entries up to ``index`` as durable."""
        self.synced = LogIndex(max(self.synced, min(index, self.last.index)))

    def _append_synced(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        result = self._store.append(hard_state, entries)
        return result.map(lambda _: self._add_entries(hard_state, entries)).map(
            lambda _: self.mark_synced(self.last.index)
        )

    def _prepare_append(self, entries: Sequence[Entry]) -> HardState:
        first = entries[0].index
        check_invariant(
            self.commit < first <= self.last.index + 1,
            "committed-entries-never-change",
            (self.commit, first, self.last),
        )
        old = self.hard_state
        return HardState(old.incarnation, old.term, old.vote, self.commit)

    def compact(
        self, snapshot: Snapshot, base: LogPosition
    ) -> Result[None, StoreFailure]:
        """Save a snapshot and drop the entries up to ``base``.

        Parameters
        ----------
        snapshot
            A snapshot at an applied entry.
        base
            The position after which entries are kept; at or before that of
            the snapshot.
        """
        kept = self._entries.list_after(base.index)
        return self._replace(snapshot, base, kept)

    def install(self, snapshot: Snapshot) -> Result[None, StoreFailure]:
        """Save a snapshot from the leader in place of the entries it covers."""
        position = snapshot.position
        check_invariant(
            position.index > self.commit,
            "snapshot-only-newer",
            (position, self.commit),
        )
        agrees = self.find_term(position.index) == position.term
        kept = self._entries.list_after(position.index) if agrees else []
        return self._replace(snapshot, position, kept)

    def advance_commit(self, index: LogIndex) -> None:
        """Mark the entries up to ``index`` as committed, in memory."""
        check_invariant(
            self.commit <= index <= self.last.index,
            "commit-only-grows",
            (self.commit, index, self.last),
        )
        self.commit = index

    def save_commit(self) -> Result[None, StoreFailure]:
        """Make the commit index durable now instead of with the next entries."""
        return self.save_vote(self.term, self.hard_state.vote)

    def _set_hard_state(self, hard_state: HardState) -> None:
        self.hard_state = hard_state
        self.mark_synced(self.last.index)

    def _add_entries(self, hard_state: HardState, entries: Sequence[Entry]) -> None:
        self.hard_state = hard_state
        first = entries[0].index
        if first <= self.last.index:
            self.synced = LogIndex(min(self.synced, first - 1))
            self.recovered = LogIndex(min(self.recovered, first - 1))
        self._entries.drop_from(first)
        self._entries.extend(entries)
        while self._memberships and self._memberships[-1].index >= first:
            self._memberships.pop()
        self._memberships.extend(_decode_memberships(entries))

    def _replace(
        self, snapshot: Snapshot, base: LogPosition, kept: list[Entry]
    ) -> Result[None, StoreFailure]:
        commit = LogIndex(max(self.commit, snapshot.position.index))
        old = self.hard_state
        new = HardState(old.incarnation, old.term, old.vote, commit)
        result = self._store.save_snapshot(new, snapshot, base, kept)
        return result.map(lambda _: self._set_all(new, snapshot, base, kept))

    def _set_all(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: list[Entry],
    ) -> None:
        self.hard_state = hard_state
        self.commit = hard_state.commit
        self.snapshot = snapshot
        self._entries = EntryList(base, entries)
        self.synced = self.last.index
        self._memberships = self._collect_memberships()

    def _collect_memberships(self) -> list[IndexedMembership]:
        indexed: list[IndexedMembership] = []
        covered = 0
        if self.snapshot is not None:
            covered = self.snapshot.position.index
            membership = decode_membership(self.snapshot.membership)
            indexed.append(IndexedMembership(LogIndex(covered), membership))
        later = self._entries.list_after(LogIndex(max(covered, self.base.index)))
        return indexed + _decode_memberships(later)


def _decode_memberships(entries: Sequence[Entry]) -> list[IndexedMembership]:
    return [
        IndexedMembership(entry.index, decode_membership(entry.data))
        for entry in entries
        if entry.kind is EntryKind.MEMBERSHIP
    ]
