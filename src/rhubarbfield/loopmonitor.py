"""Measures how long the event loop takes between two waits for I/O.

One pass of trio's loop runs every task that is runnable at its beginning once. A
message that takes several steps needs as many passes, so long passes delay
everything that the process does, even if no single step is long.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import trio
from prometheus_client import Counter, Histogram

from rhubarbfield.logs import log_event

logger = logging.getLogger(__name__)

# More than a quarter of the shortest lease of a log's leader, 900 ms.
DELAYED_PASS = timedelta(milliseconds=250)
MAX_NAMED_TASKS = 3
USAGE_INTERVAL = timedelta(seconds=10)
MAX_NAMED_USERS = 8

PASS_SECONDS = Histogram(
    "rhubarbfield_loop_pass_seconds",
    "Time that the event loop took from the end of a wait for I/O to the next one.",
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0),
)
TASK_SECONDS = Counter(
    "rhubarbfield_loop_task_seconds",
    "Time that the tasks of a function took, brought up to date each 10 s.",
    ("function",),
)


class TaskTime(msgspec.Struct):
    """Time that the tasks of one function took.

    Attributes
    ----------
    seconds
        Sum of the durations of their steps.
    steps
        Number of their steps.
    """

    seconds: float = 0.0
    steps: int = 0


class LoopMonitor(trio.abc.Instrument):
    """Instrument that measures passes of the event loop and reports long ones.

    A pass that takes ``DELAYED_PASS`` or more is logged as ``loop-delayed``, hence
    at most four each second. What all passes took, and for which tasks, is logged as
    ``loop-usage`` once in each ``USAGE_INTERVAL``.

    Parameters
    ----------
    monotonic
        Returns monotonic time in seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._started_at: float | None = None
        self._steps: list[tuple[trio.lowlevel.Task, float]] = []
        self._threshold = DELAYED_PASS.total_seconds()
        self._usage = LoopUsage(monotonic())

    def after_io_wait(self, timeout: float) -> None:
        """Begin a pass."""
        self._started_at = self._monotonic()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Record when a step ended; the next one begins at that time."""
        self._steps.append((task, self._monotonic()))

    def before_io_wait(self, timeout: float) -> None:
        """End a pass."""
        started_at = self._started_at
        if started_at is None:
            return
        ended_at = self._monotonic()
        seconds = ended_at - started_at
        PASS_SECONDS.observe(seconds)
        if seconds >= self._threshold:
            self._report(started_at, seconds)
        self._usage.add_pass(started_at, seconds, self._steps)
        self._steps.clear()
        self._usage.report_when_due(ended_at)

    def _report(self, started_at: float, seconds: float) -> None:
        times: dict[str, TaskTime] = {}
        longest_step = _add_steps(times, started_at, self._steps)
        log_event(
            logger,
            logging.WARNING,
            "loop-delayed",
            seconds=round(seconds, 3),
            steps=len(self._steps),
            longest_step=round(longest_step, 3),
            tasks=_format_longest(times, MAX_NAMED_TASKS),
        )


class LoopUsage:
    """What the passes of the event loop took since the last report.

    Parameters
    ----------
    now
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._passes = 0
        self._seconds = 0.0
        self._times: dict[str, TaskTime] = {}

    def add_pass(
        self,
        started_at: float,
        seconds: float,
        steps: Sequence[tuple[trio.lowlevel.Task, float]],
    ) -> None:
        """Add a pass with the tasks of its steps and the times when they ended."""
        self._passes += 1
        self._seconds += seconds
        _add_steps(self._times, started_at, steps)

    def report_when_due(self, now: float) -> None:
        """Log and count the usage if the last report is old enough."""
        elapsed = now - self._since
        if elapsed < USAGE_INTERVAL.total_seconds():
            return
        for name, time in self._times.items():
            TASK_SECONDS.labels(name).inc(time.seconds)
        log_event(
            logger,
            logging.INFO,
            "loop-usage",
            elapsed=round(elapsed, 3),
            busy=round(self._seconds, 3),
            passes=self._passes,
            steps=sum(time.steps for time in self._times.values()),
            tasks=_format_longest(self._times, MAX_NAMED_USERS),
        )
        self._since = now
        self._passes = 0
        self._seconds = 0.0
        self._times.clear()


def _add_steps(
    times: dict[str, TaskTime],
    started_at: float,
    steps: Sequence[tuple[trio.lowlevel.Task, float]],
) -> float:
    """Add the steps of a pass to ``times``; return the duration of the longest."""
    longest = 0.0
    for task, ended_at in steps:
        step = ended_at - started_at
        started_at = ended_at
        longest = max(longest, step)
        name = _get_function_name(task)
        time = times.get(name)
        if time is None:
            time = times[name] = TaskTime()
        time.seconds += step
        time.steps += 1
    return longest


def _format_longest(times: dict[str, TaskTime], count: int) -> str:
    by_time = sorted(times.items(), key=lambda item: -item[1].seconds)
    return ", ".join(
        f"{name} {time.seconds:.3f} s in {time.steps} steps"
        for name, time in by_time[:count]
    )


def _get_function_name(task: trio.lowlevel.Task) -> str:
    # Unlike the name of the task, which the caller may choose, this name comes from
    # the code, so that there are few.
    code = getattr(task.coro, "cr_code", None)
    return str(getattr(code, "co_qualname", type(task.coro).__qualname__))
