"""Program that appends to a store until killed and prints each durable index.

``python -m tests.storage.writer FOLDER``
"""

from __future__ import annotations

import sys
from pathlib import Path

from rhubarbfield.storage import (
    Entry,
    EntryKind,
    FileStore,
    HardState,
    LogPosition,
    Snapshot,
)
from rhubarbfield.types import Incarnation, LogIndex, Term

STATE = HardState(Incarnation("one"), Term(1))
ENTRIES_BETWEEN_SNAPSHOTS = 50
ENTRIES_KEPT = 20


def write_until_killed(folder: Path) -> None:
    store = FileStore(folder)
    store.load().unwrap()
    kept: list[Entry] = []
    index = 0
    while True:
        index += 1
        data = bytes(index % 1000)
        entry = Entry(LogIndex(index), Term(1), EntryKind.COMMAND, data)
        store.append(STATE, [entry]).unwrap()
        kept = [*kept, entry][-ENTRIES_KEPT:]
        if index % ENTRIES_BETWEEN_SNAPSHOTS == 0:
            snapshot = Snapshot(LogPosition(LogIndex(index), Term(1)), b"", b"state")
            base = LogPosition(LogIndex(index - ENTRIES_KEPT), Term(1))
            store.save_snapshot(STATE, snapshot, base, kept).unwrap()
        print(index, flush=True)


if __name__ == "__main__":
    write_until_killed(Path(sys.argv[1]))
