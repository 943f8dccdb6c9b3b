"""Log store in the files of one folder."""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path

from returns.result import Failure, Result, Success

from rhubarbfield.storage.files import FileLayer, SystemFiles
from rhubarbfield.storage.logfile import (
    LOG_FILE,
    SNAPSHOT_FILE,
    LogRecord,
    decode_log,
    decode_snapshot,
    encode_log,
    encode_record,
    encode_snapshot,
    join_snapshot,
)
from rhubarbfield.storage.records import (
    Entry,
    HardState,
    LogPosition,
    Snapshot,
    StoredLog,
)
from rhubarbfield.storage.store import (
    DiskFull,
    StoreDamaged,
    StoreFailure,
    StoreInUse,
    SyncFailed,
)

NEW_SUFFIX = ".new"
DAMAGED_SUFFIX = ".damaged"
# Read at once, of a file that may have many times this size.
PART_BYTES = 1024 * 1024
# Without a free descriptor no new file can be opened, which is like no room for it.
FULL_DISK_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE})


class FileStore:
    """Log store with the log in one file and the latest snapshot in another.

    Each append is one record and one ``fdatasync``; consecutive writes may
    share one. A file is replaced by writing and syncing a new one and renaming
    it. After an error that leaves open which data is durable, every call fails
    with :class:`SyncFailed`. Opening the folder again copies all readable data
    into a new, synced file.

    Parameters
    ----------
    folder
        Folder used by this replica only; created if missing.
    files
        Used by tests in place of the files in ``folder``.
    """

    def __init__(self, folder: Path, files: FileLayer | None = None) -> None:
        self._folder = folder
        self._files = files if files is not None else SystemFiles(folder)
        self._size = 0
        self._durable_size = 0
        self._stopped: SyncFailed | None = None
        # Held while a thread syncs a file, so that no other replaces or closes it.
        self._file_lock = threading.RLock()

    def load(self) -> Result[StoredLog, StoreFailure]:
        """Return all stored data without a torn last record."""
        try:
            self._files.lock()
            self._remove_replacements()
        except BlockingIOError:
            return Failure(StoreInUse(f"another process uses {self._folder}"))
        except OSError as error:
            return _describe_refusal(error)
        try:
            stored = self._read_files()
        except OSError as error:
            if error.errno == errno.EIO:
                return Failure(StoreDamaged(LOG_FILE, 0, str(error)))
            return _describe_refusal(error)
        if isinstance(stored, Failure) or stored.unwrap() == StoredLog():
            return stored
        # The data read may so far be in the page cache only.
        found = stored.unwrap()
        saved = self._attempt_exclusively(
            lambda: self._rewrite_log(found.hard_state, found.base, found.entries)
        )
        return saved.map(lambda _: found)

    def _read_files(self) -> Result[StoredLog, StoreFailure]:
        log_parts = self._read_parts(LOG_FILE)
        snapshot_parts = self._read_parts(SNAPSHOT_FILE)
        if log_parts is None and snapshot_parts is None:
            return Success(StoredLog())
        if log_parts is None:
            return Failure(StoreDamaged(LOG_FILE, 0, "the file is missing"))
        snapshot: Result[Snapshot | None, StoreDamaged] = Success(None)
        if snapshot_parts is not None:
            snapshot = decode_snapshot(snapshot_parts)
        if isinstance(snapshot, Failure):
            return snapshot
        return decode_log(log_parts).bind(
            lambda log: join_snapshot(log, snapshot.unwrap())
        )

    def _read_parts(self, name: str) -> Iterator[bytes] | None:
        first = self._files.read(name, 0, PART_BYTES)
        return None if first is None else self._continue_reading(name, first)

    def _continue_reading(self, name: str, part: bytes) -> Iterator[bytes]:
        offset = 0
        while part:
            yield part
            offset += len(part)
            part = self._files.read(name, offset, PART_BYTES) or b""

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        """Save the hard state and entries as one durable record."""
        if self._size == 0:
            return self._attempt_exclusively(
                lambda: self._rewrite_log(hard_state, LogPosition(), entries)
            )
        return self.write(hard_state, entries).bind(lambda _: self.sync())

    def write(
        self, hard_state: HardState, entries: Sequence[Entry]
    ) -> Result[None, StoreFailure]:
        """Write the hard state and entries as one record without syncing it."""
        if self._size == 0:
            return self.append(hard_state, entries)
        stored = LogRecord(hard_state, tuple(entries), self._durable_size)
        record = encode_record(stored)
        return self._attempt(lambda: self._write_record(record))

    def sync(self) -> Result[None, StoreFailure]:
        """Make all written records durable."""
        return self._attempt_exclusively(self._sync_log)

    def save_snapshot(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: Sequence[Entry],
    ) -> Result[None, StoreFailure]:
        """Save a snapshot and replace the stored entries."""

        def save() -> None:
            self._write_new_file(SNAPSHOT_FILE, (encode_snapshot(snapshot),))
            size = self._write_new_file(LOG_FILE, encode_log(hard_state, base, entries))
            self._replace_file(SNAPSHOT_FILE)
            self._replace_file(LOG_FILE)
            self._size = self._durable_size = size

        return self._attempt_exclusively(save)

    def discard(self) -> Result[None, StoreFailure]:
        """Rename the files, so that the next load finds an empty folder."""

        def rename() -> None:
            for name in (LOG_FILE, SNAPSHOT_FILE):
                if self._files.read(name, 0, 0) is not None:
                    self._files.rename(name, name + DAMAGED_SUFFIX)
            self._sync_folder()
            self._size = self._durable_size = 0

        return self._attempt_exclusively(rename)

    def close(self) -> None:
        """Close the files."""
        with self._file_lock:
            self._files.close()

    def _attempt_exclusively(
        self, action: Callable[[], None]
    ) -> Result[None, StoreFailure]:
        """Run ``action`` while no other thread syncs a file."""
        with self._file_lock:
            return self._attempt(action)

    def _attempt(self, action: Callable[[], None]) -> Result[None, StoreFailure]:
        if self._stopped is not None:
            return Failure(self._stopped)
        try:
            action()
        except OSError as error:
            if error.errno in FULL_DISK_ERRORS and self._remove_partial_writes():
                return Failure(DiskFull())
            self._stopped = SyncFailed(str(error))
            return Failure(self._stopped)
        return Success(None)

    def _remove_partial_writes(self) -> bool:
        """Remove the partial writes that a full disk left; return whether it worked."""
        try:
            self._remove_replacements()
            if self._size:
                self._files.truncate(LOG_FILE, self._size)
        except OSError:
            return False
        return True

    def _remove_replacements(self) -> None:
        self._files.remove(LOG_FILE + NEW_SUFFIX)
        self._files.remove(SNAPSHOT_FILE + NEW_SUFFIX)

    def _write_record(self, record: bytes) -> None:
        self._files.append(LOG_FILE, record)
        self._size += len(record)

    def _rewrite_log(
        self, hard_state: HardState, base: LogPosition, entries: Sequence[Entry]
    ) -> None:
        size = self._write_new_file(LOG_FILE, encode_log(hard_state, base, entries))
        self._replace_file(LOG_FILE)
        self._size = self._durable_size = size

    def _write_new_file(self, name: str, parts: Iterable[bytes]) -> int:
        """Write and sync the replacement of a file; return its size."""
        self._files.remove(name + NEW_SUFFIX)
        size = 0
        for part in parts:
            self._files.append(name + NEW_SUFFIX, part)
            size += len(part)
        self._sync(name + NEW_SUFFIX)
        return size

    def _replace_file(self, name: str) -> None:
        self._files.rename(name + NEW_SUFFIX, name)
        self._sync_folder()

    def _sync_log(self) -> None:
        size = self._size  # without what is written during the sync
        self._sync(LOG_FILE)
        self._durable_size = size

    def _sync(self, name: str) -> None:
        try:
            self._files.sync(name)
        except OSError as error:
            raise _make_permanent_error(error) from error

    def _sync_folder(self) -> None:
        try:
            self._files.sync_folder()
        except OSError as error:
            raise _make_permanent_error(error) from error


def _describe_refusal(error: OSError) -> Failure[StoreFailure]:
    is_full = error.errno in FULL_DISK_ERRORS
    return Failure(DiskFull() if is_full else SyncFailed(str(error)))


def _make_permanent_error(error: OSError) -> OSError:
    """Return an error that is not treated as a full disk.

    A failed sync leaves open which data is durable, whatever the reason, so
    the store must stop.
    """
    return OSError(errno.EIO, f"sync failed: {error}")
