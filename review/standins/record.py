"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one JSON line for each event, and keeps them for the check."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.events: list[dict[str, Any]] = []
        # Demand of the tasks of each job and step, for runners that guard it.
        self.needs: dict[str, tuple[int, int]] = {}

    def now(self) -> float:
        """Seconds since the case began."""
        return round(time.monotonic() - self._began, 3)

    def write(self, event: str, **fields: Any) -> None:
        """Add an event."""
        entry = {"at": self.now(), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()

    def select(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of a kind with these fields."""
        return [
            each
            for each in self.events
            if each["event"] == event
            and all(each.get(name) == value for name, value in fields.items())
        ]
