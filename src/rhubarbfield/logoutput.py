"""Writing logs within a budget, without waiting for who reads them.

Lines go to a file descriptor through a thread. A reader that stops reading
costs lines, not time: what finds the queue full is left out, and so is what
exceeds the budget of its event. What was left out is counted in a line of its
own. Warnings and errors have a budget of their own and the last part of the
queue, so that they outlive a flood of what went well.
"""

from __future__ import annotations

import logging
import os
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta

import msgspec

from rhubarbfield.logs import (
    JsonFormatter,
    find_event,
    format_event,
    install_handler,
)

WRITE_BATCH_DELAY = timedelta(milliseconds=20)  # lines that come together share a turn
REPORT_INTERVAL = timedelta(seconds=1)  # between two counts of what was left out
CLOSE_TIMEOUT = timedelta(seconds=1)  # for a reader, when the program ends
BURST_SECONDS = 2.0  # of its budget that an event may use at once
MAX_EVENTS = 500  # with a budget of their own; names are few and fixed
OTHER_EVENTS = "other-events"
DROPPED_LINES_EVENT = "lines-left-out"


class LogBudget(msgspec.Struct, frozen=True, kw_only=True):
    """How much is written.

    Attributes
    ----------
    lines_a_second
        Of each event, and of its warnings and errors again.
    queued_lines
        Lines that wait for the reader; the last quarter is kept for warnings
        and errors.
    """

    lines_per_second: float = 200.0
    queued_lines: int = 4000


class TokenBucket:
    """A bucket of lines that fills with time."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Use up one line, if one is left."""
        refilled = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(refilled, self._rate * BURST_SECONDS)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor, never waiting for it.

    Parameters
    ----------
    descriptor
        Where lines go; it may block.
    budget
        How much is written.
    monotonic
        Returns seconds that only grow.
    """

    def __init__(
        self,
        descriptor: int,
        budget: LogBudget | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.setFormatter(JsonFormatter())
        self._descriptor = descriptor
        self._budget = budget if budget is not None else LogBudget()
        self._monotonic = monotonic
        self._buckets: dict[tuple[str, bool], TokenBucket] = {}
        self._lines: deque[str] = deque()
        self._dropped: Counter[str] = Counter()
        self._wake_up = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._write_lines, name="log-output", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of ``record``, or count it as left out."""
        event = find_event(record)
        is_important = record.levelno >= logging.WARNING
        if self._is_full(is_important) or not self._may_write(event, is_important):
            self._dropped[event] += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:  # a value that can't be shown must not end the program
            self.handleError(record)
            return
        self._wake_up.set()

    def close(self) -> None:
        """Write what waits, if it is read soon, and stop."""
        self._closing.set()
        self._wake_up.set()
        self._thread.join(CLOSE_TIMEOUT.total_seconds())
        super().close()

    def _is_full(self, is_important: bool) -> bool:
        limit = self._budget.queued_lines
        return len(self._lines) >= (limit if is_important else limit * 3 // 4)

    def _may_write(self, event: str, is_important: bool) -> bool:
        key = (event, is_important)
        now = self._monotonic()
        if key not in self._buckets:
            if len(self._buckets) >= MAX_EVENTS:
                key = (OTHER_EVENTS, is_important)
            rate = self._budget.lines_per_second
            self._buckets.setdefault(key, TokenBucket(rate, now))
        return self._buckets[key].take(now)

    def _write_lines(self) -> None:
        last_report_at = self._monotonic()
        while not (self._closing.is_set() and not self._lines):
            self._wake_up.wait(REPORT_INTERVAL.total_seconds())
            self._wake_up.clear()
            self._closing.wait(WRITE_BATCH_DELAY.total_seconds())
            batch = [self._lines.popleft() for _ in range(len(self._lines))]
            now = self._monotonic()
            is_due = now - last_report_at >= REPORT_INTERVAL.total_seconds()
            if self._dropped and (is_due or self._closing.is_set()):
                batch.append(self._format_dropped_report())
                last_report_at = now
            # A line for each write: collectors put their mark before each.
            if not all(self._write(f"{line}\n") for line in batch):
                return

    def _format_dropped_report(self) -> str:
        dropped, self._dropped = self._dropped, Counter()
        return format_event(
            "logs",
            logging.WARNING,
            DROPPED_LINES_EVENT,
            total=dropped.total(),
            **dropped,
        )

    def _write(self, text: str) -> bool:
        rest = memoryview(text.encode())
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except OSError:  # nobody reads any more; there is nowhere to say so
                return False
        return True


def configure_bounded_logging(
    level: str, descriptor: int, budget: LogBudget | None = None
) -> BoundedLogHandler:
    """Send the events of the whole program to a file descriptor.

    Parameters
    ----------
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    descriptor
        Where to write.
    budget
        How much is written.

    Returns
    -------
    BoundedOutput
        To be closed when the program ends.
    """
    output = BoundedLogHandler(descriptor, budget)
    install_handler(output, level)
    return output
