"""A few random days of a site with fixed seeds."""

from __future__ import annotations

import unittest

from tests.replication.siterun import run_seed

ROUNDS = 12


class SiteRunTest(unittest.TestCase):
    def test_tolerated_losses_lose_nothing(self) -> None:
        for seed in (1, 2, 3, 74):
            with self.subTest(seed=seed):
                run_seed(seed, ROUNDS)

    def test_seed_gives_the_same_day_again(self) -> None:
        self.assertEqual(run_seed(3, 4), run_seed(3, 4))


if __name__ == "__main__":
    unittest.main()
