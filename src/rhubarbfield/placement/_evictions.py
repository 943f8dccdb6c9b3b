"""Commands that evict and resize attempts."""

from __future__ import annotations

from rhubarbfield.machine import Reply
from rhubarbfield.placement.commands import (
    EvictAttempts,
    ResizeAttempts,
    work_commands,
)
from rhubarbfield.placement.invariants import check_worker
from rhubarbfield.placement.replies import (
    AttemptsEvicting,
    AttemptsResized,
    Eviction,
)
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import WorkState
from rhubarbfield.placement.transitions import (
    begin_eviction,
    evict_live,
    find_account,
    update_capacity,
)
from rhubarbfield.types import AttemptId, WorkerId


@work_commands.applies(EvictAttempts)
def evict_attempts(state: WorkState, command: EvictAttempts) -> Reply:
    """Begin evictions; a gang is evicted as a whole."""
    evicting: list[Eviction] = []
    refused: list[AttemptId] = []
    for wanted in command.evictions:
        worker = state.workers.get(wanted.worker)
        task_id = worker.live.get(wanted.attempt) if worker else None
        attempt = state.tasks[task_id].live if task_id else None
        eviction = begin_eviction(attempt, wanted.reason) if attempt else None
        if task_id is None or eviction is None:
            refused.append(wanted.attempt)
            continue
        evicting.append(eviction)
        job = state.jobs[state.tasks[task_id].job]
        if job.spec.gang:
            evicting += evict_live(state, job, wanted.reason)
    return AttemptsEvicting(evicting=tuple(evicting), refused=tuple(refused))


@work_commands.applies(ResizeAttempts)
def resize_attempts(state: WorkState, command: ResizeAttempts) -> Reply:
    """Change commitments where the new size fits the worker."""
    resized: list[AttemptId] = []
    refused: list[AttemptId] = []
    for resize in command.resizes:
        if _resize_one(state, resize.worker, resize.attempt, resize.size):
            resized.append(resize.attempt)
        else:
            refused.append(resize.attempt)
    for name in dict.fromkeys(resize.worker for resize in command.resizes):
        if name in state.workers:
            check_worker(state, state.workers[name])
    return AttemptsResized(resized=tuple(resized), refused=tuple(refused))


def _resize_one(
    state: WorkState, name: WorkerId, attempt_id: AttemptId, size: Resources
) -> bool:
    worker = state.workers.get(name)
    task_id = worker.live.get(attempt_id) if worker else None
    attempt = state.tasks[task_id].live if task_id else None
    if worker is None or task_id is None or attempt is None:
        return False
    growth = size - attempt.size
    committed = worker.committed + growth
    if not committed.fits(worker.capacity):
        return False
    account = find_account(state, state.jobs[state.tasks[task_id].job].spec.tenant)
    attempt.size = size
    worker.committed = committed
    account.used = account.used + growth
    update_capacity(worker)
    return True
