"""Tests of random losses of power beside random calls of a store."""

from __future__ import annotations

import unittest
from pathlib import Path
from random import Random

import msgspec
from returns.result import Failure, Success

from rhubarbfield.storage import (
    DiskFull,
    Entry,
    EntryKind,
    FileStore,
    HardState,
    LogPosition,
    MemoryStore,
    Snapshot,
    StoredLog,
)
from rhubarbfield.types import Incarnation, LogIndex, Term
from tests.storage.simulated_files import SimulatedFiles

SEEDS = range(400)
CALLS = 60
SHARE_OF_LOSSES = 0.1


class RandomCalls:
    """Calls of a store, and each state that it may be found in after a loss."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.files = SimulatedFiles(Random(seed))
        self.store = FileStore(Path("unused"), self.files)
        self.expected = MemoryStore()
        self.hard_state = HardState()
        self.is_open = True
        self.possible = [self.store.load().unwrap()]
        self.cuts = 0

    def call(self) -> None:
        """Call the store once, or lose power and open it again."""
        if self.random.random() < SHARE_OF_LOSSES:
            self.lose_power()
            return
        self.files.capacity = None
        if self.random.random() < 0.1:
            self.files.capacity = self.random.randint(100, 3000)
        choice = self.random.random()
        if choice < 0.5:
            self._write()
        elif choice < 0.7:
            self._append()
        elif choice < 0.9:
            if self.files.read("log") and isinstance(self.store.sync(), Success):
                del self.possible[:-1]
        else:
            self._save_snapshot()

    def lose_power(self) -> None:
        self.files.capacity = None
        self.files.lose_unsynced()
        self.store = FileStore(Path("unused"), self.files)
        found = self.store.load().unwrap()
        assert found in self.possible, (found, self.possible)
        self.cuts += found != self.possible[-1]
        self.possible = [found]
        self.expected = MemoryStore()
        if found.snapshot is not None:
            self.expected.save_snapshot(
                found.hard_state, found.snapshot, found.base, found.entries
            )
        else:
            self.expected.append(found.hard_state, found.entries)
        self.hard_state = found.hard_state

    def _get(self) -> StoredLog:
        return self.expected.load().unwrap()

    def _next_state(self) -> HardState:
        term = Term(self.hard_state.term + self.random.randint(0, 1))
        return msgspec.structs.replace(
            self.hard_state, incarnation=Incarnation("one"), term=term
        )

    def _make_entries(self) -> tuple[Entry, ...]:
        found = self._get()
        last = found.base.index + len(found.entries)
        lowest = (
            max(found.base.index, found.snapshot.position.index)
            if (found.snapshot)
            else 0
        )
        first = max(lowest, last - self.random.choice((0, 0, 0, 1, 2))) + 1
        return tuple(
            Entry(
                LogIndex(index),
                Term(self.hard_state.term),
                EntryKind.COMMAND,
                self.random.choice((b"", b"\0", b"x", b"\0\0y\0")) * index,
            )
            for index in range(first, first + self.random.randint(1, 3))
        )

    def _write(self) -> None:
        state, entries = self._next_state(), self._make_entries()
        is_first = not self.files.read("log")
        if self._check(self.store.write(state, entries)):
            self._record(state, entries, is_durable=is_first)

    def _append(self) -> None:
        state = self._next_state()
        entries = self._make_entries() if self.random.random() < 0.5 else ()
        if self._check(self.store.append(state, entries)):
            self._record(state, entries, is_durable=True)

    def _record(
        self, state: HardState, entries: tuple[Entry, ...], *, is_durable: bool
    ) -> None:
        self.expected.append(state, entries)
        self.hard_state = state
        self.possible.append(self._get())
        if is_durable:
            del self.possible[:-1]

    def _save_snapshot(self) -> None:
        found = self._get()
        if not found.entries:
            return
        at = self.random.randint(0, len(found.entries) - 1)
        entry = found.entries[at]
        if found.snapshot and entry.index <= found.snapshot.position.index:
            return
        position = LogPosition(entry.index, entry.term)
        snapshot = Snapshot(position, b"\x91\x90", b"state" * entry.index)
        kept = found.entries[at + 1 :]
        state = self._next_state()
        if self._check(self.store.save_snapshot(state, snapshot, position, kept)):
            self.expected.save_snapshot(state, snapshot, position, kept)
            self.hard_state = state
            self.possible = [self._get()]

    def _check(self, result: object) -> bool:
        if isinstance(result, Failure):
            assert isinstance(result.failure(), DiskFull), result
            return False
        return True


class RandomPowerLossTest(unittest.TestCase):
    def test_store_is_found_as_it_was_after_some_call_since_the_last_sync(self) -> None:
        cuts = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                calls = RandomCalls(seed)
                for _ in range(CALLS):
                    calls.call()
                calls.lose_power()
                cuts += calls.cuts
        self.assertGreater(cuts, len(SEEDS))


if __name__ == "__main__":
    unittest.main()
