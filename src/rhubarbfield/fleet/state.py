"""The state that the whole fleet shares through its own replicated log."""

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

BEGINNING = datetime.fromtimestamp(0, UTC)
UNSET_VALUE = "default"
OPEN_JOB_STATES = frozenset({JobState.QUEUED, JobState.RUNNING})


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a job was created to be.

    Attributes
    ----------
    kind
        What the job promises.
    name
        The operator's name for it.
    tenant
        Who is charged.
    tasks
        How many tasks it has.
    cores, memory_mb, accelerators
        Declared size of one task.
    gang
        Whether all tasks start together or none does.
    priority
        Order against other work.
    task_kind
        Kind of work, for learning sizes and harm.
    service
        The service that its tasks serve, if they do.
    domain
        Failure domain it has to run in, if one was stated.
    runtime
        Declared run time of a task, if one was stated.
    payload
        What is handed to the worker as it is.
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
        Unique for ever: the number of the command that created it, and its name.
    request
        What it was created to be.
    created_by
        The operator.
    created_at, finished_at
        Times of the commands, in UTC.
    state
        Its life as far as the fleet's log knows.
    domain
        The failure domain that has it now, if any.
    epoch
        Counts delegations; only the domain with the current one may act.
    cancelling
        Whether its domain has been told to end it.
    reason
        Why it is in its state, for a person.
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
        """Whether it may still run."""
        return self.state in OPEN_JOB_STATES


class CommandRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A command that was decided, and its answer.

    Attributes
    ----------
    operator, number
        Who sent it, under which number.
    text
        The start of what was typed.
    digest
        SHA-256 of the whole text, in hexadecimal digits.
    decided_at
        Wall time of the leader that decided it.
    accepted
        Whether it had its effect.
    answer
        What was answered, for a person.
    jobs
        The jobs it created or cancelled.
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
    """All commands of the retention window, in the order of their decision.

    Attributes
    ----------
    records
        By number, as text.
    highest_number
        The highest number that was ever taken.
    forgotten_number
        The highest number whose record was dropped; no number up to it can
        be taken anew, so that nothing forgotten runs twice.
    """

    records: dict[str, CommandRecord] = msgspec.field(default_factory=dict)
    highest_number: CommandNumber = CommandNumber(0)
    forgotten_number: CommandNumber = CommandNumber(0)


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of what operators configured; versions only grow.

    Attributes
    ----------
    version
        0 before the first change.
    values
        Every key that is set, with its value in force.
    changed_by, changed_at
        Who made this version, and when.
    """

    version: ConfigurationVersion = ConfigurationVersion(0)
    values: dict[str, Value] = msgspec.field(default_factory=dict)
    changed_by: OperatorName = OperatorName("")
    changed_at: datetime = BEGINNING


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one tenant's running tasks together; None is no limit."""

    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


class Mark(msgspec.Struct, frozen=True, kw_only=True):
    """Something an operator set and another may lift.

    Attributes
    ----------
    operator, number
        Whose command, and which.
    at
        When.
    """

    operator: OperatorName
    number: CommandNumber
    at: datetime


class FleetState(msgspec.Struct, kw_only=True):
    """Everything in the fleet's log.

    Attributes
    ----------
    table
        Operators' commands.
    configuration
        The version in force.
    jobs
        By id, in order of creation.
    jobs_swept_at
        When ended jobs were last looked for, to be forgotten.
    drains
        By kind and name of what is drained, such as ``worker:w1``.
    quarantined_workers
        Workers that operators have quarantined.
    quotas
        By tenant.
    lost_domains
        Failure domains that operators have declared lost.
    """

    table: CommandTable = msgspec.field(default_factory=CommandTable)
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    jobs: dict[str, FleetJob] = msgspec.field(default_factory=dict)
    jobs_swept_at: datetime = BEGINNING
    drains: dict[str, Mark] = msgspec.field(default_factory=dict)
    quarantined_workers: dict[str, Mark] = msgspec.field(default_factory=dict)
    quotas: dict[str, Quota] = msgspec.field(default_factory=dict)
    lost_domains: dict[str, Mark] = msgspec.field(default_factory=dict)

    def is_drained(self, kind: str, name: str) -> bool:
        """Return whether operators drained the thing of that kind and name."""
        return f"{kind}:{name}" in self.drains
