"""Building the statements that change the fleet."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from rhubarbfield.language.building import (
    Building,
    Node,
    builds,
    find_nodes,
    find_token,
    find_tokens,
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

MOST_TASKS = 20_000
MOST_CORES = 4_096
MOST_MEMORY_MB = 16 * 1024 * 1024
MOST_ACCELERATORS = 1_024
LONGEST_RUNTIME = timedelta(days=30)
LONGEST_PAYLOAD_CHARACTERS = 1_024
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


Reader = Callable[[Building, Node], Any]


def _read_name(building: Building, option: Node) -> str:
    return building.read_name(find_nodes(option, "name")[0])


_OPTION_READERS: dict[str, Reader] = {
    "tasks": lambda b, node: b.read_whole(find_tokens(node)[1], MOST_TASKS),
    "cores": lambda b, node: b.read_number(find_tokens(node)[1], MOST_CORES),
    "memory": lambda b, node: b.read_size(find_nodes(node)[0], MOST_MEMORY_MB),
    "accelerators": lambda b, node: b.read_whole(
        find_tokens(node)[1], MOST_ACCELERATORS, least=0
    ),
    "kind": _read_name,
    "service": _read_name,
    "domain": _read_name,
    "runtime": lambda b, node: b.read_duration(find_nodes(node)[0], LONGEST_RUNTIME),
    "payload": lambda _b, node: str(find_tokens(node)[1]).strip('"'),
    "gang": lambda _b, _node: True,
    "urgent": lambda _b, _node: True,
    "bulk": lambda _b, _node: True,
}


def _read_options(building: Building, options: list[Node], target: object) -> None:
    seen: set[str] = set()
    for option in options:
        name = str(option.data)
        if name in seen:
            building.refuse(find_token(option), f"{name} is given twice")
        seen.add(name)
        setattr(target, name, _OPTION_READERS[name](building, option))


@builds("create")
def _build_create(building: Building, node: Node) -> CreateJob:
    kind = find_tokens(node)[1]
    name_node, tenant_node, *option_nodes = find_nodes(node)
    options = _JobOptions()
    _read_options(building, option_nodes, options)
    name = building.read_name(name_node)
    if not _JOB_NAME.fullmatch(name):
        message = "a job's name has 1 to 63 small letters, digits, dots or hyphens"
        building.refuse(find_token(name_node), message)
    if options.cores is None or options.memory is None:
        building.refuse(kind, "cores and memory of a task have to be given")
    if options.urgent and options.bulk:
        building.refuse(kind, "a job is urgent or bulk, not both")
    return CreateJob(
        kind=WorkKind(kind.lower()),
        name=name,
        tenant=Tenant(building.read_name(tenant_node)),
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
def _build_cancel(building: Building, node: Node) -> CancelJobs:
    names = [building.read_name(name) for name in find_nodes(node, "name")]
    return CancelJobs(jobs=tuple(JobId(name) for name in dict.fromkeys(names)))


@builds("cancel_where")
def _build_cancel_where(building: Building, node: Node) -> CancelTenantJobs:
    operator = next(token for token in find_tokens(node) if token.type == "OPERATOR")
    if operator != "=":
        building.refuse(operator, "only tenant = NAME is allowed here")
    return CancelTenantJobs(tenant=Tenant(_read_name(building, node)))


def _read_target(building: Building, node: Node) -> tuple[TargetKind, str]:
    target = find_nodes(node, "target")[0]
    return TargetKind(find_token(target).lower()), _read_name(building, target)


@builds("drain")
def _build_drain(building: Building, node: Node) -> Drain:
    target, name = _read_target(building, node)
    return Drain(target=target, name=name)


@builds("undrain")
def _build_undrain(building: Building, node: Node) -> Undrain:
    target, name = _read_target(building, node)
    return Undrain(target=target, name=name)


@builds("quarantine")
def _build_quarantine(building: Building, node: Node) -> QuarantineWorker:
    return QuarantineWorker(worker=WorkerId(_read_name(building, node)))


@builds("release")
def _build_release(building: Building, node: Node) -> ReleaseWorker:
    return ReleaseWorker(worker=WorkerId(_read_name(building, node)))


class _QuotaOptions(msgspec.Struct):
    cores: float | None = None
    memory: int | None = None
    accelerators: int | None = None
    tasks: int | None = None


@builds("quota")
def _build_quota(building: Building, node: Node) -> SetQuota:
    tenant, *option_nodes = find_nodes(node)
    options = _QuotaOptions()
    _read_options(building, option_nodes, options)
    return SetQuota(
        tenant=Tenant(building.read_name(tenant)),
        cores=options.cores,
        memory_mb=options.memory,
        accelerators=options.accelerators,
        tasks=options.tasks,
    )


@builds("remove_quota")
def _build_remove_quota(building: Building, node: Node) -> RemoveQuota:
    return RemoveQuota(tenant=Tenant(_read_name(building, node)))


@builds("configure")
def _build_configure(building: Building, node: Node) -> Configure:
    assignments: dict[str, Assignment] = {}
    for part in find_nodes(node, "assignment"):
        key, value = find_nodes(part)
        name = building.read_name(key)
        if find_token(part) != "=":
            building.refuse(find_token(part), "a key is set with =")
        if name in assignments:
            building.refuse(find_token(key), f"{name} is given twice")
        assignments[name] = Assignment(name, building.read_value(value))
    return Configure(assignments=tuple(assignments.values()))


@builds("declare_lost")
def _build_declare_lost(building: Building, node: Node) -> Statement:
    return DeclareDomainLost(domain=FailureDomain(_read_name(building, node)))


@builds("declare_restored")
def _build_declare_restored(building: Building, node: Node) -> Statement:
    return DeclareDomainRestored(domain=FailureDomain(_read_name(building, node)))
