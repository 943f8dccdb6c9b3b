"""Deterministic runs: the same seed gives the same run.

trio deliberately schedules tasks in random order. Its own tests turn this off
through two private names. Both are checked here, so that a version of trio
that lacks them is detected.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import TypeVar

import trio
import trio._core._run as trio_run
import trio.testing

from rhubarbfield.containment import CONTAINED_ERRORS

ResultT = TypeVar("ResultT")


def check_private_names() -> None:
    """Check that trio has the private names that this module sets."""
    if not isinstance(trio_run._ALLOW_DETERMINISTIC_SCHEDULING, bool):
        raise TypeError("trio's _ALLOW_DETERMINISTIC_SCHEDULING is not a bool")
    if not isinstance(trio_run._r, Random):
        raise TypeError("trio's _r is not a Random")


def run_deterministic(function: Callable[[], Awaitable[ResultT]], seed: int) -> ResultT:
    """Run ``function`` on a virtual clock with a deterministic task order.

    Fails if an error was contained that no test expects, since it would have ended
    the process without containment.
    """
    check_private_names()
    contained = count_contained()
    before = trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    try:
        result = trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = before
    if count_contained() != contained and not _expected:
        raise AssertionError("an error was contained: see the lines work-failed")
    return result


_expected: list[bool] = []


@contextmanager
def expect_contained_errors() -> Iterator[None]:
    """Let runs within the block contain errors."""
    _expected.append(True)
    try:
        yield
    finally:
        _expected.pop()


def count_contained() -> float:
    """Return the number of errors that this process has contained so far."""
    (metric,) = CONTAINED_ERRORS.collect()
    return sum(s.value for s in metric.samples if s.name.endswith("_total"))
