"""Files in memory that simulate lost and torn writes, errors and crashes."""

from __future__ import annotations

import errno
from enum import Enum
from random import Random

ALL_LOST_SHARE = 0.2  # of the losses of power


class SimulatedCrashError(Exception):
    """A simulated crash of the process in the middle of a file operation."""


class FileOperation(Enum):
    """Operations that a full disk may refuse."""

    APPEND = "append"
    TRUNCATE = "truncate"
    SYNC = "sync"
    RENAME = "rename"
    SYNC_FOLDER = "sync-folder"


class SimulatedFile:
    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = b""
        self.writes: list[tuple[int, int]] = []  # begin and end of each since a sync

    def keep_some_writes(self, random: Random) -> None:
        """Keep, lose or tear each write since the last sync, or lose all of them."""
        kept = bytearray(self.synced)
        if random.random() < ALL_LOST_SHARE:
            self.writes.clear()
        for begin, end in self.writes:
            until = random.choice((begin, end, random.randint(begin, end)))
            if until > begin:
                kept.extend(bytes(max(0, until - len(kept))))
                kept[begin:until] = self.data[begin:until]
        self.data = kept


class SimulatedFiles:
    """A :class:`rhubarbfield.storage.FileLayer` for one folder in memory."""

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random(0)
        self._names: dict[str, SimulatedFile] = {}
        self._durable_names: dict[str, SimulatedFile] = {}
        self.capacity: int | None = None
        self.fail_syncs = False
        self.refused: frozenset[FileOperation] = frozenset()  # as the disk is full
        self.operations_until_crash: int | None = None
        self.syncs = 0

    def lock(self) -> None:
        pass

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes | None:
        file = self._names.get(name)
        end = None if size is None else offset + size
        return bytes(file.data[offset:end]) if file is not None else None

    def append(self, name: str, data: bytes) -> None:
        file = self._names.setdefault(name, SimulatedFile())
        writable = len(data)
        if FileOperation.APPEND in self.refused:
            writable = self._random.randint(0, len(data) - 1)
        if self.capacity is not None:
            used = sum(len(each.data) for each in self._names.values())
            writable = max(0, self.capacity - used)
        begin = len(file.data)
        file.data += data[:writable]
        file.writes.append((begin, len(file.data)))
        self._count_operation()
        if writable < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name: str, size: int) -> None:
        self._count_operation()
        self._require_room(FileOperation.TRUNCATE)
        file = self._names[name]
        del file.data[size:]
        file.synced = file.synced[:size]
        file.writes = [(begin, min(end, size)) for begin, end in file.writes]

    def sync(self, name: str) -> None:
        self._count_operation()
        self._require_room(FileOperation.SYNC)
        if self.fail_syncs:
            raise OSError(errno.EIO, "sync refused")
        self.syncs += 1
        file = self._names[name]
        file.synced = bytes(file.data)
        file.writes = []

    def rename(self, old: str, new: str) -> None:
        self._count_operation()
        self._require_room(FileOperation.RENAME)
        self._names[new] = self._names.pop(old)

    def remove(self, name: str) -> None:
        self._names.pop(name, None)

    def sync_folder(self) -> None:
        self._count_operation()
        self._require_room(FileOperation.SYNC_FOLDER)
        if self.fail_syncs:
            raise OSError(errno.EIO, "sync refused")
        self._durable_names = dict(self._names)

    def close(self) -> None:
        pass

    def flip_byte(self, name: str, offset: int) -> None:
        file = self._names[name]
        file.data[offset] ^= 0xFF
        file.synced = bytes(file.data)

    def cut(self, name: str, size: int) -> None:
        del self._names[name].data[size:]

    def lose_unsynced(self) -> None:
        """Keep the durable data and a random part of the rest.

        Of the writes and names since a sync each is kept or lost by itself.
        """
        names: dict[str, SimulatedFile] = {}
        for name in sorted({*self._names, *self._durable_names}):
            found = self._random.choice((self._names, self._durable_names))
            if name in found:
                names[name] = found[name]
        self._names = names
        for file in self._names.values():
            file.keep_some_writes(self._random)
            file.synced = bytes(file.data)
            file.writes = []
        self._durable_names = dict(self._names)
        self.operations_until_crash = None
        self.fail_syncs = False

    def lose_all(self) -> None:
        """Delete all data, as if the disk had been replaced by an empty one."""
        self._names = {}
        self._durable_names = {}
        self.operations_until_crash = None
        self.fail_syncs = False

    def _require_room(self, operation: FileOperation) -> None:
        if operation in self.refused:
            raise OSError(errno.ENOSPC, "no space left")

    def _count_operation(self) -> None:
        if self.operations_until_crash is None:
            return
        self.operations_until_crash -= 1
        if self.operations_until_crash <= 0:
            raise SimulatedCrashError
