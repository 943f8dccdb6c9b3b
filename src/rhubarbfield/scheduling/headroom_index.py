"""Headroom of all workers, added up again only for workers whose runs changed."""

from __future__ import annotations

import copy

import msgspec

from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.interference import ServingTask
from rhubarbfield.scheduling.model import Demand, RunNumber, TaskName
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId


class WorkerUse(msgspec.Struct, frozen=True):
    """What the recorded runs of a worker use.

    Attributes
    ----------
    runs
        Copy of the runs that are added up.
    capacity
        Capacity from which they are subtracted.
    headroom
        What they leave; it has no margins.
    serving
        The tasks with a tail-latency goal, without measurements.
    is_complete
        Whether the steps of all runs are known.
    """

    runs: dict[TaskName, RunNumber]
    capacity: Demand
    headroom: WorkerHeadroom
    serving: tuple[ServingTask, ...]
    is_complete: bool


class HeadroomIndex:
    """The use of each worker, derived from the replicated state."""

    def __init__(self) -> None:
        self._uses: dict[WorkerId, WorkerUse] = {}

    def measure(self, state: SchedulingState, worker: Worker) -> WorkerHeadroom:
        """Return the headroom of a worker; the caller may change it."""
        return copy.copy(self._find_use(state, worker).headroom)

    def find_headroom(self, state: SchedulingState, worker: Worker) -> WorkerHeadroom:
        """Return the headroom of a worker, which must not be changed."""
        return self._find_use(state, worker).headroom

    def list_serving(
        self, state: SchedulingState, worker: Worker
    ) -> tuple[ServingTask, ...]:
        """Return the tasks with a tail-latency goal that are recorded on a worker."""
        return self._find_use(state, worker).serving

    def forget(self, worker: WorkerId) -> None:
        """Drop the data of a worker that was removed."""
        self._uses.pop(worker, None)

    def _find_use(self, state: SchedulingState, worker: Worker) -> WorkerUse:
        use = self._uses.get(worker.worker)
        if use is None or not _is_current(use, worker):
            use = self._uses[worker.worker] = _add_up(state, worker)
        return use


def _is_current(use: WorkerUse, worker: Worker) -> bool:
    return (
        use.is_complete
        and use.headroom.worker is worker
        and use.capacity == worker.capacity
        and use.runs == worker.runs
    )


def _add_up(state: SchedulingState, worker: Worker) -> WorkerUse:
    headroom = WorkerHeadroom(worker, worker.capacity, worker.capacity.millicores)
    serving = []
    is_complete = True
    for name in worker.runs:
        step = state.find_step(name)
        if step is None:
            is_complete = False
            continue
        headroom.add_task(step)
        if step.tail_goal_ms:
            serving.append(ServingTask(name, step.image, step.tail_goal_ms, None))
    return WorkerUse(
        dict(worker.runs), worker.capacity, headroom, tuple(serving), is_complete
    )
