"""Tables for operators' queries, built from the replicated states."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import msgspec

from rhubarbfield.controller.statemachines import DomainLogState
from rhubarbfield.fleet import FleetState
from rhubarbfield.language import Subject, Table
from rhubarbfield.placement import Resources, Task
from rhubarbfield.placement.resources import MILLICORES_PER_CORE
from rhubarbfield.types import (
    ConfigurationVersion,
    FailureDomain,
    InstanceName,
    LogIndex,
)

Cell = str | int | float | bool | None
Row = tuple[Cell, ...]


class DomainView(msgspec.Struct, frozen=True):
    """State of a domain on its leader, from which tables are built.

    Attributes
    ----------
    domain
        The failure domain.
    state
        State of the domain's log.
    versions
        Version of the configuration in force at each entry, as last reported.
    waits
        Reason why a job waits, by job.
    position
        The log position that the state reflects.
    """

    domain: FailureDomain
    state: DomainLogState
    versions: dict[InstanceName, ConfigurationVersion]
    waits: dict[str, str]
    position: LogIndex = LogIndex(0)


FleetTable = Callable[[FleetState], Table]
DomainTable = Callable[[DomainView], Table]

_fleet_tables: dict[Subject, FleetTable] = {}
_domain_tables: dict[Subject, DomainTable] = {}


def fleet_table(subject: Subject) -> Callable[[FleetTable], FleetTable]:
    """Register the function that builds ``subject`` from the fleet's log."""

    def register(build: FleetTable) -> FleetTable:
        _fleet_tables[subject] = build
        return build

    return register


def domain_table(subject: Subject) -> Callable[[DomainTable], DomainTable]:
    """Register the function that builds one domain's rows of ``subject``."""

    def register(build: DomainTable) -> DomainTable:
        _domain_tables[subject] = build
        return build

    return register


def find_fleet_table(subject: Subject) -> FleetTable | None:
    """Return the function that builds ``subject`` from the fleet's log, if any."""
    return _fleet_tables.get(subject)


def find_domain_table(subject: Subject) -> DomainTable | None:
    """Return the function that builds a domain's rows of ``subject``, if any."""
    return _domain_tables.get(subject)


def make_table(columns: tuple[str, ...], rows: Iterable[Row]) -> Table:
    """Return a table without a position."""
    return Table(columns=columns, rows=tuple(rows))


@fleet_table(Subject.JOBS)
def build_jobs(state: FleetState) -> Table:
    """List jobs with the domains they are delegated to."""
    columns = (
        "job",
        "tenant",
        "kind",
        "priority",
        "state",
        "domain",
        "tasks",
        "created_by",
        "created_at",
        "reason",
    )
    rows = (
        (
            job.id,
            job.request.tenant,
            job.request.kind.value,
            job.request.priority.name.lower(),
            "cancelling" if job.cancelling and job.is_open else job.state.value,
            job.domain,
            job.request.tasks,
            job.created_by,
            format_time(job.created_at),
            job.reason,
        )
        for job in state.jobs.values()
    )
    return make_table(columns, rows)


@fleet_table(Subject.COMMANDS)
def build_commands(state: FleetState) -> Table:
    """List the commands that are still recorded, oldest first."""
    columns = ("number", "operator", "at", "accepted", "text", "answer")
    rows = (
        (
            record.number,
            record.operator,
            format_time(record.decided_at),
            record.accepted,
            record.text,
            record.answer,
        )
        for record in state.table.records.values()
    )
    return make_table(columns, rows)


@fleet_table(Subject.QUOTAS)
def build_quotas(state: FleetState) -> Table:
    """List tenants' quotas."""
    columns = ("tenant", "cores", "memory_mb", "accelerators", "tasks")
    rows = (
        (tenant, quota.cores, quota.memory_mb, quota.accelerators, quota.tasks)
        for tenant, quota in state.quotas.items()
    )
    return make_table(columns, rows)


@fleet_table(Subject.DRAINS)
def build_drains(state: FleetState) -> Table:
    """List the targets that operators have drained or quarantined."""
    columns = ("target", "what", "operator", "number", "at")
    origins = [
        *((key, "drained", origin) for key, origin in state.drains.items()),
        *(
            (f"worker:{key}", "quarantined", origin)
            for key, origin in state.quarantined_workers.items()
        ),
    ]
    rows = (
        (key, what, origin.operator, origin.number, format_time(origin.at))
        for key, what, origin in origins
    )
    return make_table(columns, rows)


@domain_table(Subject.CONFIGURATION)
def build_configuration(view: DomainView) -> Table:
    """List the version of the configuration in force at each entry."""
    columns = ("domain", "process", "version")
    rows = ((view.domain, f"entry {name}", v) for name, v in view.versions.items())
    return make_table(columns, rows)


@domain_table(Subject.WORKERS)
def build_workers(view: DomainView) -> Table:
    """List workers with their capacity and committed resources."""
    columns = (
        "worker",
        "domain",
        "rack",
        "state",
        "tasks",
        "cores",
        "cores_committed",
        "memory_mb",
        "memory_mb_committed",
        "accelerators",
        "epoch",
    )
    rows = []
    for worker in view.state.work.workers.values():
        state = "present" if worker.present else "absent"
        if worker.present and worker.quarantine.value != "trusted":
            state = worker.quarantine.value
        elif worker.present and worker.draining:
            state = "draining"
        rows.append(
            (
                worker.worker,
                view.domain,
                worker.rack,
                state,
                len(worker.live),
                worker.announced.millicores / MILLICORES_PER_CORE,
                worker.committed.millicores / MILLICORES_PER_CORE,
                worker.announced.memory_mb,
                worker.committed.memory_mb,
                worker.announced.accelerators,
                worker.epoch,
            )
        )
    return make_table(columns, rows)


@domain_table(Subject.TASKS)
def build_tasks(view: DomainView) -> Table:
    """List tasks with their placement and its reason."""
    columns = (
        "task",
        "job",
        "tenant",
        "domain",
        "state",
        "worker",
        "attempts",
        "checkpoint",
        "reason",
    )
    rows = (
        (
            task.task,
            task.job,
            view.state.work.jobs[task.job].spec.tenant,
            view.domain,
            task.live.state.value if task.live else task.state.value,
            task.live.worker if task.live else None,
            task.attempts_made,
            task.checkpoint,
            _describe_task(view, task),
        )
        for task in view.state.work.tasks.values()
    )
    return make_table(columns, rows)


def _describe_task(view: DomainView, task: Task) -> str:
    if task.live is not None:
        return task.live.end_reason or task.live.decision.reason
    if task.state.value == "pending":
        return view.waits.get(task.job, "it waits for its turn")
    return task.past[-1].end_reason if task.past else ""


@domain_table(Subject.SERVERS)
def build_servers(view: DomainView) -> Table:
    """List backend servers with the entries that own them."""
    columns = (
        "server",
        "service",
        "domain",
        "state",
        "owner",
        "epoch",
        "slots",
        "connections",
        "address",
        "settled",
    )
    rows = (
        (
            server.server,
            server.description.service,
            view.domain,
            server.state.value,
            server.owner,
            server.epoch,
            server.description.slots,
            server.description.connections,
            f"{server.description.host}:{server.description.port}",
            server.settled,
        )
        for server in view.state.ownership.servers.values()
    )
    return make_table(columns, rows)


@domain_table(Subject.SERVICES)
def build_services(view: DomainView) -> Table:
    """Count backend servers by service."""
    columns = ("service", "domain", "servers", "leaving", "without_owner", "slots")
    services: dict[str, list[int]] = {}
    for server in view.state.ownership.servers.values():
        counts = services.setdefault(server.description.service, [0, 0, 0, 0])
        counts[0] += 1
        counts[1] += server.state.value == "leaving"
        counts[2] += server.owner is None
        counts[3] += server.description.slots
    rows: list[Row] = [
        (name, view.domain, *counts) for name, counts in services.items()
    ]
    return make_table(columns, rows)


@domain_table(Subject.TENANTS)
def build_tenants(view: DomainView) -> Table:
    """List the resources that tenants use."""
    columns = ("tenant", "domain", "cores", "memory_mb", "accelerators")
    rows = (
        (tenant, view.domain, *_list_amounts(account.used))
        for tenant, account in view.state.work.accounts.items()
    )
    return make_table(columns, rows)


def _list_amounts(amount: Resources) -> tuple[float, int, int]:
    return (
        amount.millicores / MILLICORES_PER_CORE,
        amount.memory_mb,
        amount.accelerators,
    )


def format_time(at: datetime) -> str:
    """Return a time in the format shown to operators, without microseconds."""
    rounded = at - timedelta(microseconds=at.microsecond)
    return rounded.strftime("%Y-%m-%d %H:%M:%SZ")
