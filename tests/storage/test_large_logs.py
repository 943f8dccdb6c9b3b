"""Tests of the file store with logs that are large beside the memory."""

from __future__ import annotations

import tempfile
import tracemalloc
import unittest
from collections.abc import Callable
from pathlib import Path
from random import Random
from unittest import mock

import msgspec
from returns.result import Result, Success

from rhubarbfield.storage import (
    Entry,
    EntryKind,
    FileStore,
    LogPosition,
    Snapshot,
    StoredLog,
    StoreFailure,
    logfile,
)
from rhubarbfield.storage.frames import frame_payload
from rhubarbfield.storage.logfile import LogHeader, LogRecord
from rhubarbfield.types import LogIndex, Term
from tests.storage.simulated_files import SimulatedCrashError, SimulatedFiles
from tests.storage.test_file import STATE, make_entries, make_snapshot

MIB = 1024 * 1024
ENTRIES = 40
ENTRY_BYTES = MIB // 2
LOG_BYTES = ENTRIES * ENTRY_BYTES
# For the part of the file that is read, and a record with its decoded entry.
WORKING_BYTES = 6 * MIB


def make_large_entries() -> tuple[Entry, ...]:
    return tuple(
        Entry(LogIndex(index), Term(1), EntryKind.COMMAND, bytes(ENTRY_BYTES))
        for index in range(1, ENTRIES + 1)
    )


def measure_peak(run: Callable[[], Result[object, StoreFailure]]) -> int:
    """Return the most bytes allocated beyond those before ``run``."""
    tracemalloc.start()
    try:
        result = run()
        assert isinstance(result, Success), result
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class LargeLogTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder) / "group"

    def open(self) -> FileStore:
        store = FileStore(self.folder)
        self.addCleanup(store.close)
        return store

    def test_opening_a_large_log_needs_no_multiple_of_its_size(self) -> None:
        store = self.open()
        store.load()
        for entry in make_large_entries():
            store.append(STATE, (entry,))
        store.close()
        peak = measure_peak(self.open().load)
        self.assertLess(peak, LOG_BYTES + WORKING_BYTES)

    def test_compacting_a_large_log_needs_no_multiple_of_its_size(self) -> None:
        store = self.open()
        store.load()
        entries = make_large_entries()
        store.append(STATE, entries[:1])
        snapshot = make_snapshot(1)
        peak = measure_peak(
            lambda: store.save_snapshot(STATE, snapshot, LogPosition(), entries)
        )
        self.assertLess(peak, WORKING_BYTES)

    def test_log_whose_entries_share_one_record_is_read(self) -> None:
        entries = make_large_entries()
        record = LogRecord(STATE, entries)
        header = LogHeader(logfile.FORMAT_VERSION, LogPosition())
        files = SimulatedFiles(Random(1))
        for each in (header, record):
            files.append("log", frame_payload(msgspec.msgpack.encode(each)))
        loaded = FileStore(Path("unused"), files).load()
        self.assertEqual(
            loaded, Success(StoredLog(STATE, None, LogPosition(), entries))
        )


class KilledOpeningTest(unittest.TestCase):
    def test_kill_at_any_step_of_opening_or_compacting_loses_nothing(self) -> None:
        entries = make_entries(1, 6)
        for step in range(1, 24):
            for keeps_cache in (False, True):
                with self.subTest(step=step, keeps_cache=keeps_cache):
                    files = SimulatedFiles(Random(step))
                    store = FileStore(Path("unused"), files)
                    store.load()
                    store.append(STATE, entries)
                    files.operations_until_crash = step
                    with mock.patch.object(logfile, "RECORD_BYTES", 1):
                        self.attempt(files)
                    files.operations_until_crash = None
                    if not keeps_cache:
                        files.lose_unsynced()
                    self.check(files, entries)

    def attempt(self, files: SimulatedFiles) -> None:
        try:
            store = FileStore(Path("unused"), files)
            store.load()
            position = LogPosition(LogIndex(2), Term(1))
            store.save_snapshot(
                STATE,
                Snapshot(position, b"\x91\x90", b"state"),
                position,
                make_entries(3, 4),
            )
        except SimulatedCrashError:
            pass

    def check(self, files: SimulatedFiles, entries: tuple[Entry, ...]) -> None:
        stored = FileStore(Path("unused"), files).load().unwrap()
        self.assertEqual(stored.hard_state, STATE)
        covered = stored.snapshot.position.index if stored.snapshot else 0
        self.assertIn(covered, (0, 2))
        self.assertEqual(stored.entries, entries[stored.base.index :])
        self.assertLessEqual(stored.base.index, covered)


if __name__ == "__main__":
    unittest.main()
