"""Throttle levels of an attempt's processors."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import AttemptId, Epoch, WorkerId

THROTTLE_LEVELS = (1.0, 0.5, 0.25)


class ThrottleOrder(msgspec.Struct, frozen=True):
    """Order to limit an attempt to a fraction of its processors.

    Not stored in the log: a lost order is repeated after the next report.
    """

    worker: WorkerId
    epoch: Epoch
    attempt: AttemptId
    fraction: float
    reason: str


def next_level(fraction: float) -> float | None:
    """Return the throttle level below ``fraction``, if there is one."""
    return next((level for level in THROTTLE_LEVELS if level < fraction), None)


def previous_level(fraction: float) -> float | None:
    """Return the throttle level above ``fraction``, if there is one."""
    above = [level for level in THROTTLE_LEVELS if level > fraction]
    return above[-1] if above else None
