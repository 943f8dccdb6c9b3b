"""Test clocks whose rate differs from that of true time."""

from __future__ import annotations

from datetime import datetime, timedelta

from rhubarbfield.clock import Clock


class SkewedClock:
    """A clock that runs ``rate`` times as fast as another."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate

    def monotonic(self) -> timedelta:
        return self._clock.monotonic() * self._rate

    def now(self) -> datetime:
        return self._clock.now()

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration / self._rate)
