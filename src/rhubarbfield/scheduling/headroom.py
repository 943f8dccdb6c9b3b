"""Headroom of workers, and whether a task fits without harming serving tasks."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from rhubarbfield.scheduling.interference import (
    InterferenceModel,
    LatencyMargin,
    LatencySlack,
    admits_share,
)
from rhubarbfield.scheduling.model import Demand, ImageName, Queue, Step, TaskName
from rhubarbfield.scheduling.state import Job, SchedulingState, Task, Worker
from rhubarbfield.types import WorkerId

# With a smaller fraction of its cores a task takes 1.5 times as long.
MIN_SPARE_CORE_FRACTION = 0.7
# Fraction of their reserved cores that standing tasks are assumed to use; batch
# tasks on the same worker ran at full speed with this value.
SERVING_UTILIZATION = 0.5


class WorkerHeadroom(msgspec.Struct):
    """Capacity left on a worker, updated during one placement round.

    Attributes
    ----------
    worker
        The worker's replicated record.
    free
        Capacity that is not reserved.
    spare_millicores
        Processor capacity that no task is expected to use.
    predict_margins, known_margins
        Predicts the latency margins, and what it has returned, if it was called.
    known_slacks
        What the tasks on the worker leave of the margins, if it was measured.
    serving_images
        Images of the standing tasks with a tail-latency goal.
    shares
        Share of the worker's processors that each image of spare-core tasks
        wants.
    spare_core_tasks, standing_tasks
        Number of spare-core tasks and of standing tasks on the worker.
    is_reserved
        Whether standing tasks start on the worker only if there is no other.
    task_count
        Number of all tasks on the worker.
    task_limit
        Upper limit of ``task_count``; while the worker is on probation, one more
        than the present count until its probe has started.
    awaits_probe
        Whether the worker is on probation and its probe has not started. All members
        of a gang may be the probe together, as none of them works without the others.
    failures
        Runs that failed on the worker since the last success.
    has_proven_probe
        Whether the worker is on probation, and standing tasks may follow its probe.
    count_unproven
        Counts the runs with which the worker is not known to have worked for a while.
    new_tasks
        Number of tasks that this round has added.
    """

    worker: Worker
    free: Demand
    spare_millicores: int
    predict_margins: Callable[[], list[LatencyMargin]] = list
    known_margins: list[LatencyMargin] | None = None
    known_slacks: list[LatencySlack] | None = None
    serving_images: frozenset[ImageName] = frozenset()
    shares: dict[ImageName, float] = msgspec.field(default_factory=dict)
    spare_core_tasks: int = 0
    standing_tasks: int = 0
    is_reserved: bool = False
    task_count: int = 0
    task_limit: int = 1_000_000
    awaits_probe: bool = False
    failures: int = 0
    has_proven_probe: bool = False
    count_unproven: Callable[[], int] = int
    new_tasks: int = 0

    @property
    def margins(self) -> list[LatencyMargin]:
        """The smallest latency margin of each image with a tail-latency goal.

        They are predicted on first use: most workers have no room for a task whose
        harm would have to be known.
        """
        if self.known_margins is None:
            self.known_margins = self.predict_margins()
        return self.known_margins

    def measure_slacks(self, interference: InterferenceModel) -> list[LatencySlack]:
        """Return what the tasks on the worker leave of the margins."""
        if self.known_slacks is None:
            self.known_slacks = interference.measure_slacks(self.margins, self.shares)
        return self.known_slacks

    def add_task(self, step: Step) -> None:
        """Account for one more task of ``step`` on this worker."""
        self.known_slacks = None
        self.free = self.free.minus(step.reserved)
        self.task_count += 1
        if step.tail_goal_ms:
            self.serving_images |= {step.image}
        if step.standing:
            self.standing_tasks += 1
        if step.uses_spare_cores:
            self.spare_core_tasks += 1
            self.shares = self.add_share(step)
        self.spare_millicores -= _expect_use(step)

    def add_share(self, step: Step) -> dict[ImageName, float]:
        """Return the shares including one more task of ``step``."""
        before = self.shares.get(step.image, 0.0)
        return {**self.shares, step.image: before + self.worker.find_share(step)}


def measure_steps(worker: Worker, steps: Iterable[Step]) -> WorkerHeadroom:
    """Return what one task of each step leaves of a worker that has no others.

    It is the same as ``WorkerHeadroom.add_task`` for each, without the objects in
    between.
    """
    capacity = worker.capacity
    millicores, memory_mb, accelerators = msgspec.structs.astuple(capacity)
    headroom = WorkerHeadroom(worker, capacity, millicores)
    images: set[ImageName] = set()
    for step in steps:
        demand = step.demand
        memory_mb -= demand.memory_mb
        accelerators -= demand.accelerators
        headroom.task_count += 1
        headroom.spare_millicores -= _expect_use(step)
        if step.tail_goal_ms:
            images.add(step.image)
        if step.standing:
            headroom.standing_tasks += 1
        if step.uses_spare_cores:
            headroom.spare_core_tasks += 1
            share = headroom.shares.get(step.image, 0.0) + worker.find_share(step)
            headroom.shares[step.image] = share
        else:
            millicores -= demand.millicores
    headroom.free = Demand(millicores, memory_mb, accelerators)
    headroom.serving_images = frozenset(images)
    return headroom


def _expect_use(step: Step) -> int:
    """Return the processor capacity that a task is expected to use."""
    return int(step.demand.millicores * (SERVING_UTILIZATION if step.standing else 1))


class WaitingStep(msgspec.Struct, frozen=True):
    """A step whose tasks may start."""

    job: Job
    queue: Queue
    occurrence: int
    number: int

    @property
    def step(self) -> Step:
        """The step as it was submitted."""
        return self.job.get_step(self.number)

    @property
    def is_open(self) -> bool:
        """Whether tasks of the step may still start."""
        return self.job.is_open and bool(self.tasks)

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step; none once its occurrence has ended."""
        steps = self.job.occurrences[self.occurrence]
        return steps[self.number].tasks if steps else []

    def count_running(self, worker: WorkerId) -> int:
        """Return the number of live tasks on a worker, if the step limits it."""
        if not self.step.max_per_worker:
            return 0
        return count_live(self.tasks).get(worker, 0)


def find_task_step(state: SchedulingState, name: TaskName) -> WaitingStep | None:
    """Return the step of a task, or None if its job or queue is unknown."""
    found = state.find_task(name)
    if found is None:
        return None
    job, occurrence, number, _ = found
    queue = state.find_serving_queue(job.queue)
    return None if queue is None else WaitingStep(job, queue, occurrence, number)


def has_label(step: Step, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker has the label that a step requires, if it does."""
    label = step.required_label
    return not label or label in headroom.worker.labels


def has_room(reserved: Demand, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker may take one more task that reserves so much."""
    return headroom.task_count < headroom.task_limit and reserved.fits(headroom.free)


def count_places(step: Step, headroom: WorkerHeadroom, running: int = 0) -> int:
    """Return how many more tasks of a step may run on a worker at a time.

    Whether they find spare cores there and harm no serving task is not part of it.

    Parameters
    ----------
    step
        The step.
    headroom
        Headroom of the worker.
    running
        Number of live tasks of the step on the worker.
    """
    need, free = step.reserved, headroom.free
    if not has_room(need, headroom) or not has_label(step, headroom):
        return 0
    places = step.tasks
    if step.max_per_worker:
        places = min(places, step.max_per_worker - running)
    if not (step.gang and headroom.awaits_probe):
        places = min(places, headroom.task_limit - headroom.task_count)
    if need.millicores:
        places = min(places, free.millicores // need.millicores)
    if need.memory_mb:
        places = min(places, free.memory_mb // need.memory_mb)
    if need.accelerators:
        places = min(places, free.accelerators // need.accelerators)
    return max(places, 0)


def has_cores(step: Step, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker has enough spare cores, if the task works on these."""
    if not step.uses_spare_cores:
        return True
    return headroom.spare_millicores >= step.demand.millicores * MIN_SPARE_CORE_FRACTION


def admits(
    step: Step, headroom: WorkerHeadroom, interference: InterferenceModel
) -> bool:
    """Return whether a task has the cores it needs and harms no serving task."""
    if not has_cores(step, headroom):
        return False
    if not step.uses_spare_cores or not headroom.margins:
        return True
    share = headroom.worker.find_share(step)
    return admits_share(headroom.measure_slacks(interference), step.image, share)


def count_admitted(
    step: Step,
    headroom: WorkerHeadroom,
    interference: InterferenceModel,
    running: int = 0,
) -> int:
    """Return how many more tasks may start on a worker at most, where none is forced.

    Each but the first may harm serving tasks.
    """
    places = count_places(step, headroom, running)
    if not places or not step.uses_spare_cores:
        return places
    if not admits(step, headroom, interference):
        return 0
    use = _expect_use(step)
    if not use:
        return places
    least = step.demand.millicores * MIN_SPARE_CORE_FRACTION
    return min(places, int((headroom.spare_millicores - least) // use) + 1)


def is_feasible(waiting: WaitingStep, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker has the service, label and headroom for a task."""
    step, worker = waiting.step, headroom.worker
    if worker.service != waiting.queue.service or not has_room(step.reserved, headroom):
        return False
    return count_places(step, headroom, waiting.count_running(worker.worker)) > 0


def measure_utilization(headrooms: list[WorkerHeadroom]) -> float:
    """Return the fraction of the workers' cores that is reserved."""
    capacity = sum(headroom.worker.capacity.millicores for headroom in headrooms)
    free = sum(headroom.free.millicores for headroom in headrooms)
    return 1 - free / max(capacity, 1)


def count_live(tasks: list[Task]) -> dict[WorkerId, int]:
    """Return the number of live runs of the tasks, by worker."""
    counts: dict[WorkerId, int] = {}
    for task in tasks:
        for worker in task.live.values():
            counts[worker] = counts.get(worker, 0) + 1
    return counts
