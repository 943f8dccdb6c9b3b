"""Tests of the clocks."""

from __future__ import annotations

import importlib
import time
import unittest
from datetime import timedelta
from unittest import mock

import trio
import trio.testing

from rhubarbfield.clock import HostClock, ManualClock, TrioClock, VirtualClock
from rhubarbfield.leases import HeldLease, Lease
from rhubarbfield.types import Epoch

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


class VirtualClockTest(unittest.TestCase):
    def test_wall_time_passes_with_virtual_time(self) -> None:
        """It nearly stood still, and with it all that is due at a wall time."""

        async def sleep_an_hour() -> timedelta:
            clock = VirtualClock()
            before = clock.now()
            await clock.sleep(HOUR)
            return clock.now() - before

        mock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(sleep_an_hour, clock=mock), HOUR)


class HostClockTest(unittest.TestCase):
    def hold_over_suspension(self, clock: TrioClock) -> bool:
        """Return whether a lease of 3 s holds after its machine was suspended for 5 s.

        The clock of the event loop does not count that time.
        """
        reading = 100.0

        def read(number: int) -> float:
            return reading if number == time.CLOCK_BOOTTIME else 50.0

        async def body() -> bool:
            nonlocal reading
            lease = HeldLease(drift=0.01, clock=clock)
            number = lease.request()
            granted = Lease(
                number=number, epoch=Epoch(1), duration=timedelta(seconds=3)
            )
            self.assertTrue(lease.accept(granted))
            self.assertTrue(lease.holds())
            reading += 5.0
            return lease.holds()

        with mock.patch.object(time, "clock_gettime", read):
            return trio.run(body, clock=trio.testing.MockClock())

    def test_a_lease_does_not_outlast_a_suspension(self) -> None:
        self.assertFalse(self.hold_over_suspension(HostClock()))
        self.assertTrue(self.hold_over_suspension(TrioClock()))  # what it replaces

    def test_programs_count_the_time_of_a_suspension(self) -> None:
        """A leader that was suspended acted on a lease that had run out."""
        for module in (
            "platform.controller",
            "platform.entry",
            "controller.program",
            "entry.daemon",
        ):
            program = importlib.import_module(f"rhubarbfield.{module}")
            self.assertIs(getattr(program, "HostClock", None), HostClock, module)
            self.assertFalse(hasattr(program, "TrioClock"), module)


class ManualClockTest(unittest.TestCase):
    def test_advances_only_on_request(self) -> None:
        clock = ManualClock()
        self.assertEqual(clock.monotonic(), timedelta())
        clock.advance(HOUR)
        self.assertEqual(clock.monotonic(), HOUR)
