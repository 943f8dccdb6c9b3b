"""Headroom of all workers, added up again only for workers whose runs changed."""

from __future__ import annotations

import copy
from collections.abc import Mapping

import msgspec

from rhubarbfield.scheduling.headroom import WorkerHeadroom, measure_steps
from rhubarbfield.scheduling.interference import ServingTask
from rhubarbfield.scheduling.model import Demand, RunNumber, Step, TaskName
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId


class WorkerUse(msgspec.Struct, frozen=True):
    """What the recorded runs of a worker use.

    Attributes
    ----------
    runs
        Copy of the runs that are added up.
    steps
        The steps of their tasks, as far as they are known.
    capacity
        Capacity from which they are subtracted.
    headroom
        What they leave; it has no margins.
    serving
        The tasks with a tail-latency goal, without measurements.
    """

    runs: dict[TaskName, RunNumber]
    steps: dict[TaskName, Step]
    capacity: Demand
    headroom: WorkerHeadroom
    serving: tuple[ServingTask, ...]


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

    def find_steps(
        self, state: SchedulingState, worker: Worker
    ) -> Mapping[TaskName, Step]:
        """Return the steps of the tasks that are recorded on a worker.

        They are in the order of its runs; a task that is not known has none.
        """
        return self._find_use(state, worker).steps

    def forget(self, worker: WorkerId) -> None:
        """Drop the data of a worker that was removed."""
        self._uses.pop(worker, None)

    def _find_use(self, state: SchedulingState, worker: Worker) -> WorkerUse:
        use = self._uses.get(worker.worker)
        if use is None or use.headroom.worker is not worker:
            use = self._uses[worker.worker] = _add_up(state, worker, {})
        elif not _is_current(use, worker):
            use = self._uses[worker.worker] = _add_up(state, worker, use.steps)
        return use


def _is_current(use: WorkerUse, worker: Worker) -> bool:
    return (
        len(use.steps) == len(use.runs)
        and use.capacity == worker.capacity
        and use.runs == worker.runs
    )


def _add_up(
    state: SchedulingState, worker: Worker, known: dict[TaskName, Step]
) -> WorkerUse:
    """Add up the runs of a worker; ``known`` has the steps of earlier ones."""
    steps: dict[TaskName, Step] = {}
    for name in worker.runs:
        step = known.get(name) or state.find_step(name)
        if step is not None:
            steps[name] = step
    serving = tuple(
        ServingTask(name, step.image, step.tail_goal_ms, None)
        for name, step in steps.items()
        if step.tail_goal_ms
    )
    headroom = measure_steps(worker, steps.values())
    return WorkerUse(dict(worker.runs), steps, worker.capacity, headroom, serving)
