"""Measures how long the event loop takes between two waits for I/O.

One pass of trio's loop runs every task that is runnable at its beginning once. A
message that takes several steps needs as many passes, so long passes delay
everything that the process does, even if no single step is long.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec
import trio
from prometheus_client import Histogram

from rhubarbfield.logs import log_event

logger = logging.getLogger(__name__)

# More than a quarter of the shortest lease of a log's leader, 900 ms.
DELAYED_PASS = timedelta(milliseconds=250)
MAX_NAMED_TASKS = 3

PASS_SECONDS = Histogram(
    "rhubarbfield_loop_pass_seconds",
    "Time that the event loop took from the end of a wait for I/O to the next one.",
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0),
)


class TaskTime(msgspec.Struct):
    """Time that the tasks of one function took in a pass.

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
    at most four each second.

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
        seconds = self._monotonic() - started_at
        PASS_SECONDS.observe(seconds)
        if seconds >= self._threshold:
            self._report(started_at, seconds)
        self._steps.clear()

    def _report(self, started_at: float, seconds: float) -> None:
        times: dict[str, TaskTime] = {}
        longest_step = 0.0
        step_started_at = started_at
        for task, ended_at in self._steps:
            step = ended_at - step_started_at
            step_started_at = ended_at
            longest_step = max(longest_step, step)
            time = times.setdefault(_get_function_name(task), TaskTime())
            time.seconds += step
            time.steps += 1
        by_time = sorted(times.items(), key=lambda item: -item[1].seconds)
        log_event(
            logger,
            logging.WARNING,
            "loop-delayed",
            seconds=round(seconds, 3),
            steps=len(self._steps),
            longest_step=round(longest_step, 3),
            tasks=", ".join(
                f"{name} {time.seconds:.3f} s in {time.steps} steps"
                for name, time in by_time[:MAX_NAMED_TASKS]
            ),
        )


def _get_function_name(task: trio.lowlevel.Task) -> str:
    # Unlike the name of the task, which the caller may choose, this name comes from
    # the code, so that there are few.
    code = getattr(task.coro, "cr_code", None)
    return str(getattr(code, "co_qualname", type(task.coro).__qualname__))
