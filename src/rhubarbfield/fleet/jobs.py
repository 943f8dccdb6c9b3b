"""Delegation of jobs, each to one failure domain at a time."""

from __future__ import annotations

from datetime import datetime, timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.registry import fleet_commands
from rhubarbfield.fleet.state import (
    OPEN_JOB_STATES,
    CommandOrigin,
    FleetJob,
    FleetState,
)
from rhubarbfield.machine import Command, Done, Refused, Reply
from rhubarbfield.types import Epoch, FailureDomain, JobId, JobState

FINISHED_JOB_RETENTION = timedelta(days=1)
MAX_JOBS = 20_000
JOBS_KEPT_WHEN_FULL = 18_000
SWEEP_INTERVAL = timedelta(minutes=10)


class DelegateJob(Command, frozen=True):
    """Delegate a job to a failure domain under a new epoch.

    Attributes
    ----------
    job
        A job that no domain holds, or whose domain was declared lost.
    domain
        The domain that gets the job.
    at
        Wall time of the leader.
    """

    job: JobId
    domain: FailureDomain
    at: datetime


class ReleaseJob(Command, frozen=True):
    """A failure domain returns a job after committing so to its own log.

    Attributes
    ----------
    job, domain, epoch
        The job, the domain that sends this, and the epoch of its delegation.
    reason
        The reason, as shown to operators.
    at
        Wall time of the leader.
    """

    job: JobId
    domain: FailureDomain
    epoch: Epoch
    reason: str
    at: datetime


class ReportJob(Command, frozen=True):
    """A failure domain reports that a job has started.

    Attributes
    ----------
    job, domain, epoch
        The job, the domain that sends this, and the epoch of its delegation.
    """

    job: JobId
    domain: FailureDomain
    epoch: Epoch


class FinishJob(Command, frozen=True):
    """A failure domain reports how a job has ended.

    Attributes
    ----------
    job, domain, epoch
        The job, the domain that sends this, and the epoch of its delegation.
    state
        The final state; not an open one.
    reason
        The reason, as shown to operators.
    at
        Wall time of the leader.
    """

    job: JobId
    domain: FailureDomain
    epoch: Epoch
    state: JobState
    reason: str
    at: datetime


class Delegated(Reply, frozen=True):
    """The job is delegated to the domain.

    Attributes
    ----------
    epoch
        The epoch that the domain's commands about the job have to carry.
    """

    epoch: Epoch


@fleet_commands.applies(DelegateJob)
def _apply_delegate(state: FleetState, command: DelegateJob) -> Reply:
    job = state.jobs.get(command.job)
    if job is None or not job.is_open:
        return Refused(reason=f"there is no open job {command.job}")
    if command.domain in state.lost_domains:
        return Refused(reason=f"failure domain {command.domain} is declared lost")
    if job.request.domain not in (None, command.domain):
        return Refused(reason=f"the job has to run in {job.request.domain}")
    if job.domain == command.domain:
        return Delegated(epoch=job.epoch)
    if job.domain is not None and job.domain not in state.lost_domains:
        return Refused(reason=f"failure domain {job.domain} has not released it")
    return _delegate(job, command)


def _delegate(job: FleetJob, command: DelegateJob) -> Reply:
    if job.cancelling:
        end_job(job, JobState.CANCELLED, command.at)
        return Refused(reason=f"job {job.id} is cancelled")
    job.epoch = Epoch(job.epoch + 1)
    job.domain = command.domain
    job.state = JobState.QUEUED
    job.reason = f"delegated to {command.domain}"
    return Delegated(epoch=job.epoch)


def end_job(job: FleetJob, state: JobState, at: datetime) -> None:
    """End an open job.

    Parameters
    ----------
    job
        Changed in place.
    state
        The final state.
    at
        Time of the end.
    """
    check_invariant(job.is_open, "job-ends-once", job.id)
    job.state = state
    job.finished_at = at


@fleet_commands.applies(ReleaseJob)
def _apply_release(state: FleetState, command: ReleaseJob) -> Reply:
    job = _find_delegated(state, command)
    if job is None:
        return Refused(reason=_refuse_epoch(command))
    job.domain = None
    job.state = JobState.QUEUED
    job.reason = command.reason
    if job.cancelling:
        end_job(job, JobState.CANCELLED, command.at)
    return Done()


@fleet_commands.applies(ReportJob)
def _apply_report(state: FleetState, command: ReportJob) -> Reply:
    job = _find_delegated(state, command)
    if job is None:
        return Refused(reason=_refuse_epoch(command))
    job.state = JobState.RUNNING
    job.reason = f"running in {command.domain}"
    return Done()


@fleet_commands.applies(FinishJob)
def _apply_finish(state: FleetState, command: FinishJob) -> Reply:
    job = state.jobs.get(command.job)
    if job is not None and not job.is_open:
        return _answer_repeated_finish(job, command)
    job = _find_delegated(state, command)
    if job is None:
        return Refused(reason=_refuse_epoch(command))
    if command.state in OPEN_JOB_STATES:
        return Refused(reason=f"a job does not end {command.state}")
    job.reason = command.reason
    end_job(job, command.state, command.at)
    return Done()


def _answer_repeated_finish(job: FleetJob, command: FinishJob) -> Reply:
    same = (job.domain, job.epoch, job.state) == (
        command.domain,
        command.epoch,
        command.state,
    )
    return Done() if same else Refused(reason=f"job {job.id} ended {job.state}")


def cancel_job(job: FleetJob, origin: CommandOrigin, *, is_held: bool) -> None:
    """Cancel an open job, or mark it so that its domain ends it.

    Parameters
    ----------
    job
        Changed in place.
    origin
        The command that cancels the job.
    is_held
        Whether a failure domain holds the job and has to end it first.
    """
    job.cancelling = True
    job.reason = f"cancelled by {origin.operator}, command {origin.number}"
    if not is_held:
        end_job(job, JobState.CANCELLED, origin.at)


def prune_ended_jobs(state: FleetState, now: datetime) -> None:
    """Drop jobs that ended long ago and, if the table is full, the oldest ended ones.

    All jobs are examined at most once in ``SWEEP_INTERVAL`` unless the table is
    full, so that the cost of a command doesn't grow with the number of jobs.

    Parameters
    ----------
    state
        Changed in place.
    now
        The time of the command.
    """
    full = len(state.jobs) >= MAX_JOBS
    if not full and abs(now - state.jobs_swept_at) < SWEEP_INTERVAL:
        return
    state.jobs_swept_at = now
    surplus = len(state.jobs) - JOBS_KEPT_WHEN_FULL if full else 0
    oldest = now - FINISHED_JOB_RETENTION
    for key, job in list(state.jobs.items()):
        if job.is_open:
            continue
        if surplus > 0 or (job.finished_at is not None and job.finished_at < oldest):
            del state.jobs[key]
            surplus -= 1


def _find_delegated(
    state: FleetState, command: ReleaseJob | ReportJob | FinishJob
) -> FleetJob | None:
    job = state.jobs.get(command.job)
    if job is None or not job.is_open:
        return None
    current = (job.domain, job.epoch) == (command.domain, command.epoch)
    return job if current else None


def _refuse_epoch(command: ReleaseJob | ReportJob | FinishJob) -> str:
    return f"job {command.job} is not with {command.domain} under epoch {command.epoch}"
