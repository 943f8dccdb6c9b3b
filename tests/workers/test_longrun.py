"""Fixed seeds of the long randomised runs of workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

from tests.workers.longrun import run_for


class LongRunTest(unittest.TestCase):
    def test_tasks_run_in_one_place_at_a_time_under_combined_faults(self) -> None:
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                run = run_for(seed, timedelta(minutes=10), run_time=120)
                self.assertEqual(run.fleet.observer.violations, [])
                self.assertEqual(run.unfinished(), [])

    def test_a_seed_reproduces_a_run(self) -> None:
        first, second = (
            run_for(9, timedelta(minutes=3), run_time=60).fleet.observer.spans
            for _ in range(2)
        )
        self.assertEqual(first, second)
