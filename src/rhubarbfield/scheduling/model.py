"""Model of what callers and operators submit: jobs, steps, queues, services.

These structs are part of replicated commands and snapshots; new fields need
defaults.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NewType
from urllib.parse import quote, unquote

import msgspec

from rhubarbfield.types import JobId, RackName, ServiceName

QueueName = NewType("QueueName", str)
MachineName = NewType("MachineName", str)
ImageName = NewType("ImageName", str)
Label = NewType("Label", str)
TaskName = NewType("TaskName", str)
StepName = NewType("StepName", str)  # the name of a task without its index
StateVersion = NewType("StateVersion", int)
RunNumber = NewType("RunNumber", int)
CheckpointToken = NewType("CheckpointToken", str)

NO_CHECKPOINT = CheckpointToken("")
MAX_JOB_ID_LENGTH = 64
# A success that is listed late completes its task.
LATE_SUCCESS_VERSION = StateVersion(1)
STATE_VERSION = LATE_SUCCESS_VERSION  # the latest rules that this build knows


class JobPhase(StrEnum):
    """Phase of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Resources of one task, or of a worker.

    Attributes
    ----------
    millicores, memory_mb, accelerators
        Processor capacity, memory and number of accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, headroom: Demand) -> bool:
        """Return whether ``headroom`` covers this demand."""
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
        """Return the difference, this minus ``other``."""
        return Demand(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Demand:
        """Return the demand of ``count`` tasks."""
        return Demand(
            self.millicores * count, self.memory_mb * count, self.accelerators * count
        )


def find_largest(demands: Iterable[Demand]) -> Demand:
    """Return the largest of each resource among some demands."""
    largest = Demand()
    for each in demands:
        largest = Demand(
            max(largest.millicores, each.millicores),
            max(largest.memory_mb, each.memory_mb),
            max(largest.accelerators, each.accelerators),
        )
    return largest


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step of a job: a number of identical tasks.

    Attributes
    ----------
    tasks
        Number of tasks of the step.
    demand
        Resources that each task needs.
    estimate_ms
        The caller's estimate of a task's duration in ms; often inaccurate.
    after
        Indexes, from 0, of earlier steps whose tasks must all be done first.
    checkpoints
        Whether tasks save progress and can be resumed.
    gang
        Whether tasks make progress only while all of them run.
    same_rack
        Whether the gang runs more slowly when it spans racks.
    required_label
        Label that the worker must have, or "".
    preferred_rack
        Rack that holds the data, or "".
    max_per_worker
        Limit of tasks of the step per worker; 0 means no limit.
    copies_allowed
        Whether a task may run as two copies, of which the first to finish counts.
    standing
        Whether tasks run until the job is cancelled, and restart when they end.
    image
        Program image of the tasks; tasks of one image behave alike.
    tail_goal_ms
        Upper bound in ms of the tail latency that the tasks' users see; 0 for
        none.
    uses_spare_cores
        Whether the tasks reserve no cores, and use those that others leave idle.
    disruption_budget
        Number of standing tasks that the scheduler may disrupt at a time; None if
        the caller gave no budget.
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
        """Resources that a task reserves on its worker."""
        if not self.uses_spare_cores:
            return self.demand
        return Demand(0, self.demand.memory_mb, self.demand.accelerators)


class Recurrence(msgspec.Struct, frozen=True):
    """Schedule on which the steps of a job are repeated.

    Attributes
    ----------
    times
        Number of occurrences.
    first_ms
        Time at which the first occurrence is due, in ms since 1970.
    interval_ms
        Time between two occurrences, in ms.
    """

    times: int
    first_ms: int
    interval_ms: int


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True):
    """A job as its caller submits it.

    Attributes
    ----------
    payload
        Opaque payload that is passed on to workers.
    steps
        Steps of the job; at least one.
    recurrence
        Schedule of a recurring job; None for a job that runs once, immediately.
    """

    payload: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue of jobs, and the goals for them.

    Attributes
    ----------
    name
        Identity of the queue, by which jobs know it (:func:`identify_queue`); what
        operators call it until :func:`identify_queues`.
    host, prefix
        The queue takes requests for this host whose path starts with the prefix. No
        two queues of a configuration have both in common.
    service
        Service whose workers run the tasks.
    priority
        Priority of the queue; 0 is the highest.
    max_attempts
        Number of failed runs after which a task, and so its job, has failed.
    slowdown_goal
        Goal of a job's duration, as a multiple of its critical path.
    latency_goal_ms
        Time that is added to that goal, in ms.
    timeout_ms
        Longest duration of a call, in ms.
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
        Name of the service.
    workers_guard_capacity
        Whether workers reject tasks that exceed their capacity.
    standby
        Whether the machines of the service are off.
    """

    name: ServiceName
    workers_guard_capacity: bool = False
    standby: bool = False


class QueueConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration, as operators send it.

    Attributes
    ----------
    version
        Version number; the highest accepted version is in force.
    queues, services
        Declared queues and services.
    document
        The document as it was sent, for operators to read back.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[WorkerService, ...]
    document: bytes


def identify_queue(host: str, prefix: str) -> QueueName:
    """Return the identity of the queue of a host and prefix.

    What operators call it is none: two queues may share that, and it may be given
    again.
    """
    return QueueName(f"{quote(host, safe='')} {prefix}")


def split_identity(name: QueueName) -> tuple[str, str]:
    """Return host and prefix of a queue from :func:`identify_queue`."""
    host, _, prefix = name.partition(" ")
    return unquote(host), prefix


def identify_queues(configuration: QueueConfiguration) -> QueueConfiguration:
    """Return a configuration whose queues have their identities as names."""
    queues = tuple(
        msgspec.structs.replace(queue, name=identify_queue(queue.host, queue.prefix))
        for queue in configuration.queues
    )
    return msgspec.structs.replace(configuration, queues=queues)


def name_task(job: JobId, occurrence: int, step: int, index: int) -> TaskName:
    """Return the name of a task, unique in the deployment."""
    return TaskName(f"{job}.{occurrence}.{step}.{index}")


def name_step(task: TaskName) -> StepName:
    """Return the name of the step, in its occurrence, that a task belongs to."""
    return StepName(task.rpartition(".")[0])
