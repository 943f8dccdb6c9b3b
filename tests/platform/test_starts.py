"""Short runs of first starts; ``tests.platform.starts`` runs more by hand."""

from __future__ import annotations

import unittest

import trio

from tests.platform.starts import TROUBLES, run_start


class FirstStartTest(unittest.TestCase):
    def test_deployment_comes_up_amid_each_trouble_of_a_first_start(self) -> None:
        for name in sorted(TROUBLES):
            with self.subTest(name):
                faults = trio.run(run_start, 1, (name,))
                self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()
