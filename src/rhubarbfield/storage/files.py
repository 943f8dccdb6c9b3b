"""The file operations that a store needs, as a port."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600
LOCK_FILE = "lock"


class FileLayer(Protocol):
    """Files of one folder.

    Every method raises :class:`OSError` when the system refuses.
    """

    def lock(self) -> None:
        """Keep other processes out until closed or the process ends.

        Raises :class:`BlockingIOError` if another process did.
        """

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None if there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made if there is none."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had that name."""

    def remove(self, name: str) -> None:
        """Remove a file, if there is one."""

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""

    def close(self) -> None:
        """Release what is held open."""


class SystemFiles:
    """The real files of a folder.

    Parameters
    ----------
    folder
        Made if there is none.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._folder.mkdir(parents=True, exist_ok=True)
        self._open: dict[str, int] = {}

    def lock(self) -> None:
        """Keep other processes out until closed or the process ends."""
        fcntl.flock(self._get_descriptor(LOCK_FILE), fcntl.LOCK_EX | fcntl.LOCK_NB)

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, or None if there is none."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made if there is none."""
        descriptor = self._get_descriptor(name)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        os.ftruncate(self._get_descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        os.fdatasync(self._get_descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had that name."""
        self._close_file(old)
        self._close_file(new)
        (self._folder / old).replace(self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file, if there is one."""
        self._close_file(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close the files held open."""
        for name in list(self._open):
            self._close_file(name)

    def _get_descriptor(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open[name] = os.open(self._folder / name, flags, FILE_MODE)
        return self._open[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
