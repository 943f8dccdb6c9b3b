"""A short random run, repeated with the same seed."""

from __future__ import annotations

import unittest

from rhubarbfield.replay import generate_trace
from tests.replay.longrun import replay_deterministically


class LongRunTest(unittest.TestCase):
    def test_a_seed_violates_no_guarantee_and_is_reproducible(self) -> None:
        trace = generate_trace(6, 0.5)
        first = replay_deterministically(trace)
        self.assertEqual(first.violations, ())
        self.assertEqual(replay_deterministically(trace), first)
