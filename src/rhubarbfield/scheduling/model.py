"""What callers and operators ask for: jobs of steps, queues, services.

These structs are part of replicated commands and snapshots; new fields need
defaults.
"""

from __future__ import annotations

from typing import NewType

import msgspec

from rhubarbfield.types import JobId, RackName, ServiceName

QueueName = NewType("QueueName", str)
MachineName = NewType("MachineName", str)
ImageName = NewType("ImageName", str)
Label = NewType("Label", str)
TaskName = NewType("TaskName", str)
RunNumber = NewType("RunNumber", int)
CheckpointToken = NewType("CheckpointToken", str)

NO_CHECKPOINT = CheckpointToken("")


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Resources of one task, or of a worker.

    Attributes
    ----------
    millicores, memory_mb, accelerators
        Processor, memory and accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, headroom: Demand) -> bool:
        """Say whether ``room`` holds this demand."""
        return (
            self.millicores <= headroom.millicores
            and self.memory_mb <= headroom.memory_mb
            and self.accelerators <= headroom.accelerators
        )

    def plus(self, other: Demand) -> Demand:
        """Return the sum of both."""
        return Demand(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Demand) -> Demand:
        """Return what is left of this after ``other``."""
        return Demand(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of a job that are alike.

    Attributes
    ----------
    tasks
        How many tasks the step has.
    demand
        What each task needs.
    estimate_ms
        The caller's guess of a task's duration in ms; often far off.
    after
        Earlier steps, counted from 0, whose tasks must all be done first.
    checkpoints
        Whether tasks save progress and may be resumed.
    gang
        Whether the tasks work only while all of them run.
    same_rack
        Whether the gang is slowed when it spans racks.
    required_label
        A label that the worker must have, or "".
    preferred_rack
        The rack that holds the data, or "".
    max_per_worker
        Most tasks of the step that may share a worker; 0 means no limit.
    copies_allowed
        Whether a task may run twice, the first copy to finish counting.
    standing
        Whether tasks run until the job is cancelled and restart when they end.
    image
        What the tasks run; tasks of one image behave alike.
    tail_goal_ms
        Bound of the tail latency that the tasks' own users see; 0 for none.
    uses_spare_cores
        Whether the processor demand is served from what others leave unused.
    disruption_budget
        How many standing tasks may be away at once by the scheduler's doing;
        None where callers gave no budget.
    """

    tasks: int = 1
    demand: Demand = Demand()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: Label = Label("")
    preferred_rack: RackName = RackName("")
    max_per_worker: int = 0
    copies_allowed: bool = False
    standing: bool = False
    image: ImageName = ImageName("")
    tail_goal_ms: int = 0
    uses_spare_cores: bool = False
    disruption_budget: int | None = None

    @property
    def reserved(self) -> Demand:
        """What a task takes of a worker's capacity."""
        if not self.uses_spare_cores:
            return self.demand
        return Demand(0, self.demand.memory_mb, self.demand.accelerators)


class Recurrence(msgspec.Struct, frozen=True):
    """When the steps of a job are repeated.

    Attributes
    ----------
    times
        How often the steps run.
    first_ms
        When the first occurrence is due, in ms since 1970.
    interval_ms
        Time between two occurrences.
    """

    times: int
    first_ms: int
    interval_ms: int


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True):
    """A job as its caller hands it in.

    Attributes
    ----------
    payload
        What workers are told to run; opaque here.
    steps
        At least one.
    recurrence
        None for a job that runs once, now.
    """

    payload: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue of jobs and the goals that its callers were promised.

    Attributes
    ----------
    name
        Its name.
    host, prefix
        Requests for this host whose path begins with the prefix belong to it.
    service
        The service whose workers run its tasks.
    priority
        0 goes first.
    max_attempts
        Failed runs after which a task, and so its job, has failed.
    slowdown_goal
        A job should take at most this multiple of its longest chain of work.
    latency_goal_ms
        Added to that, in ms.
    timeout_ms
        Longest time for a call.
    advised
        Whether an adviser decides which workers may run a step.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slowdown_goal: float = 1.0
    latency_goal_ms: int = 0
    timeout_ms: int = 0
    advised: bool = False


class WorkerService(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of workers.

    Attributes
    ----------
    name
        Its name.
    workers_guard_capacity
        Whether workers reject what does not fit.
    standby
        Whether its machines are off.
    """

    name: ServiceName
    workers_guard_capacity: bool = False
    standby: bool = False


class QueueConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration, as operators send it.

    Attributes
    ----------
    version
        The highest version is in force.
    queues, services
        What it declares.
    document
        The text as it was sent, to be read back.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[WorkerService, ...]
    document: bytes


def name_task(job: JobId, occurrence: int, step: int, index: int) -> TaskName:
    """Return the name of a task, unique in the deployment."""
    return TaskName(f"{job}.{occurrence}.{step}.{index}")
