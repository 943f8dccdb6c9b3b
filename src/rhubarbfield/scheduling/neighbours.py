"""Watching what tasks do to those that serve beside them, and easing it."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import Protocol

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.interference import (
    Exposure,
    Interference,
    ServingTask,
)
from rhubarbfield.scheduling.model import ImageName, Step, TaskName
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import FULL_SPEED, WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

AT_WORK = 100  # percent that a standing task shows once it serves
PAUSED = 0  # percent; a task that is slowed goes on disturbing
EASE_RATIO = 0.9  # of the goal, as measures are rough; neighbours are paused
RESUME_RATIO = 0.6  # of the goal, below which they go on
PATIENCE = timedelta(milliseconds=1200)  # two views; 4 s of harm are a fault
HARMLESS = 0.05  # growth of log latency that is not worth a pause


class NeighboursHost(Protocol):
    """What this part needs of the leader."""

    @property
    def state(self) -> SchedulingState:
        """The replicated state."""

    def find_other_place(self, task: TaskName, worker: WorkerId) -> bool:
        """Say whether a task could go on elsewhere without harm, right now."""


class Neighbour(msgspec.Struct, frozen=True):
    """A run of spare cores beside tasks that serve."""

    key: RunKey
    step: Step
    share: float


class Neighbours:
    """What is known of each worker's neighbours, in the leader's memory.

    Parameters
    ----------
    host
        The leader.
    interference
        What is learned of images.
    clock
        The time.
    """

    def __init__(
        self, host: NeighboursHost, interference: Interference, clock: Clock
    ) -> None:
        self._host = host
        self._interference = interference
        self._clock = clock
        self._suffering_since: dict[WorkerId, timedelta] = {}
        self._serving: dict[WorkerId, list[ServingTask]] = {}
        self._shares: dict[WorkerId, dict[ImageName, float]] = {}

    def list_exposures(self, worker: Worker) -> list[Exposure]:
        """Return how near each task that serves on a worker is to its goal."""
        shares = self._shares.get(worker.worker, {})
        return [
            self._interference.find_exposure(task, shares)
            for task in self._list_serving(worker)
        ]

    def note_view(self, worker: Worker, session: WorkerSession) -> None:
        """Learn from a view of a worker, and pause or resume neighbours."""
        serving: list[ServingTask] = []
        neighbours: list[Neighbour] = []
        shares: dict[ImageName, float] = {}
        capacity = max(worker.capacity.millicores, 1)
        for task, run in worker.runs.items():
            step = self._host.state.find_step(task)
            active = session.active.get(task)
            if step is None or active is None or active.run != run:
                continue
            if step.tail_goal_ms and active.percent >= AT_WORK:
                serving.append(
                    ServingTask(step.image, step.tail_goal_ms, active.measure)
                )
            elif step.uses_spare_cores:
                share = (active.measure or 0.0) / capacity
                wanted = step.demand.millicores / capacity
                shares[step.image] = shares.get(step.image, 0.0) + share
                neighbours.append(Neighbour(RunKey(task, run), step, wanted))
        self._interference.learn(serving, shares)
        self._serving[worker.worker] = serving
        self._shares[worker.worker] = shares
        if serving and neighbours:
            self._ease(worker, session, serving, neighbours)

    def has_both(self, worker: Worker) -> bool:
        """Say whether tasks that serve and tasks of spare cores share a worker."""
        steps = [
            step
            for step in map(self._host.state.find_step, worker.runs)
            if step is not None
        ]
        return any(step.tail_goal_ms for step in steps) and any(
            step.uses_spare_cores for step in steps
        )

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker that is gone."""
        self._serving.pop(worker, None)
        self._suffering_since.pop(worker, None)
        self._shares.pop(worker, None)

    def _list_serving(self, worker: Worker) -> list[ServingTask]:
        """Return what serves on a worker, measured or only recorded."""
        measured = self._serving.get(worker.worker, [])
        recorded = [
            ServingTask(step.image, step.tail_goal_ms, None)
            for step in map(self._host.state.find_step, worker.runs)
            if step is not None and step.tail_goal_ms
        ]
        return measured + recorded[len(measured) :]

    def _ease(
        self,
        worker: Worker,
        session: WorkerSession,
        serving: list[ServingTask],
        neighbours: list[Neighbour],
    ) -> None:
        suffering = [
            task
            for task in serving
            if task.tail_ms is not None and task.tail_ms >= task.goal_ms * EASE_RATIO
        ]
        if suffering:
            for neighbour in self._choose_guilty(worker, suffering, neighbours):
                self._move_or_pause(worker, session, neighbour)
            return
        self._suffering_since.pop(worker.worker, None)
        if all(
            task.tail_ms is None or task.tail_ms <= task.goal_ms * RESUME_RATIO
            for task in serving
        ):
            for neighbour in neighbours:
                self._set_pace(worker, session, neighbour, FULL_SPEED)

    def _move_or_pause(
        self, worker: Worker, session: WorkerSession, neighbour: Neighbour
    ) -> None:
        """Let a task go on elsewhere if that loses no work, or pause it."""
        key = neighbour.key
        if session.is_stopping(key):
            return
        may_move = neighbour.step.checkpoints and self._host.find_other_place(
            key.task, worker.worker
        )
        if not may_move:
            self._set_pace(worker, session, neighbour, PAUSED)
            return
        log_event(
            logger,
            logging.INFO,
            "run-moved",
            task=key.task,
            run=key.run,
            worker=worker.worker,
        )
        session.stop(key)

    def _choose_guilty(
        self,
        worker: Worker,
        suffering: list[ServingTask],
        neighbours: list[Neighbour],
    ) -> list[Neighbour]:
        """Return the neighbours that harm, or all if none is known to.

        What was learned may be wrong: if the tail stays high, all are guilty.
        """
        now = self._clock.monotonic()
        since = self._suffering_since.setdefault(worker.worker, now)
        if now - since >= PATIENCE:
            return neighbours
        guilty = [
            neighbour
            for neighbour in neighbours
            if any(
                self._interference.get_rate(task.image, neighbour.step.image)
                * neighbour.share
                > HARMLESS
                for task in suffering
            )
        ]
        return guilty or neighbours

    def _set_pace(
        self,
        worker: Worker,
        session: WorkerSession,
        neighbour: Neighbour,
        percent: int,
    ) -> None:
        if session.get_pace(neighbour.key) == percent:
            return
        if session.is_stopping(neighbour.key):
            return
        log_event(
            logger,
            logging.INFO,
            "run-paced",
            task=neighbour.key.task,
            run=neighbour.key.run,
            worker=worker.worker,
            percent=percent,
        )
        session.pace(neighbour.key, percent)
