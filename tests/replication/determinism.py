"""Deterministic runs: the same seed gives the same run, and no error is contained."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

from rhubarbfield.containment import CONTAINED_ERRORS
from rhubarbfield.testing.determinism import run_seeded

ResultT = TypeVar("ResultT")


def run_deterministic(function: Callable[[], Awaitable[ResultT]], seed: int) -> ResultT:
    """Run ``function`` on a virtual clock with a deterministic task order.

    Fails if an error was contained that no test expects, since it would have ended
    the process without containment.
    """
    contained = count_contained()
    result = run_seeded(function, seed)
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
