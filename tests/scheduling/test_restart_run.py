"""A short run of the random days on which all controllers are killed."""

from __future__ import annotations

import unittest

from tests.scheduling.restart_run import play_day

SEED = 1


class RestartRunTest(unittest.TestCase):
    def test_no_task_starts_before_the_lease_of_a_marked_worker_has_lapsed(
        self,
    ) -> None:
        day = play_day(SEED)
        self.assertEqual(day.faults, [])
        self.assertGreater(day.counts["of these with two witnesses"], 0)


if __name__ == "__main__":
    unittest.main()
