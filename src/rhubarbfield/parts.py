"""Bytes that arrive in parts and are read in others."""

from __future__ import annotations

from collections import deque

# Smaller parts are collected until they are as large.
PART_BYTES = 16_384


class Parts:
    """A queue of bytes that takes up little more than their size.

    A single buffer that grows is moved again and again, and leaves gaps in the memory
    of the process.
    """

    def __init__(self) -> None:
        self._parts: deque[bytes] = deque()
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes at the end."""
        self._size += len(data)
        if len(data) < PART_BYTES:
            self._tail += data
            if len(self._tail) < PART_BYTES:
                return
            data = b""
        self._close_tail()
        if data:
            self._parts.append(bytes(data))

    def take(self, size: int) -> bytes:
        """Remove and return the first ``size`` bytes."""
        self._close_tail()
        taken: list[bytes] = []
        missing = size
        while missing > 0:
            part = self._parts.popleft()
            if len(part) > missing:
                self._parts.appendleft(part[missing:])
                part = part[:missing]
            taken.append(part)
            missing -= len(part)
        self._size -= size
        return taken[0] if len(taken) == 1 else b"".join(taken)

    def take_all(self) -> bytes:
        """Remove and return all bytes."""
        return self.take(self._size)

    def clear(self) -> None:
        """Remove all bytes."""
        self._parts.clear()
        self._tail.clear()
        self._size = 0

    def _close_tail(self) -> None:
        if self._tail:
            self._parts.append(bytes(self._tail))
            self._tail.clear()
