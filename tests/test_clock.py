"""Tests of the clocks."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
import trio.testing

from rhubarbfield.clock import ManualClock, TrioClock

HOUR = timedelta(hours=1)


class TrioClockTest(unittest.TestCase):
    def test_sleep_is_virtual_under_a_mock_clock(self) -> None:
        async def sleep_an_hour() -> timedelta:
            clock = TrioClock()
            before = clock.monotonic()
            await clock.sleep(HOUR)
            return clock.monotonic() - before

        mock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(sleep_an_hour, clock=mock), HOUR)


class ManualClockTest(unittest.TestCase):
    def test_advances_only_on_request(self) -> None:
        clock = ManualClock()
        self.assertEqual(clock.monotonic(), timedelta())
        clock.advance(HOUR)
        self.assertEqual(clock.monotonic(), HOUR)
