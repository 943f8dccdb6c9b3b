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

LINGER = timedelta(milliseconds=20)  # lines that come together share a turn
REPORT_INTERVAL = timedelta(seconds=1)  # between two counts of what was left out
CLOSE_PATIENCE = timedelta(seconds=1)  # for a reader, when the program ends
BURST_SECONDS = 2.0  # of its budget that an event may use at once
MAX_EVENTS = 500  # with a budget of their own; names are few and fixed
OTHER_EVENTS = "other-events"
LEFT_OUT = "lines-left-out"


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

    lines_a_second: float = 200.0
    queued_lines: int = 4000


class Allowance:
    """A bucket of lines that fills with time."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._left = rate * BURST_SECONDS
        self._at = now

    def take(self, now: float) -> bool:
        """Use up one line, if one is left."""
        filled = self._left + (now - self._at) * self._rate
        self._left = min(filled, self._rate * BURST_SECONDS)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class BoundedOutput(logging.Handler):
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
        self._allowances: dict[tuple[str, bool], Allowance] = {}
        self._lines: deque[str] = deque()
        self._left_out: Counter[str] = Counter()
        self._filled = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._write_lines, name="log-output", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of ``record``, or count it as left out."""
        event = find_event(record)
        is_urgent = record.levelno >= logging.WARNING
        if self._is_full(is_urgent) or not self._may_write(event, is_urgent):
            self._left_out[event] += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:  # a value that can't be shown must not end the program
            self.handleError(record)
            return
        self._filled.set()

    def close(self) -> None:
        """Write what waits, if it is read soon, and stop."""
        self._closing.set()
        self._filled.set()
        self._thread.join(CLOSE_PATIENCE.total_seconds())
        super().close()

    def _is_full(self, is_urgent: bool) -> bool:
        most = self._budget.queued_lines
        return len(self._lines) >= (most if is_urgent else most * 3 // 4)

    def _may_write(self, event: str, is_urgent: bool) -> bool:
        key = (event, is_urgent)
        now = self._monotonic()
        if key not in self._allowances:
            if len(self._allowances) >= MAX_EVENTS:
                key = (OTHER_EVENTS, is_urgent)
            rate = self._budget.lines_a_second
            self._allowances.setdefault(key, Allowance(rate, now))
        return self._allowances[key].take(now)

    def _write_lines(self) -> None:
        reported = self._monotonic()
        while not (self._closing.is_set() and not self._lines):
            self._filled.wait(REPORT_INTERVAL.total_seconds())
            self._filled.clear()
            self._closing.wait(LINGER.total_seconds())
            taken = [self._lines.popleft() for _ in range(len(self._lines))]
            now = self._monotonic()
            is_due = now - reported >= REPORT_INTERVAL.total_seconds()
            if self._left_out and (is_due or self._closing.is_set()):
                taken.append(self._report_left_out())
                reported = now
            # A line for each write: collectors put their mark before each.
            if not all(self._write(f"{line}\n") for line in taken):
                return

    def _report_left_out(self) -> str:
        left_out, self._left_out = self._left_out, Counter()
        return format_event(
            "logs", logging.WARNING, LEFT_OUT, total=left_out.total(), **left_out
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
) -> BoundedOutput:
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
    output = BoundedOutput(descriptor, budget)
    install_handler(output, level)
    return output
