"""What tasks of spare cores do to the tail latency of tasks that serve.

Answers the load in which standing tasks fill the workers' capacity and batch
work lives on the cores that they leave unused: whom a batch image slows, and
by how much, is learned from the workers' own measurements, and so is how near
each task that serves is to its goal by its own load.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.latencymodel import TailLatencyModel
from rhubarbfield.scheduling.model import ImageName, TaskName

UNMEASURED_LATENCY_RATIO = 0.4  # of the goal, for an image that was never measured
TREND_HORIZON_SECONDS = (
    2.5  # a load that rises goes on rising for as long; a run lasts 1 to 3 s
)
PEAK_DEVIATIONS = 1.5  # above the mean; a load that swings evenly stays below 1.42
MARGIN_RESERVE = 0.3  # of log latency: twice as far as measures scatter
NEGLIGIBLE_GROWTH = 0.03  # of log latency, by one task


class ServingTask(msgspec.Struct, frozen=True):
    """A task that serves, as last measured.

    Attributes
    ----------
    task, image
        The task and what it runs.
    goal_ms
        Bound of its tail latency.
    tail_ms
        The tail latency, or None if it was not measured yet.
    """

    task: TaskName
    image: ImageName
    goal_ms: float
    tail_ms: float | None


class Exposure(msgspec.Struct, frozen=True):
    """How near a task that serves is to its goal without its neighbours.

    Attributes
    ----------
    image
        What it runs.
    margin
        Logarithm of the goal over its own tail latency, as it will soon be.
    """

    image: ImageName
    margin: float


class InterferenceModel:
    """What is learned of images and of the tasks that serve, in memory."""

    def __init__(self) -> None:
        self._model = TailLatencyModel()

    def learn(
        self,
        serving: Iterable[ServingTask],
        shares: Mapping[ImageName, float],
        now: timedelta,
    ) -> None:
        """Learn from one view of a worker.

        Parameters
        ----------
        serving
            The tasks that serve there.
        shares
            Share of the worker's processors that each image beside them uses.
        now
            The monotonic time.
        """
        for task in serving:
            if task.tail_ms:
                self._model.learn(task.task, task.image, shares, task.tail_ms, now)

    def forget(self, task: TaskName) -> None:
        """Drop a task that no longer serves."""
        self._model.forget(task)

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Start from what an earlier leader has learned."""
        self._model.restore(estimates)

    def take_changes(self) -> tuple[HarmEstimate, ...]:
        """Return what was learned since the last time."""
        return self._model.take_changes()

    def find_exposure(self, task: ServingTask) -> Exposure:
        """Return the margin that a task will soon have without its neighbours."""
        goal = math.log(task.goal_ms / MS_PER_SECOND)
        return Exposure(task.image, goal - self._predict_level(task, goal))

    def _predict_level(self, task: ServingTask, goal: float) -> float:
        level = self._model.find_level(task.task)
        base = self._model.find_base(task.image)
        if level is None:
            if base is None:
                return goal + math.log(UNMEASURED_LATENCY_RATIO)
            return base[0] + base[1]
        extrapolated = level.mean + max(0.0, level.slope) * TREND_HORIZON_SECONDS
        if base is None:
            return extrapolated
        peak = base[0] + PEAK_DEVIATIONS * base[1]
        return min(extrapolated, max(level.mean, peak))

    def predict_growth(
        self, serving: ImageName, shares: Mapping[ImageName, float]
    ) -> float:
        """Return the growth of the log latency of ``serving`` beside ``shares``."""
        return sum(self.get_rate(serving, image) * x for image, x in shares.items())

    def _predict_growth_upper_bound(
        self, serving: ImageName, shares: Mapping[ImageName, float]
    ) -> float:
        return sum(
            self._model.get_rate_upper_bound(serving, image) * x
            for image, x in shares.items()
        )

    def get_rate(self, serving: ImageName, image: ImageName) -> float:
        """Return the growth of log latency if ``image`` used the whole worker."""
        return self._model.get_rate(serving, image)

    def find_smallest_margin(
        self, exposures: Iterable[Exposure], shares: Mapping[ImageName, float]
    ) -> float:
        """Return the least margin of all that serve beside ``shares``."""
        return min(
            (
                each.margin - self.predict_growth(each.image, shares)
                for each in exposures
            ),
            default=math.inf,
        )

    def find_largest_growth(
        self, exposures: Iterable[Exposure], image: ImageName, share: float
    ) -> float:
        """Return by how much a share of ``image`` raises the tail it raises most."""
        return max(
            (self.get_rate(each.image, image) * share for each in exposures),
            default=0.0,
        )

    def admits(
        self,
        exposures: Iterable[Exposure],
        image: ImageName,
        added: float,
        shares: Mapping[ImageName, float],
        reserve: float = MARGIN_RESERVE,
    ) -> bool:
        """Say whether a share of ``image`` leaves all tails within their goals.

        Parameters
        ----------
        exposures
            The tasks that serve.
        image, added
            What is added, and its share of the processors.
        shares
            All shares beside them, with what is added.
        reserve
            Of log latency, that is left beside what disturbs.
        """
        for each in exposures:
            growth = self._model.get_rate_upper_bound(each.image, image) * added
            left = each.margin - self._predict_growth_upper_bound(each.image, shares)
            # What hardly disturbs needs no reserve: the load decides by itself.
            if left < (0.0 if growth <= NEGLIGIBLE_GROWTH else reserve):
                return False
        return True
