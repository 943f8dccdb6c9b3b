"""A few random first starts with fixed seeds."""

from __future__ import annotations

import unittest

from tests.replication.founding import run_seed


class RandomFoundingTest(unittest.TestCase):
    def test_random_faults_prevent_no_start(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                run_seed(seed)

    def test_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run_seed(3), run_seed(3))


if __name__ == "__main__":
    unittest.main()
