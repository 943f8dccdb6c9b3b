"""What workers can take, and whom that would harm."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from rhubarbfield.scheduling.interference import Exposure, Interference
from rhubarbfield.scheduling.model import Demand, ImageName, Queue, Step, TaskName
from rhubarbfield.scheduling.state import Job, SchedulingState, Task, Worker
from rhubarbfield.types import WorkerId

MIN_SPARE_SHARE = 0.7  # with less of its cores a task lasts half as long again
SERVING_USE = 0.5  # of their reserved cores; batch beside them ran at full speed


class WorkerRoom(msgspec.Struct):
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
    serving: frozenset[ImageName] = frozenset()
    shares: dict[ImageName, float] = msgspec.field(default_factory=dict)
    filling: int = 0
    tasks: int = 0
    limit: int = 1_000_000
    failures: int = 0

    def take(self, step: Step) -> None:
        """Count a task of ``step`` on this worker."""
        self.free = self.free.minus(step.reserved)
        self.tasks += 1
        cores = step.demand.millicores
        if step.tail_goal_ms:
            self.serving |= {step.image}
        if step.uses_spare_cores:
            self.filling += 1
            self.shares = self.add_share(step)
        self.spare_millicores -= int(cores * (SERVING_USE if step.standing else 1))

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


def find_step_of(state: SchedulingState, name: TaskName) -> WaitingStep | None:
    """Return the step of a task, if its job and its queue are known."""
    found = state.find_task(name)
    if found is None:
        return None
    job, occurrence, number, _ = found
    queue = state.find_queue(job.queue)
    return None if queue is None else WaitingStep(job, queue, occurrence, number)


def has_spare_cores(step: Step, room: WorkerRoom) -> bool:
    """Say whether a task of spare cores would get on at a worker."""
    return room.spare_millicores >= step.demand.millicores * MIN_SPARE_SHARE


def admits(step: Step, room: WorkerRoom, interference: Interference) -> bool:
    """Say whether a task harms nobody on a worker, and has the cores to work."""
    if not step.uses_spare_cores:
        return True
    if not has_spare_cores(step, room):
        return False
    share = room.worker.find_share(step)
    return interference.admits(room.exposures, step.image, share, room.add_share(step))


def may_hold(waiting: WaitingStep, room: WorkerRoom) -> bool:
    """Say whether a worker has the label and the room for a task of a step."""
    step = waiting.step
    worker = room.worker
    if worker.service != waiting.queue.service or room.tasks >= room.limit:
        return False
    if step.required_label and step.required_label not in worker.labels:
        return False
    if step.max_per_worker:
        live = count_live(waiting.tasks).get(worker.worker, 0)
        if live >= step.max_per_worker:
            return False
    return step.reserved.fits(room.free)


def measure_rooms(
    state: SchedulingState, is_usable: Callable[[Worker], bool]
) -> dict[WorkerId, WorkerRoom]:
    """Return the room of each worker that may take work."""
    rooms: dict[WorkerId, WorkerRoom] = {}
    for worker in state.workers.values():
        if worker.draining or not is_usable(worker):
            continue
        room = WorkerRoom(worker, worker.capacity, worker.capacity.millicores)
        for task in worker.runs:
            step = state.find_step(task)
            if step is not None:
                room.take(step)
        rooms[worker.worker] = room
    return rooms


def measure_use(rooms: list[WorkerRoom]) -> float:
    """Return the share of the workers' cores that is reserved."""
    capacity = sum(room.worker.capacity.millicores for room in rooms)
    free = sum(room.free.millicores for room in rooms)
    return 1 - free / max(capacity, 1)


def count_live(tasks: list[Task]) -> dict[WorkerId, int]:
    """Return how many of the tasks run on each worker."""
    counts: dict[WorkerId, int] = {}
    for task in tasks:
        for worker in task.live.values():
            counts[worker] = counts.get(worker, 0) + 1
    return counts
