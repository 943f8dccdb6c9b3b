"""Rate-limited log output that never blocks the program.

A thread writes lines to a file descriptor. If the reader stops reading, lines
are dropped instead of delaying the program: a line is dropped when the queue is
full or when the budget of its event is used up. A periodic line reports how many
were dropped. Warnings and errors have separate budgets and a reserved part of
the queue, so that a flood of lower levels does not displace them.
"""

from __future__ import annotations

import logging
import os
import select
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

WRITE_BATCH_DELAY = timedelta(milliseconds=20)  # time to collect lines to write
REPORT_INTERVAL = timedelta(seconds=1)  # between reports of dropped lines
CLOSE_TIMEOUT = timedelta(seconds=1)  # for writing queued lines at exit
BURST_SECONDS = 2.0  # capacity of a token bucket, in seconds at its rate
# Event names are few and fixed; any beyond this limit share ``OTHER_EVENTS``.
MAX_EVENT_BUCKETS = 500
OTHER_EVENTS = "other-events"
DROPPED_LINES_EVENT = "lines-left-out"


class LogBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the log output.

    Attributes
    ----------
    lines_per_second
        Rate for each event name; its warnings and errors have a separate budget
        with the same rate.
    queued_lines
        Capacity of the queue; the last quarter is reserved for warnings and
        errors.
    """

    lines_per_second: float = 200.0
    queued_lines: int = 4000


class TokenBucket:
    """Token bucket with one token for each line.

    Parameters
    ----------
    rate
        Tokens added per second.
    now
        Current monotonic time in seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        refilled = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(refilled, self._rate * BURST_SECONDS)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedLogHandler(logging.Handler):
    """Log handler that writes to a file descriptor without blocking the caller.

    Parameters
    ----------
    descriptor
        File descriptor to write to; it may block.
    budget
        Limits of the output; the defaults of :class:`LogBudget` if None.
    monotonic
        Returns monotonic time in seconds.
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
        self._writable = select.poll()
        self._writable.register(descriptor, select.POLLOUT)
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
        """Queue the line of ``record``, or count it as dropped."""
        event = find_event(record)
        is_important = record.levelno >= logging.WARNING
        if self._is_full(is_important) or not self._may_write(event, is_important):
            self._dropped[event] += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:  # a value that can't be formatted must not stop the program
            self.handleError(record)
            return
        self._wake_up.set()

    def close(self) -> None:
        """Stop the thread after writing queued lines, at most ``CLOSE_TIMEOUT``."""
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
            if len(self._buckets) >= MAX_EVENT_BUCKETS:
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
            # One write per line: log collectors put a prefix before each write.
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
            except BlockingIOError:  # another process made the pipe non-blocking
                self._writable.poll()
            except OSError:  # the reader has closed, so this can't be logged either
                return False
        return True


def configure_bounded_logging(
    level: str, descriptor: int, budget: LogBudget | None = None
) -> BoundedLogHandler:
    """Write all log events of the program to a file descriptor.

    Parameters
    ----------
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    descriptor
        File descriptor to write to.
    budget
        Limits of the output; the defaults of :class:`LogBudget` if None.

    Returns
    -------
    BoundedLogHandler
        The handler; close it before the program exits.
    """
    output = BoundedLogHandler(descriptor, budget)
    install_handler(output, level)
    return output
