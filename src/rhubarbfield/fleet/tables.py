"""The fleet's state as tables, for queries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime

from rhubarbfield.fleet.state import FleetJob, FleetState
from rhubarbfield.language import Cell, Subject, Table
from rhubarbfield.types import JobId

Row = tuple[Cell, ...]
RowLister = Callable[[FleetState], Iterable[Row]]


class FleetTables:
    """The subjects that the fleet's log alone can answer, filled by a decorator."""

    def __init__(self) -> None:
        self._listers: dict[Subject, tuple[tuple[str, ...], RowLister]] = {}

    def lists(
        self, subject: Subject, *columns: str
    ) -> Callable[[RowLister], RowLister]:
        """Register the decorated function as what lists the rows of ``subject``."""

        def register(lister: RowLister) -> RowLister:
            self._listers[subject] = (columns, lister)
            return lister

        return register

    def make_table(self, state: FleetState, subject: Subject) -> Table | None:
        """Return all rows of ``subject``, or None if the log can't answer it.

        Parameters
        ----------
        state
            Of the fleet.
        subject
            What to list.
        """
        if subject not in self._listers:
            return None
        columns, lister = self._listers[subject]
        return Table(columns=columns, rows=tuple(lister(state)))


fleet_tables = FleetTables()


@fleet_tables.lists(
    Subject.JOBS,
    "job",
    "name",
    "kind",
    "tenant",
    "state",
    "domain",
    "tasks",
    "cores",
    "memory_mb",
    "accelerators",
    "priority",
    "operator",
    "created",
    "reason",
)
def _list_jobs(state: FleetState) -> Iterable[Row]:
    for job in state.jobs.values():
        request = job.request
        yield (
            job.id,
            request.name,
            request.kind.value,
            request.tenant,
            describe_job_state(job),
            job.domain,
            request.tasks,
            request.cores,
            request.memory_mb,
            request.accelerators,
            request.priority.name.lower(),
            job.created_by,
            _format_time(job.created_at),
            job.reason,
        )


@fleet_tables.lists(
    Subject.COMMANDS, "number", "operator", "decided", "accepted", "text", "answer"
)
def _list_commands(state: FleetState) -> Iterable[Row]:
    for record in state.table.records.values():
        yield (
            record.number,
            record.operator,
            _format_time(record.decided_at),
            record.accepted,
            record.text,
            record.answer,
        )


@fleet_tables.lists(Subject.CONFIGURATION, "key", "value", "version")
def _list_configuration(state: FleetState) -> Iterable[Row]:
    configuration = state.configuration
    for key, value in sorted(configuration.values.items()):
        yield (key, value, configuration.version)


@fleet_tables.lists(
    Subject.QUOTAS, "tenant", "cores", "memory_mb", "accelerators", "tasks"
)
def _list_quotas(state: FleetState) -> Iterable[Row]:
    for tenant, quota in sorted(state.quotas.items()):
        yield (tenant, quota.cores, quota.memory_mb, quota.accelerators, quota.tasks)


@fleet_tables.lists(Subject.DRAINS, "kind", "name", "operator", "number", "since")
def _list_drains(state: FleetState) -> Iterable[Row]:
    for key, mark in state.drains.items():
        kind, _, name = key.partition(":")
        yield (kind, name, mark.operator, mark.number, _format_time(mark.at))
    for worker, mark in state.quarantined_workers.items():
        since = _format_time(mark.at)
        yield ("quarantined worker", worker, mark.operator, mark.number, since)


@fleet_tables.lists(Subject.TENANTS, "tenant", "open_jobs", "jobs")
def _list_tenants(state: FleetState) -> Iterable[Row]:
    jobs = Counter(job.request.tenant for job in state.jobs.values())
    open_jobs = Counter(
        job.request.tenant for job in state.jobs.values() if job.is_open
    )
    for tenant in sorted(jobs):
        yield (tenant, open_jobs[tenant], jobs[tenant])


def describe_job_state(job: FleetJob) -> str:
    """Return the state of a job as operators see it."""
    if job.is_open and job.cancelling:
        return "cancelling"
    return job.state.value


def explain_job(state: FleetState, job_id: JobId) -> Table | None:
    """Return what the fleet's log knows of one job, or None if it knows none.

    Parameters
    ----------
    state
        Of the fleet.
    job_id
        Of the job.
    """
    job = state.jobs.get(job_id)
    if job is None:
        return None
    finished = _format_time(job.finished_at) if job.finished_at else None
    rows: list[Row] = [
        ("state", describe_job_state(job)),
        ("reason", job.reason or "waits to be delegated to a failure domain"),
        ("created", f"{_format_time(job.created_at)} by {job.created_by}"),
        ("failure domain", job.domain),
        ("delegations so far", job.epoch),
        ("finished", finished),
    ]
    if job.domain in state.lost_domains:
        mark = state.lost_domains[job.domain]
        text = f"declared lost by {mark.operator}, command {mark.number}"
        rows.append(("its failure domain", text))
    return Table(columns=("what", "value"), rows=tuple(rows))


def _format_time(at: datetime) -> str:
    return at.strftime("%Y-%m-%d %H:%M:%S")
