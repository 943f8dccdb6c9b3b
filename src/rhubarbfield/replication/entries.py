"""Entries of a log in memory, with their sizes."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from rhubarbfield.storage import Entry, LogPosition
from rhubarbfield.types import LogIndex


class EntryList:
    """Consecutive entries after a position.

    Parameters
    ----------
    base
        Position just before the first entry.
    entries
        The entries.
    """

    def __init__(self, base: LogPosition, entries: Iterable[Entry] = ()) -> None:
        self.base = base
        self._entries: list[Entry] = []
        # Bytes of all entries up to the base and up to each entry, from any origin.
        self._ends = [0]
        self.extend(entries)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry, or the base."""
        if not self._entries:
            return self.base
        return LogPosition(self._entries[-1].index, self._entries[-1].term)

    def get(self, index: LogIndex) -> Entry:
        """Return the entry at ``index``, which must be present."""
        return self._entries[index - self.base.index - 1]

    def list_after(
        self, index: LogIndex, max_entries: int | None = None
    ) -> list[Entry]:
        """Return the entries after ``index``, which is not before the base."""
        start = index - self.base.index
        end = None if max_entries is None else start + max_entries
        return self._entries[start:end]

    def extend(self, entries: Iterable[Entry]) -> None:
        """Add entries at the end."""
        for entry in entries:
            self._entries.append(entry)
            self._ends.append(self._ends[-1] + len(entry.data))

    def drop_from(self, index: LogIndex) -> None:
        """Drop the entries at and after ``index``."""
        start = index - self.base.index - 1
        del self._entries[start:]
        del self._ends[start + 1 :]

    def measure_bytes(self, after: LogIndex, until: LogIndex) -> int:
        """Return the bytes of the entries after ``after`` up to ``until``."""
        first = max(after - self.base.index, 0)
        return self._ends[until - self.base.index] - self._ends[first]

    def find_first_kept(
        self, until: LogIndex, max_entries: int, max_bytes: int
    ) -> LogIndex:
        """Return the index after which the entries up to ``until`` are in bounds."""
        count = until - self.base.index
        lowest_end = self._ends[count] - max_bytes
        start = bisect_left(self._ends, lowest_end, hi=count)
        return LogIndex(self.base.index + max(start, count - max_entries, 0))
