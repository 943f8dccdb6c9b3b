"""Tests of the measurement of placement."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.measurement._simulation import Simulation
from rhubarbfield.measurement.placement import (
    CONSORTIUM,
    COUNTER,
    LENDING,
    describe_spread,
    run_strategy,
)
from rhubarbfield.placement import Profile, choose_settings

SMALL = msgspec.structs.replace(LENDING, workers=8, services={COUNTER: 8})


class SimulationTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_results(self) -> None:
        settings = choose_settings(Profile.LENDING)
        first, second = (Simulation(SMALL, settings, 3).run(0.2) for _ in range(2))
        self.assertEqual(first, second)

    def test_another_seed_gives_other_results(self) -> None:
        settings = choose_settings(Profile.LENDING)
        first, second = (Simulation(SMALL, settings, seed).run(0.1) for seed in (1, 2))
        self.assertNotEqual(first, second)


class StrategyTest(unittest.TestCase):
    """A small version of the comparison that the measurement makes."""

    def test_harm_aware_placement_has_the_better_score_on_a_small_fleet(self) -> None:
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
                    self.assertEqual(own.memory_overflows, 0)


class TableTest(unittest.TestCase):
    def test_spread(self) -> None:
        self.assertEqual(describe_spread([3.0, 1.0, 2.0]), "2 [1, 3]")
