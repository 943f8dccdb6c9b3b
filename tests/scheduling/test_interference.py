"""Tests of learning which images harm which."""

from __future__ import annotations

import unittest

from rhubarbfield.scheduling.interference import Interference, ServingTask
from rhubarbfield.scheduling.model import ImageName

SERVING, HEAVY, LIGHT = ImageName("serving"), ImageName("heavy"), ImageName("light")
GOAL_MS = 50.0


def teach(interference: Interference) -> None:
    """Show a worker on which one image raises a tail of 20 ms fivefold."""
    for _ in range(40):
        for shares, tail in (
            ({}, 20.0),
            ({LIGHT: 0.2}, 20.0),
            ({HEAVY: 0.2}, 100.0),
        ):
            interference.learn([ServingTask(SERVING, GOAL_MS, tail)], shares)


class InterferenceTest(unittest.TestCase):
    def test_tells_the_image_that_harms_from_the_one_that_does_not(self) -> None:
        interference = Interference()
        teach(interference)
        self.assertGreater(interference.get_rate(SERVING, HEAVY), 4)
        self.assertLess(interference.get_rate(SERVING, LIGHT), 0.5)

    def test_margin_is_left_beside_the_harmless_image_only(self) -> None:
        interference = Interference()
        teach(interference)
        task = ServingTask(SERVING, GOAL_MS, 20.0)
        exposures = [interference.find_exposure(task, {})]
        self.assertGreater(interference.find_worst_margin(exposures, {LIGHT: 0.2}), 0.5)
        self.assertLess(interference.find_worst_margin(exposures, {HEAVY: 0.2}), 0)

    def test_own_load_that_is_high_now_leaves_less_margin(self) -> None:
        interference = Interference()
        teach(interference)
        calm = interference.find_exposure(ServingTask(SERVING, GOAL_MS, 15.0), {})
        busy = interference.find_exposure(ServingTask(SERVING, GOAL_MS, 40.0), {})
        self.assertLess(busy.margin, calm.margin)

    def test_own_load_that_is_low_now_is_not_counted_on(self) -> None:
        interference = Interference()
        teach(interference)
        low = interference.find_exposure(ServingTask(SERVING, GOAL_MS, 5.0), {})
        usual = interference.find_exposure(ServingTask(SERVING, GOAL_MS, None), {})
        self.assertAlmostEqual(low.margin, usual.margin)


if __name__ == "__main__":
    unittest.main()
