"""State transitions of tasks, jobs and workers that several commands share."""

from __future__ import annotations

from datetime import datetime, timedelta

from rhubarbfield.placement.invariants import (
    check_account,
    count_quarantined,
    limit_quarantined,
)
from rhubarbfield.placement.replies import (
    Eviction,
)
from rhubarbfield.placement.state import (
    HISTORY_LIMIT,
    Account,
    Attempt,
    Job,
    QuarantineState,
    Task,
    TaskState,
    Worker,
    WorkState,
)
from rhubarbfield.types import AttemptState, JobId, JobState, TaskId, Tenant

NO_BACKOFF = timedelta()
FIRST_BACKOFF = timedelta(seconds=1)
MAX_BACKOFF = timedelta(minutes=5)
STABLE_RUN_TIME = timedelta(minutes=10)  # a run of this length resets the backoff
MAX_BACKOFF_DOUBLINGS = 9
OPEN_JOB_STATES = (JobState.QUEUED, JobState.RUNNING)


def make_task_id(job: JobId, index: int) -> TaskId:
    """Return the id of a job's task; ``index`` counts from 0."""
    return TaskId(f"{job}/{index}")


def find_account(state: WorkState, tenant: Tenant) -> Account:
    """Return the tenant's account; create it if there is none."""
    return state.accounts.setdefault(tenant, Account())


def find_backoff(failures: int) -> timedelta:
    """Return the delay before the next attempt after a number of failures."""
    doublings = min(max(0, failures - 1), MAX_BACKOFF_DOUBLINGS)
    return min(FIRST_BACKOFF * 2**doublings, MAX_BACKOFF)


def count_loss(task: Task, attempt: Attempt, at: datetime) -> timedelta:
    """Count a lost worker for a task; return the delay before its next attempt.

    A task that ends the workers that start it must not end one after the other; one
    loss may have any cause, and delays nothing.
    """
    if at - attempt.started_at >= STABLE_RUN_TIME:
        task.losses = 0
    task.losses += 1
    return find_backoff(task.losses - 1) if task.losses > 1 else NO_BACKOFF


def update_capacity(worker: Worker) -> None:
    """Set a worker's capacity to what it announced, but not below commitments."""
    worker.capacity = worker.announced.enlarge(worker.committed)


def begin_eviction(attempt: Attempt, reason: str) -> Eviction | None:
    """Mark an attempt as being evicted; return ``None`` if it is already."""
    if attempt.state is AttemptState.EVICTING:
        return None
    attempt.state = AttemptState.EVICTING
    attempt.end_reason = reason
    return Eviction(attempt.attempt, attempt.worker, reason)


def evict_live(state: WorkState, job: Job, reason: str) -> list[Eviction]:
    """Mark all live attempts of a job as being evicted; return the new evictions."""
    evictions = []
    for task_id in job.live:
        attempt = state.tasks[task_id].live
        eviction = begin_eviction(attempt, reason) if attempt else None
        if eviction is not None:
            evictions.append(eviction)
    return evictions


def end_attempt(
    state: WorkState, task: Task, ending: AttemptState, at: datetime, reason: str
) -> Attempt:
    """Move a task's live attempt to its history and release its commitment."""
    attempt = task.live
    assert attempt is not None
    worker = state.workers[attempt.worker]
    job = state.jobs[task.job]
    account = find_account(state, job.spec.tenant)
    attempt.state = ending
    attempt.ended_at = at
    attempt.end_reason = reason or attempt.end_reason
    worker.live.pop(attempt.attempt)
    worker.committed = worker.committed - attempt.size
    update_capacity(worker)
    account.used = account.used - attempt.size
    check_account(account)
    job.live.pop(task.task)
    task.live = None
    task.past.append(attempt)
    del task.past[:-HISTORY_LIMIT]
    return attempt


def requeue_task(
    state: WorkState, task: Task, at: datetime, backoff: timedelta = NO_BACKOFF
) -> None:
    """Queue a task for its next attempt, or cancel it if its job has ended."""
    job = state.jobs[task.job]
    if job.state not in OPEN_JOB_STATES:
        task.state = TaskState.CANCELLED
        return
    task.state = TaskState.PENDING
    task.queued_at = at
    task.not_before = at + backoff
    job.pending[task.task] = True
    state.waiting[task.job] = True


def remove_from_queue(state: WorkState, job: Job, task: Task) -> None:
    """Remove a task from the pending tasks of its job."""
    job.pending.pop(task.task)
    if not job.pending:
        state.waiting.pop(job.spec.job, None)


def stop_job(
    state: WorkState, job: Job, ending: JobState, at: datetime, reason: str
) -> list[Eviction]:
    """End a job: cancel pending tasks and evict live attempts."""
    job.state = ending
    job.reason = reason
    for task_id in job.pending:
        state.tasks[task_id].state = TaskState.CANCELLED
    job.pending.clear()
    state.waiting.pop(job.spec.job, None)
    evictions = evict_live(state, job, reason)
    finish_job_if_done(job, at)
    return evictions


def finish_job_if_done(job: Job, at: datetime) -> None:
    """Finish a job if none of its tasks is pending or live."""
    if job.pending or job.live or job.finished_at is not None:
        return
    if job.state in OPEN_JOB_STATES:
        whole = job.succeeded == job.spec.tasks
        job.state = JobState.SUCCEEDED if whole else JobState.FAILED
    job.finished_at = at


def release_excess_quarantined(state: WorkState) -> None:
    """Release the workers longest in quarantine until the limit is met."""
    excess = count_quarantined(state) - limit_quarantined(state)
    if excess <= 0:
        return
    quarantined = [
        worker
        for worker in state.workers.values()
        if worker.present and worker.quarantine is QuarantineState.QUARANTINED
    ]
    quarantined.sort(key=lambda worker: (worker.quarantined_at, worker.worker))
    for worker in quarantined[:excess]:
        worker.quarantine = QuarantineState.TRUSTED
        worker.failed_jobs.clear()
