"""Tests of the model of tail latency."""

from __future__ import annotations

import math
import random
import unittest
from datetime import timedelta
from typing import Any

from rhubarbfield.scheduling.latency_model import (
    FIRST_UPPER_BOUND,
    MAX_IMAGES,
    InterferenceRates,
    TailLatencyModel,
)
from rhubarbfield.scheduling.model import ImageName, TaskName
from tests.scheduling.test_rounds import count_calls

SERVING = ImageName("serving")
VIEW_INTERVAL = timedelta(milliseconds=600)
LOAD_AMPLITUDE = 0.55  # of log latency, as observed with the users' tasks
LOAD_PERIOD_SECONDS = 14.0
NOISE = 0.15
BASE = math.log(0.02)
TRUE_RATES = {ImageName("a"): 5.0, ImageName("b"): 0.0, ImageName("c"): 2.0}


class SimulatedTasks:
    """Serving tasks with sinusoidal load, and co-located tasks that start and end."""

    def __init__(self, tasks: int, seed: int) -> None:
        self.model = TailLatencyModel()
        self.random = random.Random(seed)
        self.now = timedelta(seconds=100)
        self.phases = [self.random.uniform(0, math.tau) for _ in range(tasks)]
        self.shares: list[dict[ImageName, float]] = [{} for _ in range(tasks)]

    def find_level(self, task: int) -> float:
        angle = math.tau * self.now.total_seconds() / LOAD_PERIOD_SECONDS
        return BASE + LOAD_AMPLITUDE * math.sin(angle + self.phases[task])

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / VIEW_INTERVAL.total_seconds())):
            self.now += VIEW_INTERVAL
            for task, shares in enumerate(self.shares):
                if self.random.random() < 0.3:
                    image = self.random.choice(list(TRUE_RATES))
                    if shares.pop(image, None) is None:
                        shares[image] = self.random.uniform(0.05, 0.15)
                growth = sum(TRUE_RATES[image] * x for image, x in shares.items())
                seen = self.find_level(task) + growth + self.random.gauss(0, NOISE)
                self.model.learn(
                    TaskName(str(task)),
                    SERVING,
                    shares,
                    math.exp(seen) * 1000,
                    self.now,
                )


class TailLatencyModelTest(unittest.TestCase):
    def test_rates_are_distinguished_from_changing_load(self) -> None:
        for seed in range(5):
            simulation = SimulatedTasks(tasks=10, seed=seed)
            simulation.run(30)
            for image, rate in TRUE_RATES.items():
                found = simulation.model.get_rate(SERVING, image)
                self.assertAlmostEqual(found, rate, delta=1.5, msg=f"{seed} {image}")

    def test_upper_bounds_follow_each_measurement(self) -> None:
        simulation = SimulatedTasks(tasks=3, seed=1)
        model = simulation.model
        images = [*TRUE_RATES, ImageName("never seen")]
        found = set()
        for _ in range(20):
            before = [model.get_rate_upper_bound(SERVING, each) for each in images]
            simulation.run(1)
            rates = model._rates[SERVING]
            for image in images:
                bound = model.get_rate_upper_bound(SERVING, image)
                self.assertEqual(
                    bound, rates.compute_upper_bounds().get(image, FIRST_UPPER_BOUND)
                )
                found.add(bound)
            self.assertEqual(before[-1], FIRST_UPPER_BOUND)
        self.assertGreater(len(found), 20)

    def test_level_follows_the_load(self) -> None:
        simulation = SimulatedTasks(tasks=10, seed=1)
        simulation.run(60)
        errors = []
        for task in range(10):
            level = simulation.model.find_level(TaskName(str(task)))
            assert level is not None
            errors.append((level.mean - simulation.find_level(task)) ** 2)
        self.assertLess(math.sqrt(sum(errors) / len(errors)), 0.25)

    def test_slope_is_positive_while_load_rises(self) -> None:
        model = TailLatencyModel()
        now = timedelta(seconds=100)
        for step in range(8):
            now += VIEW_INTERVAL
            tail_ms = 20.0 * math.exp(0.1 * step)
            model.learn(TaskName("t"), SERVING, {}, tail_ms, now)
        level = model.find_level(TaskName("t"))
        assert level is not None
        self.assertGreater(level.slope, 0.08)

    def test_rate_upper_bound_approaches_rate_with_samples(self) -> None:
        simulation = SimulatedTasks(tasks=10, seed=2)
        image = ImageName("b")
        before = simulation.model.get_rate_upper_bound(SERVING, image)
        simulation.run(60)
        after = simulation.model.get_rate_upper_bound(SERVING, image)
        self.assertGreater(before, 2)
        self.assertLess(after, 1)

    def test_number_of_colocated_images_is_bounded(self) -> None:
        model = TailLatencyModel()
        now = timedelta(seconds=100)
        for number in range(3 * MAX_IMAGES):
            now += VIEW_INTERVAL
            shares = {ImageName(f"i{number}"): 0.1, ImageName(f"i{number + 1}"): 0.1}
            model.learn(TaskName("t"), SERVING, shares, 20.0, now)
        self.assertLessEqual(len(model.take_changes()), MAX_IMAGES + 1)

    def test_images_above_the_limit_are_not_added_and_dropped_again(self) -> None:
        model = TailLatencyModel()
        now = timedelta(seconds=100)
        images = [ImageName(f"i{number}") for number in range(MAX_IMAGES + 1)]
        for image in images:
            for shares in ({}, {image: 0.1}, {}):
                now += VIEW_INTERVAL
                model.learn(TaskName("t"), SERVING, shares, 20.0, now)
        known = dict(model._rates[SERVING].samples)
        self.assertEqual(list(known), images[:MAX_IMAGES])
        with count_calls(InterferenceRates, "set") as added:
            for shares in ({images[-1]: 0.1}, {images[0]: 0.1, images[-1]: 0.1}):
                now += VIEW_INTERVAL
                model.learn(TaskName("t"), SERVING, shares, 20.0, now)
        self.assertEqual(added.count, 0)
        known[images[0]] += 1
        self.assertEqual(model._rates[SERVING].samples, known)

    def test_an_image_without_samples_gives_way_to_another(self) -> None:
        model = TailLatencyModel()
        images = [ImageName(f"i{number:02}") for number in range(MAX_IMAGES + 1)]
        for moment, image in enumerate(images):
            now = timedelta(seconds=100 + moment)
            model.learn(TaskName("t"), SERVING, {image: 0.01}, 20.0, now)
        self.assertEqual(list(model._rates[SERVING].samples), images[1:])

    def test_a_change_reads_only_the_covariances_of_changed_images(self) -> None:
        model = TailLatencyModel()
        now = timedelta(seconds=100)
        images = [ImageName(f"i{number}") for number in range(MAX_IMAGES)]
        for image in images:
            for shares in ({}, {image: 0.1}, {}):
                now += VIEW_INTERVAL
                model.learn(TaskName("t"), SERVING, shares, 20.0, now)
        rates = model._rates[SERVING]
        rows = {image: CountedRow(row) for image, row in rates.covariance.items()}
        rates.covariance = {**rows}
        now += VIEW_INTERVAL
        model.learn(TaskName("t"), SERVING, {images[0]: 0.1}, 20.0, now)
        read = [image for image, row in rows.items() if row.reads]
        self.assertEqual(read, [images[0]])


class CountedRow(dict[ImageName, float]):
    """Row of a matrix that counts how often it is read."""

    reads = 0

    def __getitem__(self, key: ImageName) -> float:
        self.reads += 1
        return super().__getitem__(key)

    def get(self, key: ImageName, default: Any = None) -> Any:
        self.reads += 1
        return super().get(key, default)

    def items(self) -> Any:
        self.reads += 1
        return super().items()


if __name__ == "__main__":
    unittest.main()
