"""What tasks of spare cores do to the tail latency of tasks that serve.

Answers the load in which standing tasks fill the workers' capacity and batch
work lives on the cores that they leave unused: whom a batch image slows, and
by how much, is learned from the workers' own measurements.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from rhubarbfield.placement.harm import HarmModel
from rhubarbfield.placement.state import BatchKind, HarmEstimate
from rhubarbfield.scheduling.model import ImageName
from rhubarbfield.types import ServiceName

ONLY_BAND = 0  # workers do not report the load of what serves
ASSUMED_RATIO = 0.4  # of the goal, for an image that was never measured
MS_PER_SECOND = 1000


class ServingTask(msgspec.Struct, frozen=True):
    """A task that serves, as last measured.

    Attributes
    ----------
    image
        What it runs.
    goal_ms
        Bound of its tail latency.
    tail_ms
        The tail latency, or None if it was not measured yet.
    """

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
        Logarithm of the goal over its own tail latency.
    """

    image: ImageName
    margin: float


class Interference:
    """What is learned of images, in the leader's memory."""

    def __init__(self) -> None:
        self._model = HarmModel()

    def learn(
        self, serving: Iterable[ServingTask], shares: Mapping[ImageName, float]
    ) -> None:
        """Learn from one view of a worker.

        Parameters
        ----------
        serving
            The tasks that serve there.
        shares
            Share of the worker's processors that each image beside them uses.
        """
        for task in serving:
            if task.tail_ms:
                self._model.learn(
                    ServiceName(task.image),
                    ONLY_BAND,
                    {BatchKind(image): share for image, share in shares.items()},
                    task.tail_ms / MS_PER_SECOND,
                )

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Start from what an earlier leader has learned."""
        self._model.restore(estimates)

    def take_changes(self) -> tuple[HarmEstimate, ...]:
        """Return what was learned since the last time."""
        changed = tuple(self._model.list_changed())
        self._model.forget_changes()
        return changed

    def find_exposure(
        self, task: ServingTask, shares: Mapping[ImageName, float]
    ) -> Exposure:
        """Return the margin that a task would have without its neighbours.

        Its own load moves within seconds: the last measurement shows when it
        is high, and when it is low it will soon be what was learned of it.
        """
        base = self._model.find_base(ServiceName(task.image), ONLY_BAND)
        goal = math.log(task.goal_ms / MS_PER_SECOND)
        own = math.log(ASSUMED_RATIO) if base is None else base - goal
        if task.tail_ms:
            seen = math.log(task.tail_ms / task.goal_ms)
            own = max(own, seen - self.add_up(task.image, shares))
        return Exposure(task.image, -own)

    def add_up(self, serving: ImageName, shares: Mapping[ImageName, float]) -> float:
        """Return the growth of the log latency of ``serving`` beside ``shares``."""
        return sum(self.get_rate(serving, image) * x for image, x in shares.items())

    def get_rate(self, serving: ImageName, image: ImageName) -> float:
        """Return the growth of log latency if ``image`` used the whole worker."""
        return self._model.find_rate(ServiceName(serving), BatchKind(image), ONLY_BAND)

    def find_worst_margin(
        self, exposures: Iterable[Exposure], shares: Mapping[ImageName, float]
    ) -> float:
        """Return the least margin of all that serve beside ``shares``."""
        return min(
            (each.margin - self.add_up(each.image, shares) for each in exposures),
            default=math.inf,
        )
