"""Effect of spare-core tasks on the tail latency of serving tasks.

Standing tasks may fill the workers' capacity while batch work runs on the cores
they leave unused. How much each batch image slows each serving image, and how
near a serving task is to its goal by its own load, is learned from the workers'
measurements.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.latency_model import FIRST_UPPER_BOUND, TailLatencyModel
from rhubarbfield.scheduling.model import ImageName, TaskName

# Assumed ratio of tail latency to its goal for an image that was never measured.
UNMEASURED_LATENCY_RATIO = 0.4
_UNMEASURED_LOG_RATIO = math.log(UNMEASURED_LATENCY_RATIO)
# Rising load is expected to go on rising for this long; a run lasts 1 to 3 s.
TREND_HORIZON_SECONDS = 2.5
# Standard deviations from the mean to the peak; a sinusoidal load stays below 1.42.
PEAK_DEVIATIONS = 1.5
MARGIN_RESERVE = 0.3  # in log latency; twice the scatter of measurements
NEGLIGIBLE_GROWTH = 0.03  # growth of log latency that one task causes


class ServingTask(msgspec.Struct, frozen=True):
    """A task with a tail-latency goal, as last measured.

    Attributes
    ----------
    task, image
        The task, and the image it runs.
    goal_ms
        Upper bound of its tail latency, in ms.
    tail_ms
        Its tail latency in ms, or None if it was not measured yet.
    """

    task: TaskName
    image: ImageName
    goal_ms: float
    tail_ms: float | None


class LatencyMargin(msgspec.Struct, frozen=True):
    """Latency margin of a serving task without its co-located tasks.

    Attributes
    ----------
    image
        The image the task runs.
    margin
        Logarithm of the goal divided by the tail latency that is predicted from
        the task's own load.
    """

    image: ImageName
    margin: float


class UsualLevel(msgspec.Struct, frozen=True):
    """Levels of log latency that the tasks of an image usually have.

    Attributes
    ----------
    expected
        Level of a task that was not measured yet.
    peak
        Level that the load of a task seldom exceeds.
    """

    expected: float
    peak: float


class LatencySlack(msgspec.Struct, frozen=True):
    """What co-located tasks leave of the latency margin of a serving image.

    Attributes
    ----------
    left
        The margin without the growth that co-located tasks cause at most.
    upper_bounds
        Upper bounds of the rates at which other images slow the serving one.
    """

    left: float
    upper_bounds: Mapping[ImageName, float]


class InterferenceModel:
    """Predicts how spare-core tasks change the tail latency of serving tasks.

    Attributes
    ----------
    version
        Number of changes so far; predictions are the same until the next one.
    """

    def __init__(self) -> None:
        self._model = TailLatencyModel()
        self._usual: dict[ImageName, UsualLevel | None] = {}
        self._usual_version = 0
        self.version = 0

    def learn(
        self,
        serving: Iterable[ServingTask],
        shares: Mapping[ImageName, float],
        now: timedelta,
    ) -> None:
        """Update the model from one view of a worker.

        Parameters
        ----------
        serving
            The serving tasks on the worker.
        shares
            Share of the worker's processors that each co-located image uses.
        now
            Monotonic time of the view.
        """
        for task in serving:
            if task.tail_ms:
                self.version += 1
                self._model.learn(task.task, task.image, shares, task.tail_ms, now)

    def forget(self, task: TaskName) -> None:
        """Drop the state of a task that no longer serves."""
        self.version += 1
        self._model.forget(task)

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Restore the estimates that an earlier leader saved."""
        self.version += 1
        self._model.restore(estimates)

    def take_changes(self) -> tuple[HarmEstimate, ...]:
        """Return the estimates that changed since the last call."""
        return self._model.take_changes()

    def predict_margin(self, task: ServingTask) -> LatencyMargin:
        """Return the predicted margin of a task without its co-located tasks."""
        return LatencyMargin(task.image, self._predict_margin(task))

    def predict_smallest_margins(
        self, tasks: Iterable[ServingTask]
    ) -> list[LatencyMargin]:
        """Return the smallest predicted margin of each image among the tasks."""
        smallest: dict[ImageName, float] = {}
        for task in tasks:
            margin = self._predict_margin(task)
            if margin < smallest.get(task.image, math.inf):
                smallest[task.image] = margin
        return [LatencyMargin(image, margin) for image, margin in smallest.items()]

    def _predict_margin(self, task: ServingTask) -> float:
        level = self._model.find_level(task.task)
        if level is not None and level.slope <= 0:
            return _find_log_goal(task.goal_ms) - level.mean
        usual = self._find_usual_level(task.image)
        if level is None:
            if usual is None:
                return -_UNMEASURED_LOG_RATIO
            return _find_log_goal(task.goal_ms) - usual.expected
        predicted = level.mean + level.slope * TREND_HORIZON_SECONDS
        if usual is not None:
            predicted = min(predicted, max(level.mean, usual.peak))
        return _find_log_goal(task.goal_ms) - predicted

    def _find_usual_level(self, image: ImageName) -> UsualLevel | None:
        """Return the usual level of an image's tasks, computed once a version."""
        if self._usual_version != self.version:
            self._usual.clear()
            self._usual_version = self.version
        if image not in self._usual:
            base = self._model.find_base(image)
            self._usual[image] = None if base is None else _make_usual_level(*base)
        return self._usual[image]

    def predict_growth(
        self, serving: ImageName, shares: Mapping[ImageName, float]
    ) -> float:
        """Return the growth of log latency of ``serving`` that ``shares`` cause."""
        return sum(self.get_rate(serving, image) * x for image, x in shares.items())

    def get_rate(self, serving: ImageName, image: ImageName) -> float:
        """Return the growth of log latency if ``image`` used the whole worker."""
        return self._model.get_rate(serving, image)

    def find_smallest_margin(
        self, margins: Iterable[LatencyMargin], shares: Mapping[ImageName, float]
    ) -> float:
        """Return the smallest margin that is left with ``shares``."""
        return min(
            (each.margin - self.predict_growth(each.image, shares) for each in margins),
            default=math.inf,
        )

    def find_largest_growth(
        self, margins: Iterable[LatencyMargin], image: ImageName, share: float
    ) -> float:
        """Return the largest growth that a share of ``image`` causes."""
        return max(
            (self.get_rate(each.image, image) * share for each in margins),
            default=0.0,
        )

    def measure_slacks(
        self, margins: Iterable[LatencyMargin], shares: Mapping[ImageName, float]
    ) -> list[LatencySlack]:
        """Return what ``shares`` of co-located images leave of each margin."""
        slacks = []
        for each in margins:
            bounds = self._model.get_rate_upper_bounds(each.image)
            growth = sum(
                [bounds.get(name, FIRST_UPPER_BOUND) * x for name, x in shares.items()]
            )
            slacks.append(LatencySlack(each.margin - growth, bounds))
        return slacks


@functools.lru_cache
def _find_log_goal(goal_ms: float) -> float:
    return math.log(goal_ms / MS_PER_SECOND)


def _make_usual_level(mean: float, deviation: float) -> UsualLevel:
    return UsualLevel(mean + deviation, mean + PEAK_DEVIATIONS * deviation)


def admits_share(
    slacks: Iterable[LatencySlack],
    image: ImageName,
    added: float,
    reserve: float = MARGIN_RESERVE,
) -> bool:
    """Return whether all goals hold after a share of an image is added.

    Parameters
    ----------
    slacks
        What is left of the margins of the serving tasks.
    image, added
        The image that is added, and its share of the processors.
    reserve
        Margin of log latency that must be left if the growth is not negligible.
    """
    for slack in slacks:
        growth = slack.upper_bounds.get(image, FIRST_UPPER_BOUND) * added
        # Negligible growth needs no reserve: load alone decides about the goal.
        if slack.left - growth < (0.0 if growth <= NEGLIGIBLE_GROWTH else reserve):
            return False
    return True


def measure_least_left(
    slacks: Iterable[LatencySlack], image: ImageName, added: float
) -> float:
    """Return what is left of the margins after a share of an image and the reserve."""
    left = math.inf
    for slack in slacks:
        growth = slack.upper_bounds.get(image, FIRST_UPPER_BOUND) * added
        reserve = 0.0 if growth <= NEGLIGIBLE_GROWTH else MARGIN_RESERVE
        left = min(left, slack.left - growth - reserve)
    return left
