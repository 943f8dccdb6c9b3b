"""What each command of operators does to the fleet's state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.jobs import MOST_JOBS, cancel_job, end_job, make_room_for_job
from rhubarbfield.fleet.state import (
    UNSET_VALUE,
    Configuration,
    FleetJob,
    FleetState,
    JobRequest,
    Mark,
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

MOST_NAMED_JOBS = 100
MOST_MARKS = 10_000
MOST_QUOTAS = 5_000
MOST_CONFIGURATION_KEYS = 500


class Effect(msgspec.Struct, frozen=True):
    """What a command did.

    Attributes
    ----------
    accepted
        Whether it had its effect; if not, nothing was changed.
    answer
        What to tell the operator.
    jobs
        The jobs it created or cancelled, but no more than a hundred.
    """

    accepted: bool
    answer: str
    jobs: tuple[JobId, ...] = ()


StatementT = TypeVar("StatementT", bound=CommandStatement)
EffectFunction = Callable[[FleetState, Any, Mark], Effect]
_effects: dict[type[CommandStatement], EffectFunction] = {}


def _has_effect(
    statement_type: type[StatementT],
) -> Callable[
    [Callable[[FleetState, StatementT, Mark], Effect]],
    Callable[[FleetState, StatementT, Mark], Effect],
]:
    def register(
        effect: Callable[[FleetState, StatementT, Mark], Effect],
    ) -> Callable[[FleetState, StatementT, Mark], Effect]:
        _effects[statement_type] = effect
        return effect

    return register


def apply_statement(
    state: FleetState, statement: AnyCommandStatement, mark: Mark
) -> Effect:
    """Change ``state`` as ``statement`` says.

    Parameters
    ----------
    state
        Changed in place, or left as it is if the effect is not accepted.
    statement
        The command.
    mark
        Who sent it, under which number, when.
    """
    return _effects[type(statement)](state, statement, mark)


@_has_effect(CreateJob)
def _create_job(state: FleetState, statement: CreateJob, mark: Mark) -> Effect:
    make_room_for_job(state, mark.at)
    if len(state.jobs) >= MOST_JOBS:
        return Effect(False, f"{MOST_JOBS} jobs are open already")
    job_id = JobId(f"{mark.number}-{statement.name}")
    check_invariant(job_id not in state.jobs, "job-created-once", job_id)
    state.jobs[job_id] = FleetJob(
        id=job_id,
        request=_read_request(statement),
        created_by=mark.operator,
        created_at=mark.at,
    )
    return Effect(True, f"job {job_id} is accepted", (job_id,))


def _read_request(statement: CreateJob) -> JobRequest:
    names = JobRequest.__struct_fields__
    return JobRequest(**{name: getattr(statement, name) for name in names})


@_has_effect(CancelJobs)
def _cancel_jobs(state: FleetState, statement: CancelJobs, mark: Mark) -> Effect:
    missing = [name for name in statement.jobs if name not in state.jobs]
    if missing:
        return Effect(False, f"there is no job {', '.join(missing)}")
    return _cancel_all(state, [state.jobs[name] for name in statement.jobs], mark)


@_has_effect(CancelTenantJobs)
def _cancel_tenant_jobs(
    state: FleetState, statement: CancelTenantJobs, mark: Mark
) -> Effect:
    jobs = state.jobs.values()
    return _cancel_all(
        state, [job for job in jobs if job.request.tenant == statement.tenant], mark
    )


def _is_held(state: FleetState, job: FleetJob) -> bool:
    return job.domain is not None and job.domain not in state.lost_domains


def _cancel_all(state: FleetState, jobs: Iterable[FleetJob], mark: Mark) -> Effect:
    open_jobs = [job for job in jobs if job.is_open]
    for job in open_jobs:
        cancel_job(job, mark, is_held=_is_held(state, job))
    told = sum(job.state is not JobState.CANCELLED for job in open_jobs)
    answer = f"open jobs cancelled: {len(open_jobs)}"
    if told:
        answer += f"; as soon as their failure domain has ended them: {told}"
    named = tuple(job.id for job in open_jobs[:MOST_NAMED_JOBS])
    return Effect(True, answer, named)


@_has_effect(Drain)
def _drain(state: FleetState, statement: Drain, mark: Mark) -> Effect:
    thing = f"{statement.target} {statement.name}"
    if not _set_mark(state.drains, f"{statement.target}:{statement.name}", mark):
        return Effect(False, f"{MOST_MARKS} things are drained already")
    return Effect(True, f"{thing} gets no new work")


@_has_effect(Undrain)
def _undrain(state: FleetState, statement: Undrain, mark: Mark) -> Effect:
    thing = f"{statement.target} {statement.name}"
    if state.drains.pop(f"{statement.target}:{statement.name}", None) is None:
        return Effect(True, f"{thing} was not drained")
    return Effect(True, f"{thing} is in use again")


@_has_effect(QuarantineWorker)
def _quarantine(state: FleetState, statement: QuarantineWorker, mark: Mark) -> Effect:
    if not _set_mark(state.quarantined_workers, statement.worker, mark):
        return Effect(False, f"{MOST_MARKS} workers are quarantined already")
    return Effect(True, f"worker {statement.worker} is quarantined")


@_has_effect(ReleaseWorker)
def _release(state: FleetState, statement: ReleaseWorker, mark: Mark) -> Effect:
    if state.quarantined_workers.pop(statement.worker, None) is None:
        return Effect(True, f"worker {statement.worker} was not quarantined")
    return Effect(True, f"worker {statement.worker} is released")


@_has_effect(SetQuota)
def _set_quota(state: FleetState, statement: SetQuota, mark: Mark) -> Effect:
    old = state.quotas.get(statement.tenant, Quota())
    if statement.tenant not in state.quotas and len(state.quotas) >= MOST_QUOTAS:
        return Effect(False, f"{MOST_QUOTAS} tenants have quotas already")
    stated = {
        name: getattr(statement, name)
        for name in Quota.__struct_fields__
        if getattr(statement, name) is not None
    }
    state.quotas[statement.tenant] = msgspec.structs.replace(old, **stated)
    return Effect(True, f"the quota of tenant {statement.tenant} is set")


@_has_effect(RemoveQuota)
def _remove_quota(state: FleetState, statement: RemoveQuota, _mark: Mark) -> Effect:
    if state.quotas.pop(statement.tenant, None) is None:
        return Effect(True, f"tenant {statement.tenant} had no quota")
    return Effect(True, f"tenant {statement.tenant} has no quota any more")


@_has_effect(Configure)
def _configure(state: FleetState, statement: Configure, mark: Mark) -> Effect:
    old = state.configuration
    values = dict(old.values)
    for one in statement.assignments:
        values[one.key] = one.value
        if one.value == UNSET_VALUE:
            del values[one.key]
    if len(values) > MOST_CONFIGURATION_KEYS:
        return Effect(False, f"{MOST_CONFIGURATION_KEYS} keys at most can be set")
    version = ConfigurationVersion(old.version + 1)
    state.configuration = Configuration(
        version=version,
        values=values,
        changed_by=mark.operator,
        changed_at=mark.at,
    )
    return Effect(True, f"configuration {version} is accepted")


@_has_effect(DeclareDomainLost)
def _declare_lost(
    state: FleetState, statement: DeclareDomainLost, mark: Mark
) -> Effect:
    _set_mark(state.lost_domains, statement.domain, mark)
    jobs = [job for job in state.jobs.values() if job.domain == statement.domain]
    held = sum(job.is_open and not job.cancelling for job in jobs)
    for job in jobs:
        if job.is_open and job.cancelling:
            end_job(job, JobState.CANCELLED, mark.at)
    return Effect(
        True,
        f"failure domain {statement.domain} is declared lost; {held} of its jobs may"
        " now start elsewhere. If any of its workers still run, their tasks run in"
        " two places until their leases lapse",
    )


@_has_effect(DeclareDomainRestored)
def _declare_restored(
    state: FleetState, statement: DeclareDomainRestored, mark: Mark
) -> Effect:
    if state.lost_domains.pop(statement.domain, None) is None:
        return Effect(True, f"failure domain {statement.domain} was not lost")
    return Effect(True, f"failure domain {statement.domain} may be given jobs again")


def _set_mark(marks: dict[str, Mark], key: str, mark: Mark) -> bool:
    if key not in marks and len(marks) >= MOST_MARKS:
        return False
    marks.setdefault(key, mark)
    return True
