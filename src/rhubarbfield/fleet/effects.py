"""Effects of operators' commands on the fleet's state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.jobs import MAX_JOBS, cancel_job, end_job, prune_ended_jobs
from rhubarbfield.fleet.state import (
    UNSET_VALUE,
    CommandOrigin,
    Configuration,
    FleetJob,
    FleetState,
    JobRequest,
    Quota,
)
from rhubarbfield.language import (
    AnyCommandStatement,
    CancelJobs,
    CancelTenantJobs,
    CommandStatement,
    Configure,
    CreateJob,
    DeclareDomainLost,
    DeclareDomainRestored,
    Drain,
    QuarantineWorker,
    ReleaseWorker,
    RemoveQuota,
    SetQuota,
    Undrain,
)
from rhubarbfield.types import ConfigurationVersion, JobId, JobState

MAX_LISTED_JOBS = 100
MAX_ENTRIES_PER_KIND = 10_000
MAX_QUOTAS = 5_000
MAX_CONFIGURATION_KEYS = 500


class Effect(msgspec.Struct, frozen=True):
    """Result of applying an operator's command.

    Attributes
    ----------
    accepted
        Whether the command took effect; if not, nothing was changed.
    answer
        The answer to the operator.
    jobs
        The jobs it created or cancelled, at most ``MAX_LISTED_JOBS``.
    """

    accepted: bool
    answer: str
    jobs: tuple[JobId, ...] = ()


StatementT = TypeVar("StatementT", bound=CommandStatement)
EffectFunction = Callable[[FleetState, Any, CommandOrigin], Effect]
_effects: dict[type[CommandStatement], EffectFunction] = {}


def _applies(
    statement_type: type[StatementT],
) -> Callable[
    [Callable[[FleetState, StatementT, CommandOrigin], Effect]],
    Callable[[FleetState, StatementT, CommandOrigin], Effect],
]:
    def register(
        effect: Callable[[FleetState, StatementT, CommandOrigin], Effect],
    ) -> Callable[[FleetState, StatementT, CommandOrigin], Effect]:
        _effects[statement_type] = effect
        return effect

    return register


def apply_statement(
    state: FleetState, statement: AnyCommandStatement, origin: CommandOrigin
) -> Effect:
    """Apply ``statement`` to ``state``.

    Parameters
    ----------
    state
        Changed in place, or left unchanged if the command is not accepted.
    statement
        The command.
    origin
        The operator, number and time of the command.
    """
    return _effects[type(statement)](state, statement, origin)


@_applies(CreateJob)
def _create_job(
    state: FleetState, statement: CreateJob, origin: CommandOrigin
) -> Effect:
    prune_ended_jobs(state, origin.at)
    if len(state.jobs) >= MAX_JOBS:
        return Effect(False, f"{MAX_JOBS} jobs are open already")
    job_id = JobId(f"{origin.number}-{statement.name}")
    check_invariant(job_id not in state.jobs, "job-created-once", job_id)
    state.jobs[job_id] = FleetJob(
        id=job_id,
        request=_read_request(statement),
        created_by=origin.operator,
        created_at=origin.at,
    )
    return Effect(True, f"job {job_id} is accepted", (job_id,))


def _read_request(statement: CreateJob) -> JobRequest:
    names = JobRequest.__struct_fields__
    return JobRequest(**{name: getattr(statement, name) for name in names})


@_applies(CancelJobs)
def _cancel_jobs(
    state: FleetState, statement: CancelJobs, origin: CommandOrigin
) -> Effect:
    missing = [name for name in statement.jobs if name not in state.jobs]
    if missing:
        return Effect(False, f"there is no job {', '.join(missing)}")
    return _cancel_all(state, [state.jobs[name] for name in statement.jobs], origin)


@_applies(CancelTenantJobs)
def _cancel_tenant_jobs(
    state: FleetState, statement: CancelTenantJobs, origin: CommandOrigin
) -> Effect:
    jobs = state.jobs.values()
    return _cancel_all(
        state, [job for job in jobs if job.request.tenant == statement.tenant], origin
    )


def _is_held(state: FleetState, job: FleetJob) -> bool:
    return job.domain is not None and job.domain not in state.lost_domains


def _cancel_all(
    state: FleetState, jobs: Iterable[FleetJob], origin: CommandOrigin
) -> Effect:
    open_jobs = [job for job in jobs if job.is_open]
    for job in open_jobs:
        cancel_job(job, origin, is_held=_is_held(state, job))
    still_held = sum(job.state is not JobState.CANCELLED for job in open_jobs)
    answer = f"open jobs cancelled: {len(open_jobs)}"
    if still_held:
        answer += f"; as soon as their failure domain has ended them: {still_held}"
    listed = tuple(job.id for job in open_jobs[:MAX_LISTED_JOBS])
    return Effect(True, answer, listed)


@_applies(Drain)
def _drain(state: FleetState, statement: Drain, origin: CommandOrigin) -> Effect:
    target = f"{statement.target} {statement.name}"
    if not _add_origin(state.drains, f"{statement.target}:{statement.name}", origin):
        return Effect(False, f"{MAX_ENTRIES_PER_KIND} things are drained already")
    return Effect(True, f"{target} gets no new work")


@_applies(Undrain)
def _undrain(state: FleetState, statement: Undrain, origin: CommandOrigin) -> Effect:
    target = f"{statement.target} {statement.name}"
    if state.drains.pop(f"{statement.target}:{statement.name}", None) is None:
        return Effect(True, f"{target} was not drained")
    return Effect(True, f"{target} is in use again")


@_applies(QuarantineWorker)
def _quarantine(
    state: FleetState, statement: QuarantineWorker, origin: CommandOrigin
) -> Effect:
    if not _add_origin(state.quarantined_workers, statement.worker, origin):
        return Effect(False, f"{MAX_ENTRIES_PER_KIND} workers are quarantined already")
    return Effect(True, f"worker {statement.worker} is quarantined")


@_applies(ReleaseWorker)
def _release(
    state: FleetState, statement: ReleaseWorker, origin: CommandOrigin
) -> Effect:
    if state.quarantined_workers.pop(statement.worker, None) is None:
        return Effect(True, f"worker {statement.worker} was not quarantined")
    return Effect(True, f"worker {statement.worker} is released")


@_applies(SetQuota)
def _set_quota(state: FleetState, statement: SetQuota, origin: CommandOrigin) -> Effect:
    old = state.quotas.get(statement.tenant, Quota())
    if statement.tenant not in state.quotas and len(state.quotas) >= MAX_QUOTAS:
        return Effect(False, f"{MAX_QUOTAS} tenants have quotas already")
    stated = {
        name: getattr(statement, name)
        for name in Quota.__struct_fields__
        if getattr(statement, name) is not None
    }
    state.quotas[statement.tenant] = msgspec.structs.replace(old, **stated)
    return Effect(True, f"the quota of tenant {statement.tenant} is set")


@_applies(RemoveQuota)
def _remove_quota(
    state: FleetState, statement: RemoveQuota, _origin: CommandOrigin
) -> Effect:
    if state.quotas.pop(statement.tenant, None) is None:
        return Effect(True, f"tenant {statement.tenant} had no quota")
    return Effect(True, f"tenant {statement.tenant} has no quota any more")


@_applies(Configure)
def _configure(
    state: FleetState, statement: Configure, origin: CommandOrigin
) -> Effect:
    old = state.configuration
    values = dict(old.values)
    for one in statement.assignments:
        values[one.key] = one.value
        if one.value == UNSET_VALUE:
            del values[one.key]
    if len(values) > MAX_CONFIGURATION_KEYS:
        return Effect(False, f"{MAX_CONFIGURATION_KEYS} keys at most can be set")
    version = ConfigurationVersion(old.version + 1)
    state.configuration = Configuration(
        version=version,
        values=values,
        changed_by=origin.operator,
        changed_at=origin.at,
    )
    return Effect(True, f"configuration {version} is accepted")


@_applies(DeclareDomainLost)
def _declare_lost(
    state: FleetState, statement: DeclareDomainLost, origin: CommandOrigin
) -> Effect:
    _add_origin(state.lost_domains, statement.domain, origin)
    jobs = [job for job in state.jobs.values() if job.domain == statement.domain]
    held = sum(job.is_open and not job.cancelling for job in jobs)
    for job in jobs:
        if job.is_open and job.cancelling:
            end_job(job, JobState.CANCELLED, origin.at)
    return Effect(
        True,
        f"failure domain {statement.domain} is declared lost; {held} of its jobs may"
        " now start elsewhere. If any of its workers still run, their tasks run in"
        " two places until their leases lapse",
    )


@_applies(DeclareDomainRestored)
def _declare_restored(
    state: FleetState, statement: DeclareDomainRestored, origin: CommandOrigin
) -> Effect:
    if state.lost_domains.pop(statement.domain, None) is None:
        return Effect(True, f"failure domain {statement.domain} was not lost")
    return Effect(True, f"failure domain {statement.domain} may be given jobs again")


def _add_origin(
    origins: dict[str, CommandOrigin], key: str, origin: CommandOrigin
) -> bool:
    if key not in origins and len(origins) >= MAX_ENTRIES_PER_KIND:
        return False
    origins.setdefault(key, origin)
    return True
