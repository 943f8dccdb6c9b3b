"""Long randomised runs of leases with a few fixed seeds."""

from __future__ import annotations

import unittest
from datetime import timedelta

from tests.leases.longrun import run_for


class LongRunTest(unittest.TestCase):
    def test_there_is_one_holder_at_a_time(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                run = run_for(seed, timedelta(minutes=30))
                self.assertEqual(run.violations, [])
                self.assertGreater(run.moves, 5)
                self.assertGreater(run.effects, 1000)
