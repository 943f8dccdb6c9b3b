"""What operators can say, as typed statements."""

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
    """What ``show`` lists."""

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
    """What ``explain`` gives the reasons of."""

    TASK = "task"
    JOB = "job"
    REQUEST = "request"


class Comparator(StrEnum):
    """How a column is compared with a value; ``~`` means contains."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="
    CONTAINS = "~"


class TargetKind(StrEnum):
    """What can be drained."""

    WORKER = "worker"
    SERVER = "server"
    INSTANCE = "instance"


Value = str | int | float | bool


class Statement(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all statements."""


class Query(Statement, frozen=True):
    """Base of the statements that change nothing."""


class CommandStatement(Statement, frozen=True):
    """Base of the statements that change the fleet."""


class Condition(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of what can follow ``where``."""


class Comparison(Condition, frozen=True):
    """A column against a value."""

    column: str
    comparator: Comparator
    value: Value


class AllOf(Condition, frozen=True):
    """Conditions joined by ``and``."""

    conditions: tuple[Condition, ...]


class AnyOf(Condition, frozen=True):
    """Conditions joined by ``or``."""

    conditions: tuple[Condition, ...]


class Negation(Condition, frozen=True):
    """A condition after ``not``."""

    condition: Condition


class SortKey(msgspec.Struct, frozen=True):
    """A column to sort by."""

    column: str
    descending: bool = False


class Show(Query, frozen=True):
    """``show``: a table of what there is.

    Attributes
    ----------
    subject
        What to list.
    where
        Which rows to keep; None keeps all.
    sort
        Columns to sort by, the first weighing most.
    limit
        The greatest number of rows; None for no limit.
    """

    subject: Subject
    where: Condition | None = None
    sort: tuple[SortKey, ...] = ()
    limit: int | None = None


class Explain(Query, frozen=True):
    """``explain``: why something is as it is."""

    kind: ExplainedKind
    identifier: str


class CreateJob(CommandStatement, frozen=True):
    """``create``: a job to be accepted, whole, or refused.

    Attributes
    ----------
    kind
        What the job promises.
    name
        The operator's name for it; the id is made from it.
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
        Kind of work, for learning sizes and harm; the name if not stated.
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
    accelerators: int = 0
    gang: bool = False
    priority: Priority = Priority.NORMAL
    task_kind: str = ""
    service: ServiceName | None = None
    domain: FailureDomain | None = None
    runtime: timedelta | None = None
    payload: str = ""


class CancelJobs(CommandStatement, frozen=True):
    """``cancel job``: the named jobs."""

    jobs: tuple[JobId, ...]


class CancelTenantJobs(CommandStatement, frozen=True):
    """``cancel jobs where tenant``: all open jobs of one tenant."""

    tenant: Tenant


class Drain(CommandStatement, frozen=True):
    """``drain``: give it nothing new and let its work end."""

    target: TargetKind
    name: str


class Undrain(CommandStatement, frozen=True):
    """``undrain``: take it back into use."""

    target: TargetKind
    name: str


class QuarantineWorker(CommandStatement, frozen=True):
    """``quarantine worker``: start nothing on it until it is released."""

    worker: WorkerId


class ReleaseWorker(CommandStatement, frozen=True):
    """``release worker``: end a quarantine."""

    worker: WorkerId


class SetQuota(CommandStatement, frozen=True):
    """``set quota``: limits of one tenant; what is not stated stays.

    Attributes
    ----------
    tenant
        Whose limits.
    cores, memory_mb, accelerators, tasks
        Limits of all its running tasks together.
    """

    tenant: Tenant
    cores: float | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


class RemoveQuota(CommandStatement, frozen=True):
    """``remove quota``: no limits for one tenant."""

    tenant: Tenant


class Assignment(msgspec.Struct, frozen=True):
    """A key of the configuration and its new value.

    Attributes
    ----------
    key
        As in the file of settings.
    value
        ``default`` goes back to what the files say.
    """

    key: str
    value: Value


class Configure(CommandStatement, frozen=True):
    """``configure``: one new version of the configuration."""

    assignments: tuple[Assignment, ...]


class DeclareDomainLost(CommandStatement, frozen=True):
    """``declare domain … lost``: its jobs may be started elsewhere."""

    domain: FailureDomain


class DeclareDomainRestored(CommandStatement, frozen=True):
    """``declare domain … restored``: it may be given jobs again."""

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
