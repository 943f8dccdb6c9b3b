"""A few random days that end with lost disks, with fixed seeds."""

from __future__ import annotations

import unittest

from tests.replication.closingrun import run_seed


class ClosingRunTest(unittest.TestCase):
    def test_acknowledged_ends_come_back_after_the_closing(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                counts = run_seed(seed, rounds=0)
                self.assertGreater(counts["ends told"], 0)

    def test_seed_gives_the_same_day_again(self) -> None:
        self.assertEqual(run_seed(3, rounds=0), run_seed(3, rounds=0))


if __name__ == "__main__":
    unittest.main()
