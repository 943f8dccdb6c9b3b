"""File operations that a store needs, and their implementation."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600
LOCK_FILE = "lock"


class FileLayer(Protocol):
    """Operations on the files of one folder.

    Every method raises :class:`OSError` if the operating system reports one.
    """

    def lock(self) -> None:
        """Lock the folder until it is closed or the process ends.

        Raises
        ------
        BlockingIOError
            If another process holds the lock.
        """

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes | None:
        """Return a part of a file, or None if it does not exist.

        Parameters
        ----------
        name
            Name of the file.
        offset
            Start of the part, in bytes.
        size
            Length of the part, or None for all the rest; less is returned only at
            the end of the file.
        """

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if missing."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def sync_folder(self) -> None:
        """Make the directory entries of the folder durable."""

    def close(self) -> None:
        """Close all open files and release the lock."""


class SystemFiles:
    """File operations on a real folder.

    Parameters
    ----------
    folder
        Created by :meth:`lock` if missing.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}
        self._folder_descriptor: int | None = None

    def lock(self) -> None:
        """Lock the folder until it is closed or the process ends."""
        self._make_folder()
        self._get_folder()
        fcntl.flock(self._get_descriptor(LOCK_FILE), fcntl.LOCK_EX | fcntl.LOCK_NB)

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes | None:
        """Return a part of a file, or None if it does not exist."""
        try:
            with (self._folder / name).open("rb") as file:
                file.seek(offset)
                return file.read(size)
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if missing."""
        descriptor = self._get_descriptor(name)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        os.ftruncate(self._get_descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        os.fdatasync(self._get_descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name.

        It stays open, since opening it again fails if other files and connections
        take all descriptors.
        """
        (self._folder / old).replace(self._folder / new)
        self._close_file(new)
        if old in self._open:
            self._open[new] = self._open.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._close_file(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make the directory entries of the folder durable."""
        os.fsync(self._get_folder())

    def close(self) -> None:
        """Close all open files and release the lock."""
        for name in list(self._open):
            self._close_file(name)
        if self._folder_descriptor is not None:
            os.close(self._folder_descriptor)
            self._folder_descriptor = None

    def _make_folder(self) -> None:
        """Create the folder so that a power loss can't remove it with its files."""
        # One found here too: the process that made it may have ended before its sync.
        unsynced = [
            self._folder,
            *(it for it in self._folder.parents if not it.exists()),
        ]
        self._folder.mkdir(parents=True, exist_ok=True)
        for folder in unsynced:
            descriptor = _open_folder(folder.parent)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def _get_folder(self) -> int:
        if self._folder_descriptor is None:
            self._folder_descriptor = _open_folder(self._folder)
        return self._folder_descriptor

    def _get_descriptor(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open[name] = os.open(self._folder / name, flags, FILE_MODE)
        return self._open[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _open_folder(folder: Path) -> int:
    return os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
