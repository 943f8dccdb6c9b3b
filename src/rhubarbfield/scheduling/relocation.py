"""Search for another worker for a run that harms the one that it is on.

The load it answers: hundreds of workers, each with a view several times a second, and
runs that stay paused over many views because no worker has room for them.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    admits,
    find_task_step,
    has_cores,
    is_feasible,
)
from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import TaskName
from rhubarbfield.scheduling.rejections import Rejections
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId

# After a search found no worker for a run, alike runs are not searched for that long.
REJECTION_LIFETIME = timedelta(milliseconds=250)


class RelocationHost(Protocol):
    """Interface of the leader that the search uses."""

    @property
    def state(self) -> SchedulingState:
        """The replicated state."""

    def measure_worker(self, worker: Worker) -> WorkerHeadroom | None:
        """Return the headroom of a worker, or None if it may not receive tasks."""


class RelocationSearch:
    """Finds out whether a run would fit on another worker without harm.

    Parameters
    ----------
    host
        The leader.
    interference
        The model of how images slow each other.
    headroom_index
        The use of each worker.
    clock
        Source of time.
    """

    def __init__(
        self,
        host: RelocationHost,
        interference: InterferenceModel,
        headroom_index: HeadroomIndex,
        clock: Clock,
    ) -> None:
        self._host = host
        self._interference = interference
        self._headroom_index = headroom_index
        self._clock = clock
        self._headrooms: dict[WorkerId, WorkerHeadroom | None] = {}
        self._rejected = Rejections()
        self._rejected_since = clock.monotonic()

    def begin_view(self) -> None:
        """Measure workers again, since a new view may have changed their margins."""
        self._headrooms.clear()

    def is_possible(self, task: TaskName, worker: Worker) -> bool:
        """Return whether a task of ``worker`` would fit on another one now.

        For a short time after a search found none, this returns False for all tasks
        that need no less.
        """
        waiting = find_task_step(self._host.state, task)
        if waiting is None or self._is_rejected(waiting):
            return False
        if any(
            self._is_place_for(waiting, place)
            for place in self._host.state.workers.values()
            if place is not worker
        ):
            return True
        if not waiting.step.max_per_worker:  # such limits differ from step to step
            self._rejected.add(waiting)
        return False

    def _is_place_for(self, waiting: WaitingStep, place: Worker) -> bool:
        # Margins are measured last, since they cost most.
        room = self._headroom_index.find_headroom(self._host.state, place)
        if not (is_feasible(waiting, room) and has_cores(waiting.step, room)):
            return False
        if place.worker not in self._headrooms:
            self._headrooms[place.worker] = self._host.measure_worker(place)
        headroom = self._headrooms[place.worker]
        return (
            headroom is not None
            and is_feasible(waiting, headroom)
            and admits(waiting.step, headroom, self._interference)
        )

    def _is_rejected(self, waiting: WaitingStep) -> bool:
        now = self._clock.monotonic()
        if now - self._rejected_since >= REJECTION_LIFETIME:
            self._rejected.clear()
            self._rejected_since = now
        return self._rejected.covers(waiting)
