"""Clocks that are passed to all code that reads time or sleeps.

Durations and monotonic readings are :class:`datetime.timedelta`; a reading
is only comparable with other readings of the same clock. Wall time is an
aware :class:`datetime.datetime` for display and records, never for leases.
"""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

MILLISECOND = timedelta(milliseconds=1)
MS_PER_SECOND = 1000
VIRTUAL_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class Clock(Protocol):
    """Interface of a clock."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed point; it never decreases."""

    def now(self) -> datetime:
        """Return the wall time, aware and in UTC."""

    async def sleep(self, duration: timedelta) -> None:
        """Sleep for ``duration``; return at once if it is negative."""


class TrioClock:
    """Clock of the running trio event loop.

    Under trio's ``MockClock`` monotonic readings and sleeps are virtual, so
    tests can simulate hours in milliseconds.
    """

    def monotonic(self) -> timedelta:
        """Return the time of the event loop."""
        return timedelta(seconds=trio.current_time())

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Sleep for ``duration`` on the event loop."""
        await trio.sleep(max(0.0, duration.total_seconds()))


class VirtualClock(TrioClock):
    """Clock of an event loop whose time is virtual, as under trio's ``MockClock``.

    The wall time of :class:`TrioClock` nearly stands still there: an hour of the
    loop takes seconds.
    """

    def now(self) -> datetime:
        """Return the time of the event loop as wall time since ``VIRTUAL_EPOCH``."""
        return VIRTUAL_EPOCH + self.monotonic()


class HostClock(TrioClock):
    """Clock of a process whose machine may be suspended.

    The clock of the event loop stands still meanwhile, so that a lease would seem
    to hold after others have taken over. This one counts that time.
    """

    def monotonic(self) -> timedelta:
        """Return the time since the machine was started, suspended or not."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Clock that only advances on request, for tests.

    Parameters
    ----------
    start
        Initial monotonic reading.
    """

    def __init__(self, start: timedelta = timedelta()) -> None:
        self._reading = start

    def monotonic(self) -> timedelta:
        """Return the current reading."""
        return self._reading

    def now(self) -> datetime:
        """Return the reading as wall time since the Unix epoch."""
        return datetime.fromtimestamp(0, UTC) + self._reading

    async def sleep(self, duration: timedelta) -> None:
        """Advance by ``duration`` without blocking."""
        self.advance(duration)
        await trio.lowlevel.checkpoint()

    def advance(self, duration: timedelta) -> None:
        """Advance the reading by ``duration``; a negative duration is ignored."""
        self._reading += max(duration, timedelta())
