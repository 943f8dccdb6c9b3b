"""A short run of the random days on which workers leave and are replaced."""

from __future__ import annotations

import unittest

from tests.scheduling.departures_run import play_day

SEED = 1


class DeparturesRunTest(unittest.TestCase):
    def test_no_task_starts_again_after_its_end_was_listed(self) -> None:
        day = play_day(SEED)
        self.assertEqual(day.faults, [])
        self.assertGreater(day.counts["listed"], 0)
        self.assertGreater(day.counts["done after the announcement"], 0)


if __name__ == "__main__":
    unittest.main()
