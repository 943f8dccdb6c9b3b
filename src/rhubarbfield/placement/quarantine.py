"""Detection of failing workers by jobs that succeed on other workers."""

from __future__ import annotations

import math
from datetime import datetime

from rhubarbfield.placement._starts import may_probe
from rhubarbfield.placement.commands import SetQuarantine
from rhubarbfield.placement.fleet import Fleet, PlannedWorker
from rhubarbfield.placement.state import (
    Job,
    QuarantineState,
    Task,
    Worker,
    WorkState,
)
from rhubarbfield.types import Priority, TaskId, WorkKind

MIN_FAILURES = 3
MIN_FAILURE_SCORE = math.log(1000)  # a chance of 1 in 1000 on a good worker


def score_failures(state: WorkState, worker: Worker) -> float:
    """Return how improbable a worker's failures since its last success are.

    The score is the negative logarithm of the probability of the same failures on
    a good worker. Only jobs that succeed on other workers count, each with the
    rate at which it fails on good workers.
    """
    score = 0.0
    for job_id, failures in worker.failed_jobs.items():
        job = state.jobs.get(job_id)
        if job is not None and _is_proven_elsewhere(job, worker):
            total = job.attributed_failures + job.succeeded
            score -= failures * math.log((job.attributed_failures + 1) / (total + 2))
    return score


def _is_proven_elsewhere(job: Job, worker: Worker) -> bool:
    return any(name != worker.worker for name in job.proven_on)


def find_failing_workers(state: WorkState, now: datetime) -> list[SetQuarantine]:
    """Return commands to quarantine workers with improbably many failures."""
    found = []
    for worker in state.workers.values():
        if not worker.present or worker.quarantine is QuarantineState.QUARANTINED:
            continue
        failures = sum(worker.failed_jobs.values())
        if failures < MIN_FAILURES:
            continue
        if score_failures(state, worker) >= MIN_FAILURE_SCORE:
            reason = f"failed {failures} tasks in a row of jobs that succeed elsewhere"
            found.append(
                SetQuarantine(
                    at=now,
                    worker=worker.worker,
                    state=QuarantineState.QUARANTINED,
                    reason=reason,
                )
            )
    return found


def find_probe(
    fleet: Fleet, planned: PlannedWorker, planned_tasks: set[TaskId]
) -> Task | None:
    """Return a task with which to probe a quarantined worker, if a probe is due.

    Only batch work that has succeeded on another worker is used, so that a failure
    is evidence against the worker alone.
    """
    if planned.worker.draining or planned.name in fleet.observations.unreachable:
        return None
    if not may_probe(fleet.state, planned.worker, fleet.now):
        return None
    for job_id in fleet.state.waiting:
        job = fleet.state.jobs[job_id]
        if not _is_suitable_probe(job, planned):
            continue
        for task_id in reversed(job.pending):
            task = fleet.state.tasks[task_id]
            if task_id not in planned_tasks and _may_run_on(task, planned, fleet.now):
                return task
    return None


def _is_suitable_probe(job: Job, planned: PlannedWorker) -> bool:
    spec = job.spec
    suitable = spec.kind is WorkKind.BATCH and not spec.gang
    not_urgent = spec.priority is not Priority.URGENT
    return suitable and not_urgent and _is_proven_elsewhere(job, planned.worker)


def _may_run_on(task: Task, planned: PlannedWorker, now: datetime) -> bool:
    return task.not_before <= now and planned.name not in task.failed_on
