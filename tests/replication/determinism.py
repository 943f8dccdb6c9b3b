"""The same run each time for the same seed.

trio schedules tasks in a random order on purpose. Its own tests turn that
off with two private names; both are checked here, so that a new version of
trio that lacks them is noticed.
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
    """Raise if trio no longer has what this module sets."""
    if not isinstance(trio_run._ALLOW_DETERMINISTIC_SCHEDULING, bool):
        raise TypeError("trio has another _ALLOW_DETERMINISTIC_SCHEDULING")
    if not isinstance(trio_run._r, Random):
        raise TypeError("trio has another _r")


def run_deterministic(function: Callable[[], Awaitable[ResultT]], seed: int) -> ResultT:
    """Run ``function`` on a virtual clock, always in the same order."""
    check_private_names()
    before = trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    try:
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = before
