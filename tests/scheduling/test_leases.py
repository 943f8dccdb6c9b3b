"""Tests of the leases of workers, on clocks that may be slow."""

from __future__ import annotations

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbfield.clock import ManualClock
from rhubarbfield.scheduling.leases import WorkerLease
from rhubarbfield.scheduling.settings import SchedulingSettings

SETTINGS = SchedulingSettings()
START = timedelta(seconds=1000)
SLOWEST = 1 - SETTINGS.clock_drift


class WorkerClock:
    """The clock of a worker, which may be slow."""

    def __init__(self, clock: ManualClock, rate: float) -> None:
        self._clock = clock
        self._began = clock.monotonic()
        self.rate = rate

    def read(self) -> timedelta:
        return (self._clock.monotonic() - self._began) * self.rate

    def find_time(self, reading: timedelta) -> timedelta:
        """Return the time at which the clock shows a reading."""
        return self._began + reading / self.rate


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(START)
        self.lease = WorkerLease(self.clock, SETTINGS)

    def test_lease_of_an_earlier_leader_has_lapsed_by_the_lease_it_gave(self) -> None:
        """The longest lease that workers grant kept tasks waiting for 4 s more."""
        wait = self.lease.lapses_at - self.clock.monotonic()
        self.assertLess(wait, SETTINGS.lease / SLOWEST + timedelta(seconds=0.5))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.floats(SLOWEST, 1.0),
        st.lists(st.tuples(st.floats(0, 200), st.booleans()), min_size=1),
    )
    def test_no_leader_counts_a_lease_as_lapsed_before_the_worker_does(
        self, rate: float, steps: list[tuple[float, bool]]
    ) -> None:
        clock = ManualClock(START)
        lease = WorkerLease(clock, SETTINGS)
        worker = WorkerClock(clock, rate)
        lease.update_clock(worker.read())
        ends_at = timedelta()
        for seconds, is_report in steps:
            clock.advance(timedelta(seconds=seconds))
            if is_report:
                lease.update_reported_clock(worker.read(), timedelta())
            # The worker shortens a lease that exceeds its maximum.
            longest = worker.read() + SETTINGS.longest_lease
            ends_at = max(ends_at, worker.find_time(min(lease.extend(), longest)))
            self.assertGreaterEqual(lease.lapses_at, ends_at)
            self.assertGreaterEqual(WorkerLease(clock, SETTINGS).lapses_at, ends_at)

    def test_delayed_and_impossible_clocks_in_reports_are_ignored(self) -> None:
        self.lease.update_clock(timedelta(seconds=100))
        self.clock.advance(timedelta(seconds=10))
        for seconds in (0, 100, 109.7, 111.1, 86_399_999_999_999):
            self.lease.update_reported_clock(timedelta(seconds=seconds), timedelta())
            self.assertEqual(self.lease.clock_read_at, START)
        self.lease.update_reported_clock(timedelta(seconds=110), timedelta())
        self.assertEqual(self.lease.clock_read_at, self.clock.monotonic())
        self.assertEqual(self.lease.extend(), timedelta(seconds=116))

    def test_report_that_another_controller_received_is_read_at_its_age(self) -> None:
        self.lease.update_clock(timedelta(seconds=100))
        self.clock.advance(timedelta(seconds=10))
        age = timedelta(seconds=0.25)
        self.lease.update_reported_clock(timedelta(seconds=109.75), age)
        self.assertEqual(self.lease.clock_read_at, self.clock.monotonic() - age)


if __name__ == "__main__":
    unittest.main()
