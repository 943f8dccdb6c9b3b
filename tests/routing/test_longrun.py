"""Short randomised runs with fixed seeds."""

from __future__ import annotations

import unittest

from tests.routing.longrun import run_seed


class LongRunTest(unittest.TestCase):
    def test_no_guarantee_is_broken(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                simulation = run_seed(seed, minutes=1)
                self.assertEqual(simulation.check(), [])
                self.assertGreater(simulation.outcomes["answered"], 1000)

    def test_a_seed_is_reproducible(self) -> None:
        first, second = (run_seed(7, minutes=0.25) for _ in range(2))
        self.assertEqual(first.outcomes, second.outcomes)
        self.assertEqual(first.backends.runs, second.backends.runs)
