"""Commands that change jobs, quotas and estimates."""

from __future__ import annotations

import math
from typing import TypeVar

from rhubarbfield.machine import Done, Refused, Reply
from rhubarbfield.placement.commands import (
    AcceptJob,
    CancelJobs,
    ForgetFinished,
    RejectJobs,
    SetEstimates,
    SetQuota,
    work_commands,
)
from rhubarbfield.placement.replies import (
    Eviction,
    JobAccepted,
    JobImpossible,
    JobsCancelled,
)
from rhubarbfield.placement.runnable import check_runnable
from rhubarbfield.placement.state import (
    MAX_HARM,
    MAX_SIZES,
    HarmEstimate,
    Job,
    Task,
    WorkState,
)
from rhubarbfield.placement.transitions import (
    OPEN_JOB_STATES,
    find_account,
    make_task_id,
    stop_job,
)
from rhubarbfield.types import JobId, JobState

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


@work_commands.applies(AcceptJob)
def accept_job(state: WorkState, command: AcceptJob) -> Reply:
    """Queue a job's tasks, or record the job as impossible."""
    spec = command.spec
    known = state.jobs.get(spec.job)
    if known is not None and known.spec != spec:
        return Refused(reason=f"another job is already called {spec.job}")
    if known is not None and known.state is not JobState.IMPOSSIBLE:
        return JobAccepted(job=spec.job, tasks=spec.tasks)
    impossible = check_runnable(state, spec)
    job = Job(spec=spec, accepted_at=command.at)
    state.jobs[spec.job] = job
    if impossible is not None:
        job.state = JobState.IMPOSSIBLE
        job.reason = impossible.message
        job.finished_at = command.at
        return JobImpossible(job=spec.job, impossible=impossible)
    for index in range(spec.tasks):
        task_id = make_task_id(spec.job, index)
        state.tasks[task_id] = Task(task_id, spec.job, command.at)
        job.pending[task_id] = True
    state.waiting[spec.job] = True
    find_account(state, spec.tenant)
    return JobAccepted(job=spec.job, tasks=spec.tasks)


@work_commands.applies(CancelJobs)
def cancel_jobs(state: WorkState, command: CancelJobs) -> Reply:
    """Cancel the jobs that have not ended; idempotent."""
    cancelled: list[JobId] = []
    finished: list[JobId] = []
    unknown: list[JobId] = []
    stopping: list[Eviction] = []
    for job_id in command.jobs:
        job = state.jobs.get(job_id)
        if job is None:
            unknown.append(job_id)
        elif job.state in OPEN_JOB_STATES:
            stopping += stop_job(
                state, job, JobState.CANCELLED, command.at, "cancelled"
            )
            cancelled.append(job_id)
        elif job.state is JobState.CANCELLED:
            cancelled.append(job_id)
        else:
            finished.append(job_id)
    return JobsCancelled(
        cancelled=tuple(cancelled),
        finished=tuple(finished),
        unknown=tuple(unknown),
        stopping=tuple(stopping),
    )


@work_commands.applies(RejectJobs)
def reject_jobs(state: WorkState, command: RejectJobs) -> Reply:
    """End jobs that turned out to be impossible."""
    for rejection in command.rejections:
        job = state.jobs.get(rejection.job)
        if job is not None and job.state in OPEN_JOB_STATES and not job.live:
            stop_job(state, job, JobState.IMPOSSIBLE, command.at, rejection.reason)
    return Done()


@work_commands.applies(ForgetFinished)
def forget_finished(state: WorkState, command: ForgetFinished) -> Reply:
    """Remove the records of jobs that ended before the given time."""
    old = [
        job
        for job in state.jobs.values()
        if job.finished_at is not None and job.finished_at < command.before
    ]
    for job in old:
        for index in range(job.spec.tasks):
            state.tasks.pop(make_task_id(job.spec.job, index), None)
        del state.jobs[job.spec.job]
    return Done()


@work_commands.applies(SetQuota)
def set_quota(state: WorkState, command: SetQuota) -> Reply:
    """Set a tenant's quota."""
    if not 0 < command.quota.weight < math.inf:
        return Refused(reason="the weight of a quota must be a number above 0")
    find_account(state, command.tenant).quota = command.quota
    return Done()


@work_commands.applies(SetEstimates)
def set_estimates(state: WorkState, command: SetEstimates) -> Reply:
    """Store the latest estimates."""
    for size in command.sizes:
        keep_latest(state.sizes, size.key, size, MAX_SIZES)
    for harm in command.harm:
        keep_latest(state.harm, make_harm_key(harm), harm, MAX_HARM)
    return Done()


def keep_latest(kept: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int) -> None:
    """Store a value as the most recent one and drop the oldest beyond ``limit``."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > limit:
        del kept[next(iter(kept))]


def make_harm_key(harm: HarmEstimate) -> str:
    """Return the key under which the state stores a harm estimate."""
    return f"{harm.service}/{harm.batch_kind}/{harm.band}"
