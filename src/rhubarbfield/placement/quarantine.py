"""Judging workers by work that succeeds elsewhere."""

from __future__ import annotations

import math
from datetime import datetime

from rhubarbfield.placement._starts import may_probe
from rhubarbfield.placement.commands import SetQuarantine
from rhubarbfield.placement.fleet import Fleet, Seat
from rhubarbfield.placement.state import (
    Job,
    QuarantineState,
    Task,
    Worker,
    WorkState,
)
from rhubarbfield.types import Priority, TaskId, WorkKind

LEAST_FAILURES = 3
LEAST_WEIGHT = math.log(1000)


def weigh_failures(state: WorkState, worker: Worker) -> float:
    """Return how unlikely a worker's failures since its last success are.

    The figure is the negative logarithm of the chance that a good worker would
    have failed the same. Only jobs that succeed elsewhere count, each by how
    often it fails on workers that are good.
    """
    weight = 0.0
    for job_id, failures in worker.failed_jobs.items():
        job = state.jobs.get(job_id)
        if job is not None and _is_proven_elsewhere(job, worker):
            tried = job.absolved + job.succeeded
            weight -= failures * math.log((job.absolved + 1) / (tried + 2))
    return weight


def _is_proven_elsewhere(job: Job, worker: Worker) -> bool:
    return any(name != worker.worker for name in job.proven_on)


def judge_workers(state: WorkState, now: datetime) -> list[SetQuarantine]:
    """Return quarantines for workers that fail everything they start."""
    found = []
    for worker in state.workers.values():
        if not worker.present or worker.quarantine is QuarantineState.QUARANTINED:
            continue
        failures = sum(worker.failed_jobs.values())
        if failures < LEAST_FAILURES:
            continue
        if weigh_failures(state, worker) >= LEAST_WEIGHT:
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


def find_probe(fleet: Fleet, seat: Seat, taken: set[TaskId]) -> Task | None:
    """Return a task to try a quarantined worker with, if its time has come.

    Only batch work that has succeeded elsewhere is used, so that the worker
    alone is judged by it.
    """
    if seat.worker.draining or seat.name in fleet.view.silent:
        return None
    if not may_probe(fleet.state, seat.worker, fleet.now):
        return None
    for job_id in fleet.state.waiting:
        job = fleet.state.jobs[job_id]
        if not _is_probe(job, seat):
            continue
        for task_id in reversed(job.pending):
            task = fleet.state.tasks[task_id]
            if task_id not in taken and _may_go(task, seat, fleet.now):
                return task
    return None


def _is_probe(job: Job, seat: Seat) -> bool:
    spec = job.spec
    plain = spec.kind is WorkKind.BATCH and not spec.gang
    lasting = spec.priority is not Priority.URGENT
    return plain and lasting and _is_proven_elsewhere(job, seat.worker)


def _may_go(task: Task, seat: Seat, now: datetime) -> bool:
    return task.not_before <= now and seat.name not in task.failed_on
