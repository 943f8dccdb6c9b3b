"""Tests of the measurement of placement."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.measurement._replay import Replay
from rhubarbfield.measurement.placement import (
    CONSORTIUM,
    COUNTER,
    LENDING,
    describe_spread,
    run_strategy,
)
from rhubarbfield.placement import Profile, choose_settings

SMALL = msgspec.structs.replace(LENDING, workers=8, services={COUNTER: 8})


class ReplayTest(unittest.TestCase):
    def test_a_seed_gives_the_same_figures_again(self) -> None:
        settings = choose_settings(Profile.LENDING)
        first, second = (Replay(SMALL, settings, 3).run(0.2) for _ in range(2))
        self.assertEqual(first, second)

    def test_another_seed_gives_others(self) -> None:
        settings = choose_settings(Profile.LENDING)
        first, second = (Replay(SMALL, settings, seed).run(0.1) for seed in (1, 2))
        self.assertNotEqual(first, second)


class BoundTest(unittest.TestCase):
    """A small part of what the measurement shows in full."""

    def test_harm_aware_beats_blind_placing_on_a_small_fleet(self) -> None:
        for deployment in (LENDING, CONSORTIUM):
            small = msgspec.structs.replace(
                deployment, workers=8, services={COUNTER: 8}
            )
            with self.subTest(deployment=deployment.name):
                aware, blind = (
                    run_strategy(small, strategy, seeds=(1, 2), hours=0.5)
                    for strategy in ("harm-aware", "harm-blind")
                )
                for own, other in zip(aware, blind, strict=True):
                    self.assertLess(own.score, other.score)
                    self.assertEqual(own.overflows, 0)


class TableTest(unittest.TestCase):
    def test_spread(self) -> None:
        self.assertEqual(describe_spread([3.0, 1.0, 2.0]), "2 [1, 3]")
