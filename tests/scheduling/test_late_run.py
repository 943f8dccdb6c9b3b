"""A short run of the random days on which orders are carried out late."""

from __future__ import annotations

import unittest

from tests.scheduling.late_run import play_day

# 92: an order that was given up with its lease was carried out under the next one.
SINGLE_LEASE_SEED = 92
SEED = 3
WIDE_SEED = 5


class LateRunTest(unittest.TestCase):
    def test_no_task_starts_again_after_it_was_done(self) -> None:
        day = play_day(SEED)
        self.assertEqual(day.faults, [])
        self.assertGreater(day.counts["done"], 0)

    def test_no_order_starts_a_task_under_a_later_lease(self) -> None:
        day = play_day(SINGLE_LEASE_SEED, has_single_lease=True)
        self.assertEqual(day.faults, [])

    def test_no_task_starts_again_on_a_wide_day(self) -> None:
        day = play_day(WIDE_SEED, is_wide=True)
        self.assertEqual(day.faults, [])
        self.assertGreater(day.counts["gang members done"], 0)


if __name__ == "__main__":
    unittest.main()
