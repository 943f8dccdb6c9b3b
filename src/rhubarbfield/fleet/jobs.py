"""Delegation of jobs: each is with one failure domain at a time."""

from __future__ import annotations

from datetime import datetime, timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.registry import fleet_commands
from rhubarbfield.fleet.state import OPEN_JOB_STATES, FleetJob, FleetState, Mark
from rhubarbfield.machine import Command, Done, Refused, Reply
from rhubarbfield.types import Epoch, FailureDomain, JobId, JobState

FINISHED_JOB_RETENTION = timedelta(days=1)
MOST_JOBS = 20_000
JOBS_KEPT_OF_FULL = 18_000
SWEEP_INTERVAL = timedelta(minutes=10)


class DelegateJob(Command, frozen=True):
    """Give a job to a failure domain, under a new epoch.

    Attributes
    ----------
    job
        A job that no domain has, or whose domain was declared lost.
    domain
        Who gets it.
    at
        Wall time of the leader.
    """

    job: JobId
    domain: FailureDomain
    at: datetime


class ReleaseJob(Command, frozen=True):
    """A failure domain gives a job back, after its own log says so.

    Attributes
    ----------
    job, domain, epoch
        Which job, from whom, under which delegation.
    reason
        Why, for a person.
    at
        Wall time of the leader.
    """

    job: JobId
    domain: FailureDomain
    epoch: Epoch
    reason: str
    at: datetime


class ReportJob(Command, frozen=True):
    """A failure domain says that a job has started.

    Attributes
    ----------
    job, domain, epoch
        Which job, from whom, under which delegation.
    """

    job: JobId
    domain: FailureDomain
    epoch: Epoch


class FinishJob(Command, frozen=True):
    """A failure domain says how a job has ended.

    Attributes
    ----------
    job, domain, epoch
        Which job, from whom, under which delegation.
    state
        One that is not open.
    reason
        Why, for a person.
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
    """The job is with the domain.

    Attributes
    ----------
    epoch
        What the domain has to name in everything it says of the job.
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
    """Put an open job into a state that is not open.

    Parameters
    ----------
    job
        Changed in place.
    state
        How it ended.
    at
        When.
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
        return _finish_again(job, command)
    job = _find_delegated(state, command)
    if job is None:
        return Refused(reason=_refuse_epoch(command))
    if command.state in OPEN_JOB_STATES:
        return Refused(reason=f"a job does not end {command.state}")
    job.reason = command.reason
    end_job(job, command.state, command.at)
    return Done()


def _finish_again(job: FleetJob, command: FinishJob) -> Reply:
    same = (job.domain, job.epoch, job.state) == (
        command.domain,
        command.epoch,
        command.state,
    )
    return Done() if same else Refused(reason=f"job {job.id} ended {job.state}")


def cancel_job(job: FleetJob, mark: Mark, *, is_held: bool) -> None:
    """Cancel an open job, or have its domain told to end it.

    Parameters
    ----------
    job
        Changed in place.
    mark
        Whose command, and when.
    is_held
        Whether a failure domain has the job and has to end it first.
    """
    job.cancelling = True
    job.reason = f"cancelled by {mark.operator}, command {mark.number}"
    if not is_held:
        end_job(job, JobState.CANCELLED, mark.at)


def make_room_for_job(state: FleetState, now: datetime) -> None:
    """Drop jobs that ended long ago; if that is not enough, the oldest ended ones.

    Looks through all jobs only now and then, so that a command costs the same
    however many there are.

    Parameters
    ----------
    state
        Changed in place.
    now
        The time that the command carries.
    """
    full = len(state.jobs) >= MOST_JOBS
    if not full and abs(now - state.jobs_swept_at) < SWEEP_INTERVAL:
        return
    state.jobs_swept_at = now
    surplus = len(state.jobs) - JOBS_KEPT_OF_FULL if full else 0
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
