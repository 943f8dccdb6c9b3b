"""Short runs of the long run with fixed seeds."""

from __future__ import annotations

import unittest

from tests.replication.longrun import run_long


class LongRunTest(unittest.TestCase):
    def test_random_faults_break_nothing(self) -> None:
        for seed in (1, 2):
            counts = run_long(seed, hours=0.1)
            self.assertGreater(counts["propose Success"], 100)

    def test_a_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run_long(3, hours=0.03), run_long(3, hours=0.03))
