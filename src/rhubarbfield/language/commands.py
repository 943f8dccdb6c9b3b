"""Build the statements that change the fleet."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from rhubarbfield.language.builder import (
    Node,
    StatementBuilder,
    builds,
    get_first_token,
    get_subtrees,
    get_tokens,
)
from rhubarbfield.language.statements import (
    Assignment,
    CancelJobs,
    CancelTenantJobs,
    Configure,
    CreateJob,
    DeclareDomainLost,
    DeclareDomainRestored,
    Drain,
    QuarantineWorker,
    ReleaseWorker,
    RemoveQuota,
    SetQuota,
    Statement,
    TargetKind,
    Undrain,
)
from rhubarbfield.types import (
    FailureDomain,
    JobId,
    Priority,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)

MAX_TASKS = 20_000
MAX_CORES = 4_096
MAX_MEMORY_MB = 16 * 1024 * 1024
MAX_ACCELERATORS = 1_024
MAX_RUNTIME = timedelta(days=30)
MAX_PAYLOAD_CHARACTERS = 1_024
_JOB_NAME = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?")


class _JobOptions(msgspec.Struct):
    tasks: int = 1
    cores: float | None = None
    memory: int | None = None
    accelerators: int = 0
    kind: str = ""
    service: ServiceName | None = None
    domain: FailureDomain | None = None
    runtime: timedelta | None = None
    payload: str = ""
    gang: bool = False
    urgent: bool = False
    bulk: bool = False


OptionReader = Callable[[StatementBuilder, Node], Any]


def _read_name(builder: StatementBuilder, option: Node) -> str:
    return builder.read_name(get_subtrees(option, "name")[0])


_OPTION_READERS: dict[str, OptionReader] = {
    "tasks": lambda b, node: b.read_integer(get_tokens(node)[1], MAX_TASKS),
    "cores": lambda b, node: b.read_number(get_tokens(node)[1], MAX_CORES),
    "memory": lambda b, node: b.read_size(get_subtrees(node)[0], MAX_MEMORY_MB),
    "accelerators": lambda b, node: b.read_integer(
        get_tokens(node)[1], MAX_ACCELERATORS, minimum=0
    ),
    "kind": _read_name,
    "service": _read_name,
    "domain": _read_name,
    "runtime": lambda b, node: b.read_duration(get_subtrees(node)[0], MAX_RUNTIME),
    "payload": lambda _b, node: str(get_tokens(node)[1]).strip('"'),
    "gang": lambda _b, _node: True,
    "urgent": lambda _b, _node: True,
    "bulk": lambda _b, _node: True,
}


def _read_options(
    builder: StatementBuilder, options: list[Node], target: object
) -> None:
    seen: set[str] = set()
    for option in options:
        name = str(option.data)
        if name in seen:
            builder.add_problem(get_first_token(option), f"{name} is given twice")
        seen.add(name)
        setattr(target, name, _OPTION_READERS[name](builder, option))


@builds("create")
def _build_create(builder: StatementBuilder, node: Node) -> CreateJob:
    kind = get_tokens(node)[1]
    name_node, tenant_node, *option_nodes = get_subtrees(node)
    options = _JobOptions()
    _read_options(builder, option_nodes, options)
    name = builder.read_name(name_node)
    if not _JOB_NAME.fullmatch(name):
        message = "a job's name has 1 to 63 small letters, digits, dots or hyphens"
        builder.add_problem(get_first_token(name_node), message)
    if options.cores is None or options.memory is None:
        builder.add_problem(kind, "cores and memory of a task have to be given")
    if options.urgent and options.bulk:
        builder.add_problem(kind, "a job is urgent or bulk, not both")
    return CreateJob(
        kind=WorkKind(kind.lower()),
        name=name,
        tenant=Tenant(builder.read_name(tenant_node)),
        tasks=options.tasks,
        cores=options.cores or 0.0,
        memory_mb=options.memory or 0,
        accelerators=options.accelerators,
        gang=options.gang,
        priority=_choose_priority(options),
        task_kind=options.kind or name,
        service=options.service,
        domain=options.domain,
        runtime=options.runtime,
        payload=options.payload,
    )


def _choose_priority(options: _JobOptions) -> Priority:
    if options.urgent:
        return Priority.URGENT
    return Priority.BULK if options.bulk else Priority.NORMAL


@builds("cancel")
def _build_cancel(builder: StatementBuilder, node: Node) -> CancelJobs:
    names = [builder.read_name(name) for name in get_subtrees(node, "name")]
    return CancelJobs(jobs=tuple(JobId(name) for name in dict.fromkeys(names)))


@builds("cancel_where")
def _build_cancel_where(builder: StatementBuilder, node: Node) -> CancelTenantJobs:
    operator = next(token for token in get_tokens(node) if token.type == "OPERATOR")
    if operator != "=":
        builder.add_problem(operator, "only tenant = NAME is allowed here")
    return CancelTenantJobs(tenant=Tenant(_read_name(builder, node)))


def _read_target(builder: StatementBuilder, node: Node) -> tuple[TargetKind, str]:
    target = get_subtrees(node, "target")[0]
    return TargetKind(get_first_token(target).lower()), _read_name(builder, target)


@builds("drain")
def _build_drain(builder: StatementBuilder, node: Node) -> Drain:
    target, name = _read_target(builder, node)
    return Drain(target=target, name=name)


@builds("undrain")
def _build_undrain(builder: StatementBuilder, node: Node) -> Undrain:
    target, name = _read_target(builder, node)
    return Undrain(target=target, name=name)


@builds("quarantine")
def _build_quarantine(builder: StatementBuilder, node: Node) -> QuarantineWorker:
    return QuarantineWorker(worker=WorkerId(_read_name(builder, node)))


@builds("release")
def _build_release(builder: StatementBuilder, node: Node) -> ReleaseWorker:
    return ReleaseWorker(worker=WorkerId(_read_name(builder, node)))


class _QuotaOptions(msgspec.Struct):
    cores: float | None = None
    memory: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


@builds("quota")
def _build_quota(builder: StatementBuilder, node: Node) -> SetQuota:
    tenant, *option_nodes = get_subtrees(node)
    options = _QuotaOptions()
    _read_options(builder, option_nodes, options)
    return SetQuota(
        tenant=Tenant(builder.read_name(tenant)),
        cores=options.cores,
        memory_mb=options.memory,
        accelerators=options.accelerators,
        tasks=options.tasks,
    )


@builds("remove_quota")
def _build_remove_quota(builder: StatementBuilder, node: Node) -> RemoveQuota:
    return RemoveQuota(tenant=Tenant(_read_name(builder, node)))


@builds("configure")
def _build_configure(builder: StatementBuilder, node: Node) -> Configure:
    assignments: dict[str, Assignment] = {}
    for part in get_subtrees(node, "assignment"):
        key, value = get_subtrees(part)
        name = builder.read_name(key)
        if get_first_token(part) != "=":
            builder.add_problem(get_first_token(part), "a key is set with =")
        if name in assignments:
            builder.add_problem(get_first_token(key), f"{name} is given twice")
        assignments[name] = Assignment(name, builder.read_value(value))
    return Configure(assignments=tuple(assignments.values()))


@builds("declare_lost")
def _build_declare_lost(builder: StatementBuilder, node: Node) -> Statement:
    return DeclareDomainLost(domain=FailureDomain(_read_name(builder, node)))


@builds("declare_restored")
def _build_declare_restored(builder: StatementBuilder, node: Node) -> Statement:
    return DeclareDomainRestored(domain=FailureDomain(_read_name(builder, node)))
