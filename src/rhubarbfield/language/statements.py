"""Typed statements of the operators' language."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec

from rhubarbfield.types import (
    FailureDomain,
    JobId,
    Priority,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)


class Subject(StrEnum):
    """Kind of objects that ``show`` lists."""

    SERVICES = "services"
    SERVERS = "servers"
    WORKERS = "workers"
    JOBS = "jobs"
    TASKS = "tasks"
    INSTANCES = "instances"
    CONFIGURATION = "configuration"
    COMMANDS = "commands"
    QUOTAS = "quotas"
    TENANTS = "tenants"
    DRAINS = "drains"
    DOMAINS = "domains"


class ExplainedKind(StrEnum):
    """Kind of object that ``explain`` describes."""

    TASK = "task"
    JOB = "job"
    REQUEST = "request"


class Comparator(StrEnum):
    """Operator of a comparison; ``~`` means contains."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="
    CONTAINS = "~"


class TargetKind(StrEnum):
    """Kind of object that can be drained."""

    WORKER = "worker"
    SERVER = "server"
    INSTANCE = "instance"


Value = str | int | float | bool


class Statement(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all statements."""


class Query(Statement, frozen=True):
    """Base of the statements that only read."""


class CommandStatement(Statement, frozen=True):
    """Base of the statements that change the fleet."""


class Condition(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of the conditions of ``where``."""


class Comparison(Condition, frozen=True):
    """Comparison of a column with a value."""

    column: str
    comparator: Comparator
    value: Value


class AllOf(Condition, frozen=True):
    """Conjunction of conditions."""

    conditions: tuple[Condition, ...]


class AnyOf(Condition, frozen=True):
    """Disjunction of conditions."""

    conditions: tuple[Condition, ...]


class Negation(Condition, frozen=True):
    """Negated condition."""

    condition: Condition


class SortKey(msgspec.Struct, frozen=True):
    """Column to sort by."""

    column: str
    descending: bool = False


class Show(Query, frozen=True):
    """``show``: list objects as a table.

    Attributes
    ----------
    subject
        Kind of objects to list.
    where
        Condition for the rows to return; None for all rows.
    sort
        Columns to sort by, in order of precedence.
    limit
        Maximum number of rows; None for no limit.
    """

    subject: Subject
    where: Condition | None = None
    sort: tuple[SortKey, ...] = ()
    limit: int | None = None


class Explain(Query, frozen=True):
    """``explain``: give the reasons for the state of an object."""

    kind: ExplainedKind
    identifier: str


class CreateJob(CommandStatement, frozen=True):
    """``create``: submit a job, which is accepted as a whole or refused.

    Attributes
    ----------
    kind
        Kind of work.
    name
        Name given by the operator; the job's id contains it.
    tenant
        Tenant whose quota the job counts against.
    tasks
        Number of tasks.
    cores, memory_mb, accelerators
        Declared size of one task.
    gang
        Whether all tasks start together or none does.
    priority
        Start order relative to other jobs.
    task_kind
        Group of similar tasks, by which sizes and harm are learned; defaults to
        the name.
    service
        Service that the tasks serve; None for none.
    domain
        Failure domain that the job has to run in; None for any.
    runtime
        Declared run time of a task; None if not given.
    payload
        Data passed unchanged to the worker.
    """

    kind: WorkKind
    name: str
    tenant: Tenant
    tasks: int
    cores: float
    memory_mb: int
    accelerators: int = 0
    gang: bool = False
    priority: Priority = Priority.NORMAL
    task_kind: str = ""
    service: ServiceName | None = None
    domain: FailureDomain | None = None
    runtime: timedelta | None = None
    payload: str = ""


class CancelJobs(CommandStatement, frozen=True):
    """``cancel job``: cancel the named jobs."""

    jobs: tuple[JobId, ...]


class CancelTenantJobs(CommandStatement, frozen=True):
    """``cancel jobs where tenant``: cancel all open jobs of a tenant."""

    tenant: Tenant


class Drain(CommandStatement, frozen=True):
    """``drain``: assign no new work to the target; let running work finish."""

    target: TargetKind
    name: str


class Undrain(CommandStatement, frozen=True):
    """``undrain``: assign work to the target again."""

    target: TargetKind
    name: str


class QuarantineWorker(CommandStatement, frozen=True):
    """``quarantine worker``: start no tasks on it until it is released."""

    worker: WorkerId


class ReleaseWorker(CommandStatement, frozen=True):
    """``release worker``: end its quarantine."""

    worker: WorkerId


class SetQuota(CommandStatement, frozen=True):
    """``set quota``: set limits of a tenant.

    Attributes
    ----------
    tenant
        Tenant that the limits apply to.
    cores, memory_mb, accelerators, tasks
        Limits on the total of its running tasks; None leaves a limit unchanged.
    """

    tenant: Tenant
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


class RemoveQuota(CommandStatement, frozen=True):
    """``remove quota``: remove all limits of a tenant."""

    tenant: Tenant


class Assignment(msgspec.Struct, frozen=True):
    """New value of a configuration key.

    Attributes
    ----------
    key
        Dotted path of the key in the settings file.
    value
        New value; ``default`` restores the value of the settings file.
    """

    key: str
    value: Value


class Configure(CommandStatement, frozen=True):
    """``configure``: create a new version of the configuration."""

    assignments: tuple[Assignment, ...]


class DeclareDomainLost(CommandStatement, frozen=True):
    """``declare domain … lost``: allow other failure domains to start its jobs."""

    domain: FailureDomain


class DeclareDomainRestored(CommandStatement, frozen=True):
    """``declare domain … restored``: allow it to get jobs again."""

    domain: FailureDomain


AnyCommandStatement = (
    CreateJob
    | CancelJobs
    | CancelTenantJobs
    | Drain
    | Undrain
    | QuarantineWorker
    | ReleaseWorker
    | SetQuota
    | RemoveQuota
    | Configure
    | DeclareDomainLost
    | DeclareDomainRestored
)
