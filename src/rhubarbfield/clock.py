"""The clock that every other module is handed.

Durations and monotonic readings are :class:`datetime.timedelta`; a reading
is only meaningful against another reading of the same clock. Wall time is
an aware :class:`datetime.datetime` and is for people, never for leases.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

MILLISECOND = timedelta(milliseconds=1)
MS_PER_SECOND = 1000


class Clock(Protocol):
    """What the program needs of time."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed point."""

    def now(self) -> datetime:
        """Return the wall time, aware and in UTC."""

    async def sleep(self, duration: timedelta) -> None:
        """Wait for ``duration``; a negative one returns at once."""


class TrioClock:
    """The clock of the running trio loop.

    Under trio's ``MockClock`` its monotonic readings and sleeps are virtual,
    so that tests run hours in milliseconds.
    """

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=trio.current_time())

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Wait on the loop for ``duration``."""
        await trio.sleep(max(0.0, duration.total_seconds()))


class ManualClock:
    """A clock that moves only when told to, for tests of pure decisions.

    Parameters
    ----------
    start
        The first monotonic reading.
    """

    def __init__(self, start: timedelta = timedelta()) -> None:
        self._reading = start

    def monotonic(self) -> timedelta:
        """Return the current reading."""
        return self._reading

    def now(self) -> datetime:
        """Return the reading as wall time after the epoch."""
        return datetime.fromtimestamp(0, UTC) + self._reading

    async def sleep(self, duration: timedelta) -> None:
        """Advance by ``duration`` without waiting."""
        self.advance(duration)
        await trio.lowlevel.checkpoint()

    def advance(self, duration: timedelta) -> None:
        """Move the reading forward by ``duration``."""
        self._reading += max(duration, timedelta())
