"""Tests of admitting spare-core tasks next to serving tasks."""

from __future__ import annotations

import math
import unittest
from datetime import timedelta

from rhubarbfield.scheduling.interference import (
    InterferenceModel,
    ServingTask,
    admits_share,
)
from rhubarbfield.scheduling.model import ImageName, TaskName
from tests.scheduling.test_rounds import count_calls

SERVING, HEAVY, LIGHT = ImageName("serving"), ImageName("heavy"), ImageName("light")
NEW = ImageName("new")
TASK = TaskName("j.0.0.0")
GOAL_MS = 50.0
VIEW_INTERVAL = timedelta(milliseconds=600)
# Views at which a load wave, with a period of 25 views, passes its mean.
RISING_STEP, FALLING_STEP = 50, 38


def make_task(tail_ms: float | None, name: TaskName = TASK) -> ServingTask:
    return ServingTask(name, SERVING, GOAL_MS, tail_ms)


class SimulatedViews:
    """Views of a worker on which one image raises tail latency from 20 to 100 ms."""

    def __init__(self) -> None:
        self.interference = InterferenceModel()
        self.now = timedelta(seconds=100)

    def add_view(
        self, shares: dict[ImageName, float], tail_ms: float, name: TaskName = TASK
    ) -> None:
        self.now += VIEW_INTERVAL
        self.interference.learn([make_task(tail_ms, name)], shares, self.now)

    def add_training_views(self, rounds: int = 40) -> None:
        for _ in range(rounds):
            self.add_view({}, 20.0)
            self.add_view({LIGHT: 0.2}, 20.0)
            self.add_view({HEAVY: 0.2}, 100.0)
        self.add_view({}, 20.0)


class InterferenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.views = SimulatedViews()
        self.views.add_training_views()
        self.interference = self.views.interference

    def admits(self, image: ImageName, share: float, tail_ms: float = 20.0) -> bool:
        margins = [self.interference.predict_margin(make_task(tail_ms))]
        slacks = self.interference.measure_slacks(margins, {})
        return admits_share(slacks, image, share)

    def test_only_the_harmless_image_is_admitted(self) -> None:
        self.assertTrue(self.admits(LIGHT, 0.2))
        self.assertFalse(self.admits(HEAVY, 0.2))

    def test_small_share_of_harmful_image_is_admitted(self) -> None:
        self.assertTrue(self.admits(HEAVY, 0.05))

    def test_unknown_image_is_admitted_with_a_small_share_only(self) -> None:
        self.assertTrue(self.admits(NEW, 0.1))
        self.assertFalse(self.admits(NEW, 0.5))

    def test_rising_load_leaves_less_margin_than_falling_load(self) -> None:
        margins = []
        for step in range(60):
            self.views.add_view({}, 25.0 * math.exp(0.5 * math.sin(step / 4)))
            margins.append(self.interference.predict_margin(make_task(25.0)).margin)
        rising, falling = margins[RISING_STEP], margins[FALLING_STEP]
        self.assertLess(rising, falling - 0.05)

    def test_usual_level_is_found_only_for_a_load_that_rises(self) -> None:
        self.views.add_view({}, 10.0)  # less than before
        with count_calls(InterferenceModel, "_find_usual_level") as calls:
            self.interference.predict_smallest_margins([make_task(10.0)])
            self.assertEqual(calls.count, 0)
            for _ in range(3):
                self.views.add_view({}, 40.0)
            self.interference.predict_smallest_margins([make_task(40.0)])
            self.assertEqual(calls.count, 1)

    def test_unmeasured_task_gets_the_margin_of_its_image(self) -> None:
        fresh = make_task(None, TaskName("j.0.0.1"))
        margin = self.interference.predict_margin(fresh).margin
        self.assertAlmostEqual(margin, math.log(GOAL_MS / 20), delta=0.3)

    def test_next_leader_restores_learned_estimates(self) -> None:
        other = InterferenceModel()
        other.restore(self.interference.take_changes())
        self.assertGreater(other.get_rate(SERVING, HEAVY), 5)
        self.assertLess(other.get_rate(SERVING, LIGHT), 0.5)


if __name__ == "__main__":
    unittest.main()
