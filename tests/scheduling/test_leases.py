"""Tests of the leases of workers, on clocks that may be slow."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import cast
from unittest.mock import patch

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from rhubarbfield.clock import ManualClock
from rhubarbfield.scheduling.leases import WorkerLease
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import ViewRequest, WorkerAddress
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import Term
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

SETTINGS = SchedulingSettings()
START = timedelta(seconds=1000)
STOP_SECONDS = 0.1
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
        st.lists(
            st.tuples(st.floats(0, 200), st.booleans(), st.floats(0, 5)), min_size=1
        ),
    )
    def test_no_leader_counts_a_lease_as_lapsed_before_the_worker_does(
        self, rate: float, steps: list[tuple[float, bool, float]]
    ) -> None:
        clock = ManualClock(START)
        lease = WorkerLease(clock, SETTINGS)
        worker = WorkerClock(clock, rate)
        lease.update_clock(worker.read())
        ends_at = extended_at = timedelta()
        for seconds, is_report, stop_seconds in steps:
            clock.advance(timedelta(seconds=seconds))
            if is_report:
                lease.update_reported_clock(worker.read(), timedelta())
            extended_at = clock.monotonic()
            # The leader may be stopped between the check of its term and the order.
            clock.advance(timedelta(seconds=stop_seconds))
            # The worker shortens a lease that exceeds its maximum.
            longest = worker.read() + SETTINGS.longest_lease
            lease_end = min(lease.extend(extended_at), longest)
            ends_at = max(ends_at, worker.find_time(lease_end))
            self.assertGreaterEqual(lease.lapses_at, ends_at)
            later = WorkerLease(clock, SETTINGS, extended_at)
            self.assertGreaterEqual(later.lapses_at, ends_at)

    def test_delayed_and_impossible_clocks_in_reports_are_ignored(self) -> None:
        self.lease.update_clock(timedelta(seconds=100))
        self.clock.advance(timedelta(seconds=10))
        for seconds in (0, 100, 109.7, 111.1, 86_399_999_999_999):
            self.lease.update_reported_clock(timedelta(seconds=seconds), timedelta())
            self.assertEqual(self.lease.clock_read_at, START)
        self.lease.update_reported_clock(timedelta(seconds=110), timedelta())
        self.assertEqual(self.lease.clock_read_at, self.clock.monotonic())
        self.assertEqual(
            self.lease.extend(self.clock.monotonic()), timedelta(seconds=116)
        )

    def test_report_that_another_controller_received_is_read_at_its_age(self) -> None:
        self.lease.update_clock(timedelta(seconds=100))
        self.clock.advance(timedelta(seconds=10))
        age = timedelta(seconds=0.25)
        self.lease.update_reported_clock(timedelta(seconds=109.75), age)
        self.assertEqual(self.lease.clock_read_at, self.clock.monotonic() - age)


class OfferedLeaseTest(unittest.TestCase):
    @with_deployment()
    async def test_lease_of_a_leader_that_was_stopped_counts_from_before_the_stop(
        self, deployment: Deployment
    ) -> None:
        """The next leader may have been elected meanwhile, and counts from then."""
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(2)
            get_term = leader.get_term

            def stop_after_check() -> Term | None:
                term = get_term()
                cast(MockClock, trio.lowlevel.current_clock()).jump(STOP_SECONDS)
                return term

            view = deployment.fleet.view
            offered = []

            async def record_view(to: WorkerAddress, request: ViewRequest) -> object:
                if request.lease_end is not None:
                    offered.append(request.lease_end - worker.read_clock())
                return await view(to, request)

            with (
                patch.object(leader, "get_term", stop_after_check),
                patch.object(deployment.fleet, "view", record_view),
            ):
                await trio.sleep(3)
        longest = SETTINGS.lease.total_seconds() - STOP_SECONDS
        self.assertTrue(offered)
        self.assertLessEqual(max(offered).total_seconds(), longest)


if __name__ == "__main__":
    unittest.main()
