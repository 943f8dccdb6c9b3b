"""One short random run, twice."""

from __future__ import annotations

import unittest

from rhubarbfield.replay import generate_trace
from tests.replay.longrun import play_deterministic


class LongRunTest(unittest.TestCase):
    def test_a_seed_keeps_all_promises_and_gives_the_same_run_twice(self) -> None:
        trace = generate_trace(6, 0.5)
        first = play_deterministic(trace)
        self.assertEqual(first.violations, ())
        self.assertEqual(play_deterministic(trace), first)
