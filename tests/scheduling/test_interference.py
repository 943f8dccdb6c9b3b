"""Tests of what may run beside tasks that serve."""

from __future__ import annotations

import math
import unittest
from datetime import timedelta

from rhubarbfield.scheduling.interference import InterferenceModel, ServingTask
from rhubarbfield.scheduling.model import ImageName, TaskName

SERVING, HEAVY, LIGHT = ImageName("serving"), ImageName("heavy"), ImageName("light")
NEW = ImageName("new")
TASK = TaskName("j.0.0.0")
GOAL_MS = 50.0
VIEW = timedelta(milliseconds=600)
# Of a wave of 25 views, both where its load is the mean one.
RISING_STEP, FALLING_STEP = 50, 38


def make_task(tail_ms: float | None, name: TaskName = TASK) -> ServingTask:
    return ServingTask(name, SERVING, GOAL_MS, tail_ms)


class Teacher:
    """Shows a worker on which one image raises a tail of 20 ms fivefold."""

    def __init__(self) -> None:
        self.interference = InterferenceModel()
        self.now = timedelta(seconds=100)

    def show(
        self, shares: dict[ImageName, float], tail_ms: float, name: TaskName = TASK
    ) -> None:
        self.now += VIEW
        self.interference.learn([make_task(tail_ms, name)], shares, self.now)

    def teach(self, rounds: int = 40) -> None:
        for _ in range(rounds):
            self.show({}, 20.0)
            self.show({LIGHT: 0.2}, 20.0)
            self.show({HEAVY: 0.2}, 100.0)
        self.show({}, 20.0)


class InterferenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.teacher = Teacher()
        self.teacher.teach()
        self.interference = self.teacher.interference

    def admits(self, image: ImageName, share: float, tail_ms: float = 20.0) -> bool:
        exposures = [self.interference.find_exposure(make_task(tail_ms))]
        return self.interference.admits(exposures, image, share, {image: share})

    def test_margin_is_left_beside_the_harmless_image_only(self) -> None:
        self.assertTrue(self.admits(LIGHT, 0.2))
        self.assertFalse(self.admits(HEAVY, 0.2))

    def test_small_share_of_an_image_that_harms_is_admitted(self) -> None:
        self.assertTrue(self.admits(HEAVY, 0.05))

    def test_image_that_was_never_seen_is_tried_with_care(self) -> None:
        self.assertTrue(self.admits(NEW, 0.1))
        self.assertFalse(self.admits(NEW, 0.5))

    def test_load_that_rises_leaves_less_margin_than_one_that_falls(self) -> None:
        margins = []
        for step in range(60):
            self.teacher.show({}, 25.0 * math.exp(0.5 * math.sin(step / 4)))
            margins.append(self.interference.find_exposure(make_task(25.0)).margin)
        rising, falling = margins[RISING_STEP], margins[FALLING_STEP]
        self.assertLess(rising, falling - 0.05)

    def test_task_that_was_not_measured_yet_is_taken_for_one_of_its_image(self) -> None:
        fresh = make_task(None, TaskName("j.0.0.1"))
        margin = self.interference.find_exposure(fresh).margin
        self.assertAlmostEqual(margin, math.log(GOAL_MS / 20), delta=0.3)

    def test_next_leader_starts_from_what_was_learned(self) -> None:
        other = InterferenceModel()
        other.restore(self.interference.take_changes())
        self.assertGreater(other.get_rate(SERVING, HEAVY), 5)
        self.assertLess(other.get_rate(SERVING, LIGHT), 0.5)


if __name__ == "__main__":
    unittest.main()
