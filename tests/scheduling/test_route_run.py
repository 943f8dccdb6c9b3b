"""A short run of the random days on which routes change."""

from __future__ import annotations

import unittest

from tests.scheduling.route_run import play_day

# 6: a reply is lost, and the route removed before the next attempt of its entry.
SEED = 6


class RouteRunTest(unittest.TestCase):
    def test_changing_routes_refuse_or_lose_no_job_that_was_stored(self) -> None:
        """REFUSED, ROUTE, CONFIG, LOST: jobs of routes that go while they run."""
        day = play_day(SEED)
        self.assertEqual(day.faults, [])
        self.assertGreater(day.counts["in doubt"], 0)
        self.assertGreater(day.counts["jobs run"], 0)


if __name__ == "__main__":
    unittest.main()
