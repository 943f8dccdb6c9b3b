"""Short soaks of a deployment whose processes are disturbed while they run."""

from __future__ import annotations

import random
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

import trio

from tests.platform.programs import pick_network
from tests.platform.soak import Soak

SECONDS = 5.0
SEED = 1


class SoakTest(unittest.TestCase):
    def soak(self, kinds: Sequence[str]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(Path(folder), pick_network(SEED), random.Random(SEED))
            faults = trio.run(soak.run, kinds, SECONDS)
            self.assertEqual(faults, [])
            self.assertGreater(len(soak.accepted), 0)

    def test_no_process_ends_by_what_it_is_sent(self) -> None:
        self.soak(("hangups", "settings", "garbage", "resets", "reader", "extremes"))

    def test_no_process_ends_by_ends_and_crowds_of_others(self) -> None:
        self.soak(("ends", "garbage", "crowd", "resets"))


if __name__ == "__main__":
    unittest.main()
