"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()
