"""Tests of the file store with torn, damaged and unsynced files and full disks."""

from __future__ import annotations

import errno
import os
import tempfile
import threading
import time
import unittest
from contextlib import AbstractContextManager
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbfield.storage import (
    DiskFull,
    Entry,
    EntryKind,
    FileStore,
    HardState,
    LogPosition,
    Snapshot,
    StoreDamaged,
    StoredLog,
    StoreFailure,
    StoreInUse,
    SyncFailed,
    SystemFiles,
)
from rhubarbfield.storage.logfile import decode_log, decode_snapshot, encode_log
from rhubarbfield.types import Incarnation, LogIndex, Term
from tests.storage.simulated_files import SimulatedCrashError, SimulatedFiles

SYNC_SECONDS = 0.05  # duration of a sync that other calls have to wait for
STATE = HardState(Incarnation("one"), Term(3))


def make_entries(first: int, count: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(LogIndex(index), Term(term), EntryKind.COMMAND, b"x" * index)
        for index in range(first, first + count)
    )


def make_snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(LogPosition(LogIndex(index), Term(term)), b"\x91\x90", b"state")


class FileStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.files = SimulatedFiles(Random(1))
        self.store = self.open()

    def open(self) -> FileStore:
        store = FileStore(Path("unused"), self.files)
        self.loaded = store.load()
        return store

    def append(self, *batches: tuple[Entry, ...]) -> None:
        for batch in batches:
            self.assertEqual(self.store.append(STATE, batch), Success(None))

    def assert_entries(self, expected: tuple[Entry, ...]) -> None:
        self.open()
        self.assertIsInstance(self.loaded, Success)
        self.assertEqual(self.loaded.unwrap().entries, expected)
        self.assertEqual(self.loaded.unwrap().hard_state, STATE)

    def assert_every_flip_detected(self) -> None:
        data = self.files.read("log") or b""
        for offset in range(len(data)):
            flipped = bytearray(data)
            flipped[offset] ^= 0x10
            result = decode_log([bytes(flipped)])
            self.assertIsInstance(result, Failure, offset)

    def assert_damaged(self) -> None:
        self.open()
        self.assertIsInstance(self.loaded, Failure)
        self.assertIsInstance(self.loaded.failure(), StoreDamaged)

    def test_a_batch_needs_one_sync_and_is_read_back(self) -> None:
        self.append(make_entries(1, 2))
        before = self.files.syncs
        self.append(make_entries(3, 200))
        self.assertEqual(self.files.syncs - before, 1)
        self.assert_entries(make_entries(1, 202))

    def test_written_batches_share_one_sync(self) -> None:
        self.append(make_entries(1, 1))
        before = self.files.syncs
        for first in range(2, 10):
            written = self.store.write(STATE, make_entries(first, 1))
            self.assertEqual(written, Success(None))
        self.assertEqual(self.store.sync(), Success(None))
        self.assertEqual(self.files.syncs - before, 1)
        self.files.lose_unsynced()
        self.assert_entries(make_entries(1, 9))

    def test_unsynced_writes_may_be_lost_from_the_end(self) -> None:
        self.append(make_entries(1, 1))
        for first in range(2, 10):
            self.store.write(STATE, make_entries(first, 1))
        self.files.lose_unsynced()
        self.open()
        kept = self.loaded.unwrap().entries
        self.assertEqual(kept, make_entries(1, len(kept)))

    def test_other_calls_wait_for_a_sync_in_a_thread(self) -> None:
        """A file must not be replaced or closed while it is synced."""
        self.append(make_entries(1, 3))
        events: list[str] = []
        sync = self.files.sync
        started = threading.Event()

        def sync_slowly(name: str) -> None:
            if threading.current_thread() is not threading.main_thread():
                started.set()
                time.sleep(SYNC_SECONDS)
                events.append("synced")
            sync(name)

        with mock.patch.object(self.files, "sync", sync_slowly):
            thread = threading.Thread(target=self.store.sync)
            thread.start()
            started.wait()
            self.store.write(STATE, make_entries(4, 1))
            events.append("written")
            self.store.save_snapshot(
                STATE, make_snapshot(2), LogPosition(LogIndex(2), Term(1)), ()
            )
            events.append("replaced")
            thread.join()
        self.assertEqual(events, ["written", "synced", "replaced"])

    def test_later_entries_replace_those_at_their_index(self) -> None:
        self.append(make_entries(1, 5), make_entries(3, 1, term=2))
        self.assert_entries(make_entries(1, 2) + make_entries(3, 1, term=2))

    def test_a_last_record_torn_at_any_length_is_ignored(self) -> None:
        self.append(make_entries(1, 2))
        complete_size = len(self.files.read("log") or b"")
        self.append(make_entries(3, 2))
        data = self.files.read("log") or b""
        for size in range(complete_size, len(data)):
            stored = decode_log([data[:size]]).unwrap()
            self.assertEqual(stored.entries, make_entries(1, 2), size)
        zeros = decode_log([data + bytes(100)]).unwrap()
        self.assertEqual(zeros.entries, make_entries(1, 4))

    def test_every_flipped_byte_is_detected(self) -> None:
        self.append(make_entries(1, 2), make_entries(3, 2))
        self.assert_every_flip_detected()

    def test_writes_that_a_loss_of_power_kept_after_lost_ones_are_cut(self) -> None:
        """Discarding the store would lose the synced entries too."""
        self.append(make_entries(1, 2))
        sizes = []
        for first in (3, 4, 5):
            sizes.append(len(self.files.read("log") or b""))
            self.store.write(STATE, make_entries(first, 1))
        data = self.files.read("log") or b""
        first, second, third = sizes
        for start, end, last in ((first, second, 2), (second, third, 3)):
            for lost in range(start, end):
                kept = data[:lost] + bytes(end - lost) + data[end:]
                for size in (len(data), len(data) - 1, end + 1):
                    stored = decode_log([kept[:size]]).unwrap()
                    self.assertEqual(stored.entries, make_entries(1, last))

    def test_every_flipped_byte_of_writes_that_share_a_sync_is_detected(self) -> None:
        self.append(make_entries(1, 2))
        for first in (3, 4, 5):
            self.store.write(STATE, make_entries(first, 1))
        self.store.sync()
        self.assert_every_flip_detected()

    def test_lost_bytes_of_a_synced_write_are_detected(self) -> None:
        self.append(make_entries(1, 2), make_entries(3, 1), make_entries(4, 1))
        data = self.files.read("log") or b""
        end = len(b"".join(encode_log(STATE, LogPosition(), make_entries(1, 2))))
        for lost in range(1, end):
            kept = data[:lost] + bytes(end - lost) + data[end:]
            self.assertIsInstance(decode_log([kept]), Failure, lost)

    def test_missing_files_are_detected(self) -> None:
        snapshot = make_snapshot(2)
        self.append(make_entries(1, 4))
        kept = make_entries(3, 2)
        saved = self.store.save_snapshot(STATE, snapshot, snapshot.position, kept)
        self.assertEqual(saved, Success(None))
        self.assert_entries(kept)
        for name in ("log", "snapshot"):
            data = self.files.read(name) or b""
            self.files.remove(name)
            self.assert_damaged()
            self.files.append(name, data)
        self.assert_entries(kept)

    def test_discard_sets_damaged_files_aside(self) -> None:
        self.append(make_entries(1, 4))
        self.files.flip_byte("log", 30)
        self.assert_damaged()
        store = FileStore(Path("unused"), self.files)
        self.assertIsInstance(store.load(), Failure)
        self.assertEqual(store.discard(), Success(None))
        self.assertEqual(store.load(), Success(StoredLog()))
        self.assertIsNotNone(self.files.read("log.damaged"))

    def test_the_store_stays_failed_after_a_failed_sync(self) -> None:
        self.append(make_entries(1, 2))
        self.files.fail_syncs = True
        for _ in range(2):
            result = self.store.append(STATE, make_entries(3, 1))
            self.assertIsInstance(result.failure(), SyncFailed)
            self.files.fail_syncs = False

    def test_load_makes_the_data_read_durable(self) -> None:
        self.append(make_entries(1, 2))
        self.files.fail_syncs = True
        self.store.append(STATE, make_entries(3, 1))
        self.files.fail_syncs = False
        self.assert_entries(make_entries(1, 3))
        self.files.lose_unsynced()
        self.assert_entries(make_entries(1, 3))

    def test_a_full_disk_changes_nothing_and_allows_a_retry(self) -> None:
        self.append(make_entries(1, 2))
        size = len(self.files.read("log") or b"")
        for free_bytes in range(0, 60, 7):
            self.files.capacity = size + free_bytes
            full = self.store.append(STATE, make_entries(3, 40))
            self.assertEqual(full, Failure(DiskFull()))
            snapshot = make_snapshot(2)
            full = self.store.save_snapshot(STATE, snapshot, snapshot.position, ())
            self.assertEqual(full, Failure(DiskFull()))
        self.files.capacity = None
        self.append(make_entries(3, 1))
        self.assert_entries(make_entries(1, 3))

    def test_a_crash_at_any_step_leaves_the_old_or_the_new_state(self) -> None:
        for step in range(1, 12):
            for seed in range(6):
                self.files = SimulatedFiles(Random(seed))
                self.store = self.open()
                self.append(make_entries(1, 4))
                self.files.operations_until_crash = step
                snapshot = make_snapshot(3)
                base = LogPosition(LogIndex(2), Term(1))
                try:
                    self.store.save_snapshot(STATE, snapshot, base, make_entries(3, 2))
                    self.store.append(STATE, make_entries(5, 1))
                except SimulatedCrashError:
                    pass
                self.files.lose_unsynced()
                self.open()
                stored = self.loaded.unwrap()
                last = stored.base.index + len(stored.entries)
                self.assertIn(last, {4, 5}, (step, seed))

    def test_an_installed_snapshot_replaces_entries_that_differ(self) -> None:
        self.append(make_entries(1, 4))
        data = self.files.read("log") or b""
        snapshot = make_snapshot(4, term=2)
        self.store.save_snapshot(STATE, snapshot, snapshot.position, ())
        self.files.remove("log")
        self.files.append("log", data)
        self.assert_entries(())
        self.assertEqual(self.loaded.unwrap().base, snapshot.position)

    def test_a_permission_error_does_not_count_as_damage(self) -> None:
        self.append(make_entries(1, 2))
        refusal = PermissionError(errno.EACCES, "refused")
        with mock.patch.object(self.files, "read", side_effect=refusal):
            self.open()
        self.assertIsInstance(self.loaded.failure(), SyncFailed)
        self.assert_entries(make_entries(1, 2))

    def test_disk_that_refuses_to_lock_the_folder_does_not_lose_its_data(self) -> None:
        self.append(make_entries(1, 2))
        refusal = OSError(errno.EIO, "refused")
        with mock.patch.object(self.files, "lock", side_effect=refusal):
            self.open()
        self.assertIsInstance(self.loaded.failure(), SyncFailed)
        self.assert_entries(make_entries(1, 2))

    def test_real_files_keep_written_data(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for first in (1, 3):
                store = FileStore(Path(folder) / "group")
                self.assertIsInstance(store.load(), Success)
                store.append(STATE, make_entries(first, 2))
                store.close()
            files = SystemFiles(Path(folder) / "group")
            files.append("log", b"torn")
            store = FileStore(Path(folder) / "group")
            self.assertEqual(store.load().unwrap().entries, make_entries(1, 4))
            snapshot = make_snapshot(4)
            store.save_snapshot(STATE, snapshot, snapshot.position, ())
            self.assertEqual(store.load().unwrap().snapshot, snapshot)
            other = FileStore(Path(folder) / "group")
            self.assertIsInstance(other.load().failure(), StoreInUse)
            store.close()
            self.assertIsInstance(other.load(), Success)
            other.close()
            files.close()

    def test_a_created_folder_is_durable_before_its_data_is(self) -> None:
        synced: list[Path] = []
        real = os.fsync

        def sync(descriptor: int) -> None:
            synced.append(Path(f"/proc/self/fd/{descriptor}").readlink())
            real(descriptor)

        with (
            tempfile.TemporaryDirectory() as name,
            mock.patch("os.fsync", sync),
        ):
            data = Path(name).resolve()
            for made in (data / "new", data / "found"):
                if made.name == "found":
                    (made / "group").mkdir(parents=True)
                store = FileStore(made / "group")
                store.load().unwrap()
                self.assertIn(made, synced)
                store.close()
            self.assertIn(data, synced)


class OpenFilesTest(unittest.TestCase):
    """A process whose connections take all its file descriptors."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder) / "group"
        self.store = FileStore(self.folder)
        self.store.load().unwrap()
        self.append(1, 2).unwrap()
        self.addCleanup(self.close)

    def close(self) -> None:
        self.store.close()

    def append(self, first: int, count: int) -> Result[None, StoreFailure]:
        return self.store.append(STATE, make_entries(first, count))

    def save_snapshot(self, index: int) -> Result[None, StoreFailure]:
        snapshot = make_snapshot(index)
        return self.store.save_snapshot(STATE, snapshot, snapshot.position, ())

    def test_a_snapshot_without_a_free_descriptor_does_not_stop_the_store(
        self,
    ) -> None:
        with self.leave_descriptors(0):
            self.assertEqual(self.save_snapshot(2), Failure(DiskFull()))
            self.assertIsInstance(self.append(3, 1), Success)
        self.assertIsInstance(self.save_snapshot(3), Success)

    def test_a_log_is_appended_to_without_a_free_descriptor_after_a_snapshot(
        self,
    ) -> None:
        self.save_snapshot(2).unwrap()
        with self.leave_descriptors(0):
            self.assertIsInstance(self.append(3, 1), Success)
        self.store.close()
        self.store = FileStore(self.folder)
        self.assertEqual(self.store.load().unwrap().entries, make_entries(3, 1))

    def test_descriptors_that_run_out_amid_a_snapshot_do_not_stop_the_store(
        self,
    ) -> None:
        for opened in range(4):
            with self.leave_descriptors(opened):
                self.save_snapshot(2)
                first = 3 + opened
                self.assertIsInstance(self.append(first, 1), Success, opened)

    def leave_descriptors(self, count: int) -> AbstractContextManager[object]:
        real, left = os.open, iter(range(count))

        def open_while_left(*arguments: Any) -> int:
            if next(left, None) is None:
                raise OSError(errno.EMFILE, "Too many open files")
            return real(*arguments)

        return mock.patch("os.open", open_while_left)


class DecoderTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True)
    @given(st.binary(max_size=300), st.integers(0, 400), st.binary(max_size=4))
    def test_decoders_never_raise(
        self, noise: bytes, offset: int, patch: bytes
    ) -> None:
        data = bytearray(b"".join(encode_log(STATE, LogPosition(), make_entries(1, 5))))
        data[offset : offset + len(patch)] = patch
        for sample in (noise, bytes(data), bytes(data) + noise):
            decode_log([sample])
            decode_snapshot([sample])
