"""Runs on a virtual clock in which the same seed gives the same order of tasks.

trio deliberately schedules tasks in random order. Its own tests turn this off
through two private names. Both are checked here, so that a version of trio
that lacks them is detected.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import trio
import trio._core._run as trio_run
import trio.testing

ResultT = TypeVar("ResultT")


def check_private_names() -> None:
    """Check that trio has the private names that this module sets."""
    if not isinstance(trio_run._ALLOW_DETERMINISTIC_SCHEDULING, bool):
        raise TypeError("trio's _ALLOW_DETERMINISTIC_SCHEDULING is not a bool")
    if not isinstance(trio_run._r, Random):
        raise TypeError("trio's _r is not a Random")


def run_seeded(function: Callable[[], Awaitable[ResultT]], seed: int) -> ResultT:
    """Run ``function`` on a virtual clock, with an order of tasks from ``seed``."""
    check_private_names()
    before = trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
    try:
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
