"""Watching what tasks do to those that serve beside them, and easing it."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.interference import (
    RESERVE,
    Exposure,
    Interference,
    ServingTask,
)
from rhubarbfield.scheduling.metrics import RUNS_DISTURBED
from rhubarbfield.scheduling.model import ImageName, Step, TaskName
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.rooms import (
    WorkerRoom,
    admits,
    find_step_of,
    may_hold,
)
from rhubarbfield.scheduling.session import FULL_SPEED, WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

AT_WORK = 100  # percent that a standing task shows once it serves
PAUSED = 0  # percent; a task that is slowed goes on disturbing
EASE_RATIO = 0.95  # of the goal, as measured; what harms is taken away from there
EASED_RATIO = 0.8  # of the goal, that taking neighbours away should lead to
PATIENCE = timedelta(milliseconds=1800)  # three views; 4 s of harm are a fault
LONGEST_PAUSE = timedelta(milliseconds=1500)  # as long as most tasks last
HARMLESS = 0.05  # growth of log latency that is not worth a pause


class NeighboursHost(Protocol):
    """What this part needs of the leader."""

    @property
    def state(self) -> SchedulingState:
        """The replicated state."""

    def measure_rooms(self) -> dict[WorkerId, WorkerRoom]:
        """Return the room of each worker that may take work."""


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
        self._paused_since: dict[WorkerId, dict[RunKey, timedelta]] = {}
        # Measured for the first run of a view that may move; the others see it too.
        self._rooms: dict[WorkerId, WorkerRoom] | None = None

    def list_exposures(self, worker: Worker) -> list[Exposure]:
        """Return how near what serves on a worker is to its goals.

        Neighbours act on all tasks of an image alike, so that the one nearest
        to its goal stands for them.
        """
        tightest: dict[ImageName, Exposure] = {}
        for task in self._list_serving(worker):
            found = self._interference.find_exposure(task)
            known = tightest.get(found.image)
            if known is None or found.margin < known.margin:
                tightest[found.image] = found
        return list(tightest.values())

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
                    ServingTask(task, step.image, step.tail_goal_ms, active.measure)
                )
            elif step.uses_spare_cores:
                share = (active.measure or 0.0) / capacity
                shares[step.image] = shares.get(step.image, 0.0) + share
                key = RunKey(task, run)
                neighbours.append(Neighbour(key, step, worker.find_share(step)))
        self._interference.learn(serving, shares, self._clock.monotonic())
        self._forget_others(worker.worker, serving)
        self._serving[worker.worker] = serving
        self._rooms = None
        if neighbours:
            self._ease(worker, session, serving, neighbours)

    def _forget_others(
        self, worker: WorkerId, serving: Iterable[ServingTask] = ()
    ) -> None:
        kept = {task.task for task in serving}
        for task in self._serving.get(worker, ()):
            if task.task not in kept:
                self._interference.forget(task.task)

    def has_serving(self, worker: Worker) -> bool:
        """Say whether tasks of spare cores would disturb others on a worker."""
        steps = map(self._host.state.find_step, worker.runs)
        return any(step is not None and step.tail_goal_ms for step in steps)

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker that is gone."""
        self._forget_others(worker)
        self._serving.pop(worker, None)
        self._suffering_since.pop(worker, None)
        self._paused_since.pop(worker, None)

    def _list_serving(self, worker: Worker) -> list[ServingTask]:
        """Return what serves on a worker, measured or only recorded."""
        measured = {task.task: task for task in self._serving.get(worker.worker, [])}
        found = []
        for name in worker.runs:
            step = self._host.state.find_step(name)
            if step is not None and step.tail_goal_ms:
                recorded = ServingTask(name, step.image, step.tail_goal_ms, None)
                found.append(measured.get(name, recorded))
        return found

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
            self._paused_since.pop(worker.worker, None)
            working = [
                each for each in neighbours if session.get_pace(each.key) != PAUSED
            ]
            for neighbour in self._choose_guilty(worker, suffering, working):
                self._move_or_pause(worker, session, neighbour)
            return
        self._suffering_since.pop(worker.worker, None)
        # What an earlier leader may have paused is taken for paused.
        running = [
            each for each in neighbours if session.get_pace(each.key) == FULL_SPEED
        ]
        paused = [each for each in neighbours if each not in running]
        self._note_paused(worker, paused)
        self._resume(worker, session, running, paused)

    def _note_paused(self, worker: Worker, paused: list[Neighbour]) -> None:
        """Remember since when each run has been paused."""
        now = self._clock.monotonic()
        known = self._paused_since.get(worker.worker, {})
        self._paused_since[worker.worker] = {
            each.key: known.get(each.key, now) for each in paused
        }

    def _is_overdue(self, worker: Worker, neighbour: Neighbour) -> bool:
        """Say whether a run has been paused for longer than it is worth waiting."""
        now = self._clock.monotonic()
        since = self._paused_since.get(worker.worker, {}).get(neighbour.key, now)
        return now - since >= LONGEST_PAUSE

    def _resume(
        self,
        worker: Worker,
        session: WorkerSession,
        running: list[Neighbour],
        paused: list[Neighbour],
    ) -> None:
        """Let paused tasks go on where that harms nobody, here or elsewhere.

        One that has waited too long needs no reserve, and may lose its work.
        """
        exposures = self.list_exposures(worker)
        shares = _add_shares(running)
        for neighbour in paused:
            is_overdue = self._is_overdue(worker, neighbour)
            image = neighbour.step.image
            after = {**shares, image: shares.get(image, 0.0) + neighbour.share}
            reserve = 0.0 if is_overdue else RESERVE
            if self._interference.admits(
                exposures, image, neighbour.share, after, reserve
            ):
                self._set_pace(worker, session, neighbour, FULL_SPEED)
                shares = after
            elif not self._move(worker, session, neighbour, may_lose=is_overdue):
                self._set_pace(worker, session, neighbour, PAUSED)

    def _move_or_pause(
        self, worker: Worker, session: WorkerSession, neighbour: Neighbour
    ) -> None:
        """Let a task go on elsewhere if that loses no work, or pause it."""
        if not self._move(worker, session, neighbour):
            self._set_pace(worker, session, neighbour, PAUSED)

    def _move(
        self,
        worker: Worker,
        session: WorkerSession,
        neighbour: Neighbour,
        *,
        may_lose: bool = False,
    ) -> bool:
        """Stop a run that can go on elsewhere; say whether it is stopped.

        One that saves no work is only moved if it may lose what it has done.
        """
        key = neighbour.key
        if session.is_stopping(key):
            return True
        if not (neighbour.step.checkpoints or may_lose):
            return False
        if not self._has_other_place(key.task, worker):
            return False
        log_event(
            logger,
            logging.INFO,
            "run-moved",
            task=key.task,
            run=key.run,
            worker=worker.worker,
            tails=self._describe_tails(worker),
        )
        RUNS_DISTURBED.labels("moved").inc()
        session.stop(key)
        return True

    def _has_other_place(self, task: TaskName, worker: Worker) -> bool:
        """Say whether a task could go on elsewhere without harm, right now."""
        waiting = find_step_of(self._host.state, task)
        if waiting is None:
            return False
        if self._rooms is None:
            self._rooms = self._host.measure_rooms()
        return any(
            may_hold(waiting, room) and admits(waiting.step, room, self._interference)
            for place, room in self._rooms.items()
            if place != worker.worker
        )

    def _choose_guilty(
        self,
        worker: Worker,
        suffering: list[ServingTask],
        neighbours: list[Neighbour],
    ) -> list[Neighbour]:
        """Return the neighbours to take away, the most harmful first.

        A tail that is high by its own load is left alone. What was learned may
        be wrong: if the tail stays high, all are taken away.
        """
        now = self._clock.monotonic()
        since = self._suffering_since.setdefault(worker.worker, now)
        if now - since >= PATIENCE:
            return neighbours
        guilty: dict[RunKey, Neighbour] = {}
        for task in suffering:
            excess = math.log((task.tail_ms or 0.0) / (task.goal_ms * EASED_RATIO))
            harm = {
                each.key: self._interference.get_rate(task.image, each.step.image)
                * each.share
                for each in neighbours
            }
            for neighbour in sorted(neighbours, key=lambda each: -harm[each.key]):
                if excess <= 0 or harm[neighbour.key] <= HARMLESS:
                    break
                excess -= harm[neighbour.key]
                guilty[neighbour.key] = neighbour
        return list(guilty.values())

    def _describe_tails(self, worker: Worker) -> str:
        """Return the tails just measured, in percent of their goals, by image."""
        return " ".join(
            f"{task.image}:{100 * task.tail_ms / task.goal_ms:.0f}"
            for task in self._serving.get(worker.worker, ())
            if task.tail_ms is not None
        )

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
            tails=self._describe_tails(worker),
        )
        RUNS_DISTURBED.labels("paced").inc()
        session.pace(neighbour.key, percent)


def _add_shares(neighbours: Iterable[Neighbour]) -> dict[ImageName, float]:
    shares: dict[ImageName, float] = {}
    for each in neighbours:
        image = each.step.image
        shares[image] = shares.get(image, 0.0) + each.share
    return shares
