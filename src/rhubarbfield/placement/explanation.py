"""Explanations of where a task runs, why there, and why not on other workers."""

from __future__ import annotations

from datetime import datetime

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.placement.decision import Decision, RejectionReason
from rhubarbfield.placement.fleet import name_shortage
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.runnable import check_runnable, find_usable
from rhubarbfield.placement.state import (
    Attempt,
    QuarantineState,
    Task,
    TaskState,
    Worker,
    WorkState,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    JobId,
    JobState,
    TaskId,
    WorkerId,
)


class UnknownTask(msgspec.Struct, frozen=True):
    """The task does not exist, or its job was removed after it had ended."""

    task: TaskId


class AttemptRecord(msgspec.Struct, frozen=True):
    """One attempt, in the form shown to people."""

    attempt: AttemptId
    worker: WorkerId
    state: AttemptState
    size: Resources
    started_at: datetime
    ended_at: datetime | None
    resumed_from: CheckpointId | None
    reason: str
    decision: Decision


class WorkerReason(msgspec.Struct, frozen=True):
    """Why the task is not on one worker.

    Attributes
    ----------
    score
        Cost of the worker when the task was placed, if it was recorded.
    """

    worker: WorkerId
    reason: RejectionReason
    score: float | None = None


class Explanation(msgspec.Struct, frozen=True):
    """State, attempts and placement of a task.

    Attributes
    ----------
    worker
        The worker of the live attempt, if there is one.
    summary
        Where the task is and why, as a sentence.
    live
        The attempt whose end is not proved, with the recorded decision.
    past
        Ended attempts, oldest first; only the latest ``HISTORY_LIMIT`` are kept.
    other_workers
        Every other worker with the reason why the task is not there, by the
        present state.
    """

    task: TaskId
    job: JobId
    job_state: JobState
    state: TaskState
    worker: WorkerId | None
    summary: str
    live: AttemptRecord | None
    past: tuple[AttemptRecord, ...]
    other_workers: tuple[WorkerReason, ...]


def explain_task(state: WorkState, task: TaskId) -> Result[Explanation, UnknownTask]:
    """Explain a task from the records in the replicated state.

    Parameters
    ----------
    state
        The replicated state; the explanation is as of its log position.
    task
        The task.
    """
    known = state.tasks.get(task)
    if known is None:
        return Failure(UnknownTask(task))
    job = state.jobs[known.job]
    live = known.live
    return Success(
        Explanation(
            task=task,
            job=known.job,
            job_state=job.state,
            state=known.state,
            worker=live.worker if live else None,
            summary=_summarise(state, known),
            live=_make_record(live) if live else None,
            past=tuple(_make_record(attempt) for attempt in known.past),
            other_workers=_list_other_workers(state, known),
        )
    )


def _make_record(attempt: Attempt) -> AttemptRecord:
    return AttemptRecord(
        attempt=attempt.attempt,
        worker=attempt.worker,
        state=attempt.state,
        size=attempt.size,
        started_at=attempt.started_at,
        ended_at=attempt.ended_at,
        resumed_from=attempt.resumed_from,
        reason=attempt.end_reason,
        decision=attempt.decision,
    )


def _summarise(state: WorkState, task: Task) -> str:
    job = state.jobs[task.job]
    if task.live is not None:
        attempt = task.live
        ending = f" ({attempt.end_reason})" if attempt.end_reason else ""
        decision = attempt.decision
        why = decision.reason or "no reason kept"
        return (
            f"{attempt.state} on {attempt.worker}{ending}; "
            f"placed by {decision.strategy}: {why}"
        )
    if task.state is TaskState.PENDING:
        last = f"; last: {task.past[-1].end_reason}" if task.past else ""
        impossible = check_runnable(state, job.spec)
        never = (
            f"; as things are it never runs: {impossible.message}"
            if (impossible)
            else ""
        )
        return f"waits since {task.queued_at.isoformat()}{last}{never}"
    return f"{task.state}; {job.reason}" if job.reason else str(task.state)


def _list_other_workers(state: WorkState, task: Task) -> tuple[WorkerReason, ...]:
    if task.state not in (TaskState.PENDING, TaskState.LIVE):
        return ()
    live = task.live
    here = live.worker if live else None
    size = live.size if live else state.jobs[task.job].spec.declared
    decision = live.decision if live else Decision()
    scores = {other.worker: other.score for other in decision.alternatives}
    return tuple(
        WorkerReason(name, _find_reason(worker, task, size), scores.get(name))
        for name, worker in state.workers.items()
        if name != here
    )


def _find_reason(worker: Worker, task: Task, size: Resources) -> RejectionReason:
    """Return why the task is not on a worker, by the present state."""
    if not worker.present:
        return RejectionReason.ABSENT
    if worker.draining:
        return RejectionReason.DRAINING
    if worker.quarantine is QuarantineState.QUARANTINED:
        return RejectionReason.QUARANTINED
    if worker.worker in task.failed_on:
        return RejectionReason.FAILED_THERE
    headroom = find_usable(worker.announced) - worker.committed
    if not size.fits(headroom):
        return name_shortage(size, headroom)
    return RejectionReason.COSTLIER
