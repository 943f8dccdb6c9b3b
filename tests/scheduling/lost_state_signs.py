"""Collection of the warnings that a leader's state lacks committed records."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from rhubarbfield.logs import find_event

SIGNS = frozenset({"ends-missing", "run-vanished", "removed-worker-answered"})
AREA = "rhubarbfield.scheduling"


class _Collector(logging.Handler):
    """Keeps the warnings of some events."""

    def __init__(self, found: list[str]) -> None:
        super().__init__(logging.WARNING)
        self._found = found

    def emit(self, record: logging.LogRecord) -> None:
        if find_event(record) in SIGNS:
            self._found.append(record.getMessage())


@contextmanager
def collect_signs() -> Iterator[list[str]]:
    """Collect the warnings that are logged during the block, and print none."""
    found: list[str] = []
    area, collector = logging.getLogger(AREA), _Collector(found)
    level, propagates = area.level, area.propagate
    area.setLevel(logging.WARNING)
    area.propagate = False
    area.addHandler(collector)
    try:
        yield found
    finally:
        area.removeHandler(collector)
        area.propagate = propagates
        area.setLevel(level)
