"""The replicated record of workers, jobs, tasks and their attempts."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from enum import StrEnum
from typing import NewType

import msgspec

from rhubarbfield.placement.decision import Decision
from rhubarbfield.placement.resources import Resources
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    FailureDomain,
    Incarnation,
    JobId,
    JobState,
    Priority,
    RackName,
    ServiceName,
    TaskId,
    Tenant,
    WorkerId,
    WorkKind,
)

BatchKind = NewType("BatchKind", str)
EstimateKey = NewType("EstimateKey", str)

HISTORY_LIMIT = 8
MAX_SIZES = 5_000
MAX_HARM = 10_000
DEFAULT_MAX_FAILURES = 3
BEGINNING = datetime(1970, 1, 1, tzinfo=UTC)


class QuarantineState(StrEnum):
    """Whether a worker is trusted with work."""

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"


class TaskState(StrEnum):
    """Life of a task over all its attempts."""

    PENDING = "pending"
    LIVE = "live"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What a user asks for.

    Attributes
    ----------
    job, tenant
        Who it is and whose it is.
    kind
        What the job promises.
    priority
        Urgent work starts first and may evict other work.
    tasks
        Number of tasks, all alike.
    gang
        Whether the tasks start together or not at all.
    cores, memory_mb, accelerators
        Declared size of one task.
    service
        The service that the tasks serve, if any.
    batch_kind
        Label of batch work that behaves alike; harm and sizes are learned by it.
    latency_goal
        Tail latency that the tasks of a service have to meet.
    max_failures
        Distinct trusted workers on which a task may fail before its job fails.
    program
        What the worker runs; opaque to placing.
    """

    job: JobId
    tenant: Tenant
    kind: WorkKind = WorkKind.BATCH
    priority: Priority = Priority.NORMAL
    tasks: int = 1
    gang: bool = False
    cores: float = 1.0
    memory_mb: int = 1024
    accelerators: int = 0
    service: ServiceName | None = None
    batch_kind: BatchKind = BatchKind("default")
    latency_goal: timedelta | None = None
    max_failures: int = DEFAULT_MAX_FAILURES
    program: str = ""

    @property
    def declared(self) -> Resources:
        """The declared size of one task."""
        return Resources.of(self.cores, self.memory_mb, self.accelerators)

    @property
    def estimate_key(self) -> EstimateKey:
        """The key under which sizes are learned.

        Declarations are kept apart by powers of two: tasks of one kind that are
        declared alike are taken to be alike.
        """
        label = self.service or self.batch_kind
        memory = self.memory_mb.bit_length()
        cores = self.declared.millicores.bit_length()
        return EstimateKey(f"{self.tenant}/{label}/{cores}/{memory}")

    @property
    def endless(self) -> bool:
        """Whether a task that ends is started again, however it ended."""
        return self.kind is not WorkKind.BATCH


class Attempt(msgspec.Struct):
    """One attempt to run a task on one worker.

    Attributes
    ----------
    epoch
        The worker's epoch at the start; a word of another epoch is not heard.
    size
        What the worker has committed to it, from the start until proof of its end.
    resumed_from
        The checkpoint it started from.
    checkpoint_at
        When its last checkpoint was reported, or its start.
    end_reason
        Why it ended or is being ended, for a person.
    """

    attempt: AttemptId
    worker: WorkerId
    epoch: Epoch
    state: AttemptState
    size: Resources
    started_at: datetime
    checkpoint_at: datetime
    resumed_from: CheckpointId | None = None
    ended_at: datetime | None = None
    end_reason: str = ""
    decision: Decision = msgspec.field(default_factory=Decision)


class Task(msgspec.Struct):
    """One task of a job.

    Attributes
    ----------
    live
        The attempt whose end is not proved, if there is one.
    past
        The latest ended attempts, oldest first, at most ``HISTORY_LIMIT``.
    checkpoint
        Where the next attempt resumes.
    failed_on
        Distinct trusted workers on which it failed.
    queued_at
        Since when it waits, or waited before its live attempt.
    not_before
        Earliest time of the next attempt.
    """

    task: TaskId
    job: JobId
    queued_at: datetime
    state: TaskState = TaskState.PENDING
    live: Attempt | None = None
    past: list[Attempt] = msgspec.field(default_factory=list)
    attempts_made: int = 0
    checkpoint: CheckpointId | None = None
    failed_on: list[WorkerId] = msgspec.field(default_factory=list)
    failures: int = 0
    not_before: datetime = BEGINNING


class Job(msgspec.Struct):
    """A job and the counts of its tasks.

    Attributes
    ----------
    pending
        Tasks that wait, in order; the values carry nothing.
    live
        Tasks with an attempt whose end is not proved; the values carry nothing.
    proven_on
        A few distinct workers on which one of its tasks succeeded.
    absolved
        Failures on workers that succeeded with something afterwards; they speak
        against the job.
    """

    spec: JobSpec
    accepted_at: datetime
    state: JobState = JobState.QUEUED
    pending: dict[TaskId, bool] = msgspec.field(default_factory=dict)
    live: dict[TaskId, bool] = msgspec.field(default_factory=dict)
    succeeded: int = 0
    proven_on: list[WorkerId] = msgspec.field(default_factory=list)
    attributed_failures: int = msgspec.field(default=0, name="absolved")
    finished_at: datetime | None = None
    reason: str = ""


class Worker(msgspec.Struct):
    """An instance that runs tasks.

    Attributes
    ----------
    capacity
        What commitments may reach. Stays above ``announced`` after the worker
        shrank until enough attempts have ended.
    announced
        What the worker said last that it has.
    epoch
        Grows each time the worker joins.
    present
        False from proof that its lease lapsed until it joins again.
    live
        Attempts whose end is not proved, with their tasks.
    committed
        Sum of the sizes of ``live``.
    failed_jobs
        Failures by job since the last success, for judging the worker.
    """

    worker: WorkerId
    capacity: Resources
    announced: Resources
    rack: RackName
    domain: FailureDomain
    epoch: Epoch
    incarnation: Incarnation
    present: bool = True
    draining: bool = False
    quarantine: QuarantineState = QuarantineState.TRUSTED
    quarantined_at: datetime = BEGINNING
    probe_not_before: datetime = BEGINNING
    live: dict[AttemptId, TaskId] = msgspec.field(default_factory=dict)
    committed: Resources = msgspec.field(default_factory=Resources)
    failed_jobs: dict[JobId, int] = msgspec.field(default_factory=dict)


class Quota(msgspec.Struct, frozen=True):
    """What a tenant may hold at once.

    Attributes
    ----------
    limit
        Most that its live attempts may commit; ``None`` for no limit.
    weight
        Its share relative to other tenants.
    """

    limit: Resources | None = None
    weight: float = 1.0


class Account(msgspec.Struct):
    """A tenant's quota and what it holds."""

    quota: Quota = msgspec.field(default_factory=Quota)
    used: Resources = msgspec.field(default_factory=Resources)


class SizeEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What tasks of one tenant and kind were seen to use.

    Attributes
    ----------
    millicores, memory_mb
        High quantiles of use.
    samples
        Tasks' reports behind them.
    """

    key: EstimateKey
    millicores: float
    memory_mb: float
    samples: int


class HarmEstimate(msgspec.Struct, frozen=True, array_like=True):
    """How much one kind of batch work slows one service in one load band.

    Attributes
    ----------
    rate
        Growth of the logarithm of tail latency when the kind uses the whole worker.
    samples
        Latency samples behind it.
    """

    service: ServiceName
    batch_kind: BatchKind
    band: int
    rate: float
    samples: int


class WorkState(msgspec.Struct):
    """Everything about work that a replicated log keeps.

    Attributes
    ----------
    sizes, harm
        What was learned, the latest last; of very many the oldest are dropped.
    waiting
        Jobs with pending tasks, in order of acceptance; the values carry nothing.
    """

    workers: dict[WorkerId, Worker] = msgspec.field(default_factory=dict)
    jobs: dict[JobId, Job] = msgspec.field(default_factory=dict)
    tasks: dict[TaskId, Task] = msgspec.field(default_factory=dict)
    accounts: dict[Tenant, Account] = msgspec.field(default_factory=dict)
    waiting: dict[JobId, bool] = msgspec.field(default_factory=dict)
    sizes: dict[EstimateKey, SizeEstimate] = msgspec.field(default_factory=dict)
    harm: dict[str, HarmEstimate] = msgspec.field(default_factory=dict)
