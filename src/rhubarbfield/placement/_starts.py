"""The command that starts attempts."""

from __future__ import annotations

from datetime import datetime

from rhubarbfield.machine import Reply
from rhubarbfield.placement.commands import (
    AttemptStart,
    StartAttempts,
    work_commands,
)
from rhubarbfield.placement.invariants import check_task, check_worker
from rhubarbfield.placement.replies import (
    AttemptsStarted,
    RefusedStart,
    StartedAttempt,
    StartRefusal,
)
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
    end_attempt,
    find_account,
    remove_from_queue,
    requeue_task,
)
from rhubarbfield.types import AttemptId, AttemptState, JobId, JobState, TaskId


@work_commands.applies(StartAttempts)
def start_attempts(state: WorkState, command: StartAttempts) -> Reply:
    """Start attempts that are still possible; gangs start as a whole or not at all."""
    started: list[StartedAttempt] = []
    refused: list[RefusedStart] = []
    gangs: dict[JobId, list[AttemptStart]] = {}
    for start in command.starts:
        task = state.tasks.get(start.task)
        if task is not None and state.jobs[task.job].spec.gang:
            gangs.setdefault(task.job, []).append(start)
            continue
        refusal = _start_one(state, start, command.at, started)
        if refusal is not None:
            refused.append(RefusedStart(start.task, refusal))
    for job_id, starts in gangs.items():
        refused += _start_gang(state, state.jobs[job_id], starts, command.at, started)
    for attempt in started:
        check_task(state, state.tasks[attempt.task])
    for name in dict.fromkeys(attempt.worker for attempt in started):
        check_worker(state, state.workers[name])
    return AttemptsStarted(started=tuple(started), refused=tuple(refused))


def _start_gang(
    state: WorkState,
    job: Job,
    starts: list[AttemptStart],
    at: datetime,
    started: list[StartedAttempt],
) -> list[RefusedStart]:
    """Start all pending tasks of a gang, or undo the starts if one is refused."""
    whole = not job.live and {start.task for start in starts} == set(job.pending)
    begun: list[StartedAttempt] = []
    refusal = None if whole else StartRefusal.GANG_INCOMPLETE
    for start in starts if whole else ():
        refusal = _start_one(state, start, at, begun)
        if refusal is not None:
            break
    if refusal is None:
        started += begun
        return []
    for attempt in begun:
        _undo_start(state, state.tasks[attempt.task], at)
    return [RefusedStart(start.task, refusal) for start in starts]


def _undo_start(state: WorkState, task: Task, at: datetime) -> None:
    end_attempt(state, task, AttemptState.CANCELLED, at, "gang did not fit")
    task.past.pop()
    task.attempts_made -= 1
    requeue_task(state, task, at)
    job = state.jobs[task.job]
    if not job.live and not job.succeeded:
        job.state = JobState.QUEUED


def _start_one(
    state: WorkState, start: AttemptStart, at: datetime, started: list[StartedAttempt]
) -> StartRefusal | None:
    refusal = _refuse_start(state, start, at)
    if refusal is not None:
        return refusal
    task = state.tasks[start.task]
    worker = state.workers[start.worker]
    job = state.jobs[task.job]
    account = find_account(state, job.spec.tenant)
    task.attempts_made += 1
    attempt = Attempt(
        attempt=AttemptId(f"{task.task}#{task.attempts_made}"),
        worker=worker.worker,
        epoch=worker.epoch,
        state=AttemptState.STARTING,
        size=start.size,
        started_at=at,
        checkpoint_at=at,
        resumed_from=task.checkpoint,
        decision=start.decision,
    )
    task.live = attempt
    task.state = TaskState.LIVE
    remove_from_queue(state, job, task)
    job.live[task.task] = True
    job.state = JobState.RUNNING
    worker.live[attempt.attempt] = task.task
    worker.committed = worker.committed + start.size
    account.used = account.used + start.size
    started.append(describe_start(attempt, task.task))
    return None


def describe_start(attempt: Attempt, task: TaskId) -> StartedAttempt:
    """Return the message that orders a worker to start an attempt."""
    return StartedAttempt(
        attempt=attempt.attempt,
        task=task,
        worker=attempt.worker,
        epoch=attempt.epoch,
        size=attempt.size,
        checkpoint=attempt.resumed_from,
    )


def _refuse_start(
    state: WorkState, start: AttemptStart, at: datetime
) -> StartRefusal | None:
    task = state.tasks.get(start.task)
    if task is None or task.state is not TaskState.PENDING:
        return StartRefusal.NOT_PENDING
    if at < task.not_before:
        return StartRefusal.TOO_EARLY
    account = find_account(state, state.jobs[task.job].spec.tenant)
    limit = account.quota.limit
    if limit is not None and not (account.used + start.size).fits(limit):
        return StartRefusal.OVER_QUOTA
    return _refuse_worker(state, start, at)


def _refuse_worker(
    state: WorkState, start: AttemptStart, at: datetime
) -> StartRefusal | None:
    worker = state.workers.get(start.worker)
    if worker is None or not worker.present:
        return StartRefusal.WORKER_ABSENT
    if worker.draining:
        return StartRefusal.WORKER_DRAINING
    quarantined = worker.quarantine is QuarantineState.QUARANTINED
    if quarantined and not may_probe(state, worker, at):
        return StartRefusal.QUARANTINED
    if not (worker.committed + start.size).fits(worker.announced):
        return StartRefusal.NO_ROOM
    return None


def may_probe(state: WorkState, worker: Worker, at: datetime) -> bool:
    """Return whether a quarantined worker may get a probe now; one runs at a time."""
    if at < worker.probe_not_before:
        return False
    for task_id in worker.live.values():
        attempt = state.tasks[task_id].live
        if attempt is not None and attempt.started_at >= worker.quarantined_at:
            return False
    return True
