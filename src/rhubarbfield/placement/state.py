"""The replicated state of workers, jobs, tasks and attempts."""

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

HISTORY_LIMIT = 8  # ended attempts per task
MAX_SIZES = 5_000  # stored estimates
MAX_HARM = 10_000  # stored estimates
DEFAULT_MAX_FAILURES = 3
UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class QuarantineState(StrEnum):
    """Whether a worker is in quarantine."""

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"


class TaskState(StrEnum):
    """State of a task over all its attempts."""

    PENDING = "pending"
    LIVE = "live"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of a job.

    Attributes
    ----------
    job, tenant
        Id of the job and the tenant that owns it.
    kind
        Whether the job is batch work, standing work or a service.
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
        Label of batch work that behaves alike; harm and sizes are learned per label.
    latency_goal
        Tail latency that the tasks of a service have to meet.
    max_failures
        Number of distinct reliable workers on which a task fails before its job
        fails.
    program
        What the worker runs; not interpreted by placement.
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
        """Declared size of one task."""
        return Resources.of(self.cores, self.memory_mb, self.accelerators)

    @property
    def estimate_key(self) -> EstimateKey:
        """Key under which task sizes are learned.

        Declared sizes are grouped by powers of two: tasks of one kind with similar
        declarations are assumed to be similar.
        """
        label = self.service or self.batch_kind
        memory = self.memory_mb.bit_length()
        cores = self.declared.millicores.bit_length()
        return EstimateKey(f"{self.tenant}/{label}/{cores}/{memory}")

    @property
    def endless(self) -> bool:
        """Whether a task is started again after it has ended for any reason."""
        return self.kind is not WorkKind.BATCH


class Attempt(msgspec.Struct):
    """One attempt to run a task on one worker.

    Attributes
    ----------
    epoch
        The worker's epoch at the start; reports of another epoch are ignored.
    size
        Resources committed to the attempt until its end is proved.
    resumed_from
        The checkpoint it started from.
    checkpoint_at
        When its last checkpoint was reported; initially its start.
    end_reason
        Human-readable reason why it ended or is being ended.
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
        The checkpoint from which the next attempt resumes.
    failed_on
        Distinct workers, not in quarantine at the time, on which it failed.
    losses
        Number of workers that were lost in a row with an attempt of it.
    queued_at
        When it was last queued.
    not_before
        Earliest start of the next attempt.
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
    losses: int = 0
    not_before: datetime = UNIX_EPOCH


class Job(msgspec.Struct):
    """A job and the counts of its tasks.

    Attributes
    ----------
    pending
        Tasks that wait, in order; the values are not used.
    live
        Tasks with an attempt whose end is not proved; the values are not used.
    proven_on
        A few distinct workers on which one of its tasks succeeded.
    attributed_failures
        Failures on workers that later succeeded with some task; these are
        attributed to the job. Stored as ``absolved``.
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
        Upper limit of commitments. After the worker has shrunk it stays above
        ``announced`` until enough attempts have ended.
    announced
        Capacity that the worker announced last.
    epoch
        Increases each time the worker joins.
    present
        False once it is proved that its lease lapsed, until it joins again.
    live
        Attempts whose end is not proved, with their tasks.
    committed
        Sum of the sizes of ``live``.
    failed_jobs
        Number of failures by job since the last success, used for quarantine.
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
    quarantined_at: datetime = UNIX_EPOCH
    probe_not_before: datetime = UNIX_EPOCH
    live: dict[AttemptId, TaskId] = msgspec.field(default_factory=dict)
    committed: Resources = msgspec.field(default_factory=Resources)
    failed_jobs: dict[JobId, int] = msgspec.field(default_factory=dict)


class Quota(msgspec.Struct, frozen=True):
    """Resources that a tenant may use at once.

    Attributes
    ----------
    limit
        Maximum commitment of its live attempts; ``None`` for no limit.
    weight
        Its share relative to other tenants.
    """

    limit: Resources | None = None
    weight: float = 1.0


class Account(msgspec.Struct):
    """A tenant's quota and the commitments of its live attempts."""

    quota: Quota = msgspec.field(default_factory=Quota)
    used: Resources = msgspec.field(default_factory=Resources)


class SizeEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Observed usage of tasks of one tenant and kind.

    Attributes
    ----------
    millicores, memory_mb
        High quantiles of usage.
    samples
        Number of reports on which the estimate is based.
    """

    key: EstimateKey
    millicores: float
    memory_mb: float
    samples: int


class HarmEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Harm of one kind of batch work to one service in one load band.

    Attributes
    ----------
    rate
        Growth of the logarithm of tail latency when the kind uses the whole worker.
    samples
        Number of latency samples on which the estimate is based.
    """

    service: ServiceName
    batch_kind: BatchKind
    band: int
    rate: float
    samples: int


class WorkState(msgspec.Struct):
    """The part of a replicated log's state that concerns work.

    Attributes
    ----------
    sizes, harm
        Learned estimates, the latest last; beyond ``MAX_SIZES`` and ``MAX_HARM``
        the oldest are dropped.
    waiting
        Jobs with pending tasks, in the order in which they were added; the values
        are not used.
    """

    workers: dict[WorkerId, Worker] = msgspec.field(default_factory=dict)
    jobs: dict[JobId, Job] = msgspec.field(default_factory=dict)
    tasks: dict[TaskId, Task] = msgspec.field(default_factory=dict)
    accounts: dict[Tenant, Account] = msgspec.field(default_factory=dict)
    waiting: dict[JobId, bool] = msgspec.field(default_factory=dict)
    sizes: dict[EstimateKey, SizeEstimate] = msgspec.field(default_factory=dict)
    harm: dict[str, HarmEstimate] = msgspec.field(default_factory=dict)
