"""The command that applies workers' reports on their attempts."""

from __future__ import annotations

from datetime import datetime

from rhubarbfield.machine import Reply
from rhubarbfield.placement._workers import PROBE_INTERVAL
from rhubarbfield.placement.commands import (
    AttemptReport,
    ReportAttempts,
    work_commands,
)
from rhubarbfield.placement.invariants import check_task, check_worker
from rhubarbfield.placement.replies import AttemptsReported, Eviction
from rhubarbfield.placement.state import (
    Attempt,
    Job,
    QuarantineState,
    Task,
    TaskState,
    Worker,
    WorkState,
)
from rhubarbfield.placement.transitions import (
    OPEN_JOB_STATES,
    STABLE_RUN_TIME,
    end_attempt,
    evict_live,
    find_backoff,
    finish_job_if_done,
    requeue_task,
    stop_job,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    JobState,
    TaskId,
    WorkerId,
)

# A job also fails once one of its tasks failed this many times ``max_failures``.
FAILURES_PER_WORKER = 4
SUSPECT_JOBS = 2  # a worker is unreliable if tasks of this many jobs fail in a row
MAX_FAILED_JOBS = 8  # remembered per worker
IN_PLACE_STATES = (AttemptState.RUNNING, AttemptState.HELD)
ENDING_STATES = (AttemptState.EVICTED, AttemptState.SUCCEEDED, AttemptState.FAILED)


@work_commands.applies(ReportAttempts)
def report_attempts(state: WorkState, command: ReportAttempts) -> Reply:
    """Apply workers' reports in order."""
    ignored: list[AttemptId] = []
    stopping: list[Eviction] = []
    changed_tasks: dict[TaskId, bool] = {}
    changed_workers: dict[WorkerId, bool] = {}
    for report in command.reports:
        worker = state.workers.get(report.worker)
        task_id = worker.live.get(report.attempt) if worker else None
        if worker is None or task_id is None or worker.epoch != report.epoch:
            ignored.append(report.attempt)
            continue
        stopping += _apply_report(state, state.tasks[task_id], report, command.at)
        changed_tasks[task_id] = True
        changed_workers[report.worker] = True
    for task_id in changed_tasks:
        check_task(state, state.tasks[task_id])
    for name in changed_workers:
        check_worker(state, state.workers[name])
    return AttemptsReported(ignored=tuple(ignored), stopping=tuple(stopping))


def _apply_report(
    state: WorkState, task: Task, report: AttemptReport, at: datetime
) -> list[Eviction]:
    attempt = task.live
    assert attempt is not None
    if report.checkpoint is not None:
        _keep_checkpoint(task, attempt, report.checkpoint, at)
    if report.state in IN_PLACE_STATES:
        if attempt.state is not AttemptState.EVICTING:
            attempt.state = report.state
        return []
    if report.state not in ENDING_STATES:
        return []
    job = state.jobs[task.job]
    cancelled = job.state not in OPEN_JOB_STATES
    ending = report.state
    if cancelled and ending is AttemptState.EVICTED:
        ending = AttemptState.CANCELLED
    end_attempt(state, task, ending, at, report.reason)
    worker = state.workers[attempt.worker]
    if report.state is AttemptState.SUCCEEDED:
        _record_success(state, job, task, attempt, worker)
    elif report.state is AttemptState.FAILED:
        return _record_failure(state, job, task, attempt, worker)
    else:
        requeue_task(state, task, at)
    finish_job_if_done(job, at)
    if job.spec.gang and report.state is not AttemptState.SUCCEEDED:
        return evict_live(state, job, "another task of its gang ended")
    return []


def _keep_checkpoint(
    task: Task, attempt: Attempt, checkpoint: CheckpointId, at: datetime
) -> None:
    task.checkpoint = checkpoint
    attempt.checkpoint_at = at


def _record_success(
    state: WorkState, job: Job, task: Task, attempt: Attempt, worker: Worker
) -> None:
    """Record a success of the task and its worker; requeue a task of endless work.

    The worker's earlier failures are attributed to their jobs, and the worker
    leaves quarantine.
    """
    for job_id, failures in worker.failed_jobs.items():
        if job_id in state.jobs:
            state.jobs[job_id].attributed_failures += failures
    worker.failed_jobs.clear()
    worker.quarantine = QuarantineState.TRUSTED
    if worker.worker not in job.proven_on and len(job.proven_on) < SUSPECT_JOBS:
        job.proven_on.append(worker.worker)
    if job.spec.endless:
        _restart(state, task, attempt)
        return
    task.state = TaskState.SUCCEEDED
    job.succeeded += 1


def _restart(state: WorkState, task: Task, attempt: Attempt) -> None:
    """Requeue a task of endless work, with a backoff that grows after short runs."""
    ended_at = attempt.ended_at or attempt.started_at
    if ended_at - attempt.started_at >= STABLE_RUN_TIME:
        task.failures = 0
    task.failures += 1
    requeue_task(state, task, ended_at, find_backoff(task.failures))


def _record_failure(
    state: WorkState, job: Job, task: Task, attempt: Attempt, worker: Worker
) -> list[Eviction]:
    """Count a failure against the worker, the task or both.

    A failure on a quarantined worker counts against the worker alone.
    """
    at = attempt.ended_at or attempt.started_at
    quarantined = worker.quarantine is QuarantineState.QUARANTINED
    failures = worker.failed_jobs
    if job.spec.job in failures or len(failures) < MAX_FAILED_JOBS:
        failures[job.spec.job] = failures.get(job.spec.job, 0) + 1
    if quarantined:
        worker.probe_not_before = at + PROBE_INTERVAL
        requeue_task(state, task, at)
    elif job.spec.endless:
        _restart(state, task, attempt)
    else:
        task.failures += 1
        if worker.worker not in task.failed_on:
            task.failed_on.append(worker.worker)
        if job.state in OPEN_JOB_STATES and _has_failed_enough(state, job, task):
            task.state = TaskState.FAILED
            reason = f"task {task.task} failed on {', '.join(task.failed_on)}"
            return stop_job(state, job, JobState.FAILED, at, reason)
        requeue_task(state, task, at, find_backoff(task.failures))
    finish_job_if_done(job, at)
    if not job.spec.gang:
        return []
    return evict_live(state, job, "another task of its gang failed")


def _has_failed_enough(state: WorkState, job: Job, task: Task) -> bool:
    """Return whether a task failed on enough reliable workers or often enough."""
    limit = max(1, job.spec.max_failures)
    reliable = sum(is_reliable(state, name) for name in task.failed_on)
    return reliable >= limit or task.failures >= limit * FAILURES_PER_WORKER


def is_reliable(state: WorkState, name: WorkerId) -> bool:
    """Return whether failures on a worker should count against the work.

    They should not if the worker was removed or is quarantined, or if tasks of
    several jobs have failed on it since its last success.
    """
    worker = state.workers.get(name)
    if worker is None or worker.quarantine is QuarantineState.QUARANTINED:
        return False
    return len(worker.failed_jobs) < SUSPECT_JOBS
