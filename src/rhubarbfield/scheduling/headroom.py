"""What workers can take, and whom that would harm."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from rhubarbfield.scheduling.interference import Exposure, InterferenceModel
from rhubarbfield.scheduling.model import Demand, ImageName, Queue, Step, TaskName
from rhubarbfield.scheduling.state import Job, SchedulingState, Task, Worker
from rhubarbfield.types import WorkerId

MIN_SPARE_CORE_FRACTION = 0.7  # with less of its cores a task lasts half as long again
SERVING_UTILIZATION = (
    0.5  # of their reserved cores; batch beside them ran at full speed
)


class WorkerHeadroom(msgspec.Struct):
    """What a worker can take, as this round goes on.

    Attributes
    ----------
    worker
        Its record.
    free
        Capacity that is not reserved.
    spare_millicores
        Processor that nothing is expected to use.
    exposures
        Of the standing tasks with a tail goal on it, the tightest of each image.
    serving
        Images of the standing tasks with a tail goal.
    shares
        Share of its processors that each image of spare cores wants.
    filling
        Tasks of spare cores on it.
    tasks
        All tasks on it.
    limit
        Most tasks it may have; one more than now while it is on probation.
    failures
        Runs that failed there since the last success.
    """

    worker: Worker
    free: Demand
    spare_millicores: int
    exposures: list[Exposure] = msgspec.field(default_factory=list)
    serving_images: frozenset[ImageName] = frozenset()
    shares: dict[ImageName, float] = msgspec.field(default_factory=dict)
    spare_core_tasks: int = 0
    task_count: int = 0
    task_limit: int = 1_000_000
    failures: int = 0

    def add_task(self, step: Step) -> None:
        """Count a task of ``step`` on this worker."""
        self.free = self.free.minus(step.reserved)
        self.task_count += 1
        cores = step.demand.millicores
        if step.tail_goal_ms:
            self.serving_images |= {step.image}
        if step.uses_spare_cores:
            self.spare_core_tasks += 1
            self.shares = self.add_share(step)
        self.spare_millicores -= int(
            cores * (SERVING_UTILIZATION if step.standing else 1)
        )

    def add_share(self, step: Step) -> dict[ImageName, float]:
        """Return the shares with one more task of ``step``."""
        before = self.shares.get(step.image, 0.0)
        return {**self.shares, step.image: before + self.worker.find_share(step)}


class WaitingStep(msgspec.Struct, frozen=True):
    """A step whose tasks may start."""

    job: Job
    queue: Queue
    occurrence: int
    number: int

    @property
    def step(self) -> Step:
        """What was asked for."""
        return self.job.get_step(self.number)

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.job.occurrences[self.occurrence][self.number].tasks


def find_task_step(state: SchedulingState, name: TaskName) -> WaitingStep | None:
    """Return the step of a task, if its job and its queue are known."""
    found = state.find_task(name)
    if found is None:
        return None
    job, occurrence, number, _ = found
    queue = state.find_queue(job.queue)
    return None if queue is None else WaitingStep(job, queue, occurrence, number)


def has_spare_cores(step: Step, headroom: WorkerHeadroom) -> bool:
    """Say whether a task of spare cores would get on at a worker."""
    return headroom.spare_millicores >= step.demand.millicores * MIN_SPARE_CORE_FRACTION


def admits(
    step: Step, headroom: WorkerHeadroom, interference: InterferenceModel
) -> bool:
    """Say whether a task harms nobody on a worker, and has the cores to work."""
    if not step.uses_spare_cores:
        return True
    if not has_spare_cores(step, headroom):
        return False
    share = headroom.worker.find_share(step)
    return interference.admits(
        headroom.exposures, step.image, share, headroom.add_share(step)
    )


def is_feasible(waiting: WaitingStep, headroom: WorkerHeadroom) -> bool:
    """Say whether a worker has the label and the room for a task of a step."""
    step = waiting.step
    worker = headroom.worker
    if (
        worker.service != waiting.queue.service
        or headroom.task_count >= headroom.task_limit
    ):
        return False
    if step.required_label and step.required_label not in worker.labels:
        return False
    if step.max_per_worker:
        live = count_live(waiting.tasks).get(worker.worker, 0)
        if live >= step.max_per_worker:
            return False
    return step.reserved.fits(headroom.free)


def measure_headroom(
    state: SchedulingState, is_usable: Callable[[Worker], bool]
) -> dict[WorkerId, WorkerHeadroom]:
    """Return the room of each worker that may take work."""
    headrooms: dict[WorkerId, WorkerHeadroom] = {}
    for worker in state.workers.values():
        if worker.draining or not is_usable(worker):
            continue
        headroom = WorkerHeadroom(worker, worker.capacity, worker.capacity.millicores)
        for task in worker.runs:
            step = state.find_step(task)
            if step is not None:
                headroom.add_task(step)
        headrooms[worker.worker] = headroom
    return headrooms


def measure_utilization(headrooms: list[WorkerHeadroom]) -> float:
    """Return the share of the workers' cores that is reserved."""
    capacity = sum(headroom.worker.capacity.millicores for headroom in headrooms)
    free = sum(headroom.free.millicores for headroom in headrooms)
    return 1 - free / max(capacity, 1)


def count_live(tasks: list[Task]) -> dict[WorkerId, int]:
    """Return how many of the tasks run on each worker."""
    counts: dict[WorkerId, int] = {}
    for task in tasks:
        for worker in task.live.values():
            counts[worker] = counts.get(worker, 0) + 1
    return counts
