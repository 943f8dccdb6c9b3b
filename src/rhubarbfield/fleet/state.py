"""State that the whole fleet shares through a replicated log."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import msgspec

from rhubarbfield.language import Value
from rhubarbfield.types import (
    CommandNumber,
    ConfigurationVersion,
    Epoch,
    FailureDomain,
    JobId,
    JobState,
    OperatorName,
    Priority,
    ServiceName,
    Tenant,
    WorkKind,
)

UNIX_EPOCH = datetime.fromtimestamp(0, UTC)
UNSET_VALUE = "default"
OPEN_JOB_STATES = frozenset({JobState.QUEUED, JobState.RUNNING})


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Description of a job, as created by an operator.

    Attributes
    ----------
    kind
        Kind of the job, such as a service or batch work.
    name
        Name chosen by the operator.
    tenant
        Tenant that the job is charged to.
    tasks
        Number of tasks.
    cores, memory_mb, accelerators
        Declared size of one task.
    gang
        Whether all tasks start together or none does.
    priority
        Priority relative to other work.
    task_kind
        Kind of task, by which sizes and harm are learned.
    service
        Service that its tasks serve, if any.
    domain
        Failure domain it has to run in, if one was stated.
    runtime
        Declared run time of a task, if one was stated.
    payload
        Opaque text that is passed to the worker.
    """

    kind: WorkKind
    name: str
    tenant: Tenant
    tasks: int
    cores: float
    memory_mb: int
    accelerators: int
    gang: bool
    priority: Priority
    task_kind: str
    service: ServiceName | None
    domain: FailureDomain | None
    runtime: timedelta | None
    payload: str


class FleetJob(msgspec.Struct, kw_only=True):
    """A job and the failure domain it is delegated to.

    Attributes
    ----------
    id
        The number of the command that created it and its name; never reused.
    request
        Its description.
    created_by
        The operator who created it.
    created_at, finished_at
        Times of the commands that created and ended it, in UTC.
    state
        Its state according to the fleet's log.
    domain
        The failure domain that holds it, if any.
    epoch
        Number of delegations; only the domain with the current epoch may act.
    cancelling
        Whether an operator has cancelled it; a domain that holds it has to end it.
    reason
        Reason for its state, as shown to operators.
    """

    id: JobId
    request: JobRequest
    created_by: OperatorName
    created_at: datetime
    finished_at: datetime | None = None
    state: JobState = JobState.QUEUED
    domain: FailureDomain | None = None
    epoch: Epoch = Epoch(0)
    cancelling: bool = False
    reason: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended."""
        return self.state in OPEN_JOB_STATES


class CommandRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A decided command and its answer.

    Attributes
    ----------
    operator, number
        The operator who sent it, and its number.
    text
        The start of the text as typed.
    digest
        SHA-256 of the whole text, in hexadecimal digits.
    decided_at
        Wall time of the leader that decided it.
    accepted
        Whether it took effect.
    answer
        The answer to the operator.
    jobs
        The jobs it created or cancelled, at most a hundred.
    """

    operator: OperatorName
    number: CommandNumber
    text: str
    digest: str
    decided_at: datetime
    accepted: bool
    answer: str
    jobs: tuple[JobId, ...] = ()


class CommandTable(msgspec.Struct, kw_only=True):
    """All commands within the retention, in the order of their decision.

    Attributes
    ----------
    records
        Records by number, as text.
    highest_number
        The highest number that was ever taken.
    forgotten_number
        The highest number whose record was dropped. Numbers up to it are
        refused, so that no dropped command runs twice.
    """

    records: dict[str, CommandRecord] = msgspec.field(default_factory=dict)
    highest_number: CommandNumber = CommandNumber(0)
    forgotten_number: CommandNumber = CommandNumber(0)


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration that operators set; versions only grow.

    Attributes
    ----------
    version
        Number of the version; 0 before the first change.
    values
        Value of every key that is set.
    changed_by, changed_at
        The operator who made this version, and the time.
    """

    version: ConfigurationVersion = ConfigurationVersion(0)
    values: dict[str, Value] = msgspec.field(default_factory=dict)
    changed_by: OperatorName = OperatorName("")
    changed_at: datetime = UNIX_EPOCH


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the sum of one tenant's running tasks; None is no limit."""

    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


class CommandOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's command that caused a change.

    Attributes
    ----------
    operator, number
        The operator and the number of the command.
    at
        Time of the command.
    """

    operator: OperatorName
    number: CommandNumber
    at: datetime


class FleetState(msgspec.Struct, kw_only=True):
    """State of the fleet's section of its log.

    Attributes
    ----------
    table
        Operators' commands.
    configuration
        The latest accepted version.
    jobs
        Jobs by id, in order of creation.
    jobs_swept_at
        Time of the last search for ended jobs to drop.
    drains
        Origin of each drain, by kind and name of the target, such as
        ``worker:w1``.
    quarantined_workers
        Origin of the quarantine of each worker that operators quarantined.
    quotas
        Quotas by tenant.
    lost_domains
        Origin of the declaration of each failure domain declared lost.
    """

    table: CommandTable = msgspec.field(default_factory=CommandTable)
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    jobs: dict[str, FleetJob] = msgspec.field(default_factory=dict)
    jobs_swept_at: datetime = UNIX_EPOCH
    drains: dict[str, CommandOrigin] = msgspec.field(default_factory=dict)
    quarantined_workers: dict[str, CommandOrigin] = msgspec.field(default_factory=dict)
    quotas: dict[str, Quota] = msgspec.field(default_factory=dict)
    lost_domains: dict[str, CommandOrigin] = msgspec.field(default_factory=dict)

    def is_drained(self, kind: str, name: str) -> bool:
        """Return whether operators drained the target of this kind and name."""
        return f"{kind}:{name}" in self.drains
