"""Invariants of the work state, checked after every command.

Each check covers only what a command changed, so that its cost does not grow
with the fleet; :func:`check_state` checks the whole state.
"""

from __future__ import annotations

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import (
    Account,
    QuarantineState,
    Task,
    TaskState,
    Worker,
    WorkState,
)
from rhubarbfield.types import AttemptState, Epoch

LIVE_STATES = (
    AttemptState.STARTING,
    AttemptState.RUNNING,
    AttemptState.HELD,
    AttemptState.EVICTING,
)
QUARANTINE_DIVISOR = 3


def count_quarantined(state: WorkState) -> int:
    """Return the number of present workers that are quarantined."""
    return sum(
        worker.present and worker.quarantine is QuarantineState.QUARANTINED
        for worker in state.workers.values()
    )


def limit_quarantined(state: WorkState) -> int:
    """Return the number of present workers that may be quarantined at once.

    A third of them, one of two workers, and none if there is a single one.
    """
    present = sum(worker.present for worker in state.workers.values())
    return max(present // QUARANTINE_DIVISOR, min(1, max(0, present - 1)))


def check_worker(state: WorkState, worker: Worker) -> None:
    """Check that a worker's commitments are exact and within its capacity."""
    millicores = memory_mb = accelerators = 0
    for attempt_id, task_id in worker.live.items():
        attempt = state.tasks[task_id].live
        check_invariant(
            attempt is not None
            and attempt.attempt == attempt_id
            and attempt.worker == worker.worker
            and attempt.epoch == worker.epoch
            and attempt.state in LIVE_STATES,
            "one-live-attempt",
            (worker.worker, attempt_id, attempt),
        )
        if attempt is not None:
            millicores += attempt.size.millicores
            memory_mb += attempt.size.memory_mb
            accelerators += attempt.size.accelerators
    total = Resources(millicores, memory_mb, accelerators)
    check_invariant(total == worker.committed, "exact-commitments", worker)
    check_invariant(total.fits(worker.capacity), "within-capacity", worker)
    check_invariant(
        worker.present or not worker.live, "absent-worker-runs-nothing", worker
    )


def check_task(state: WorkState, task: Task) -> None:
    """Check that a task has at most one live attempt and is counted once."""
    job = state.jobs[task.job]
    attempt = task.live
    is_live = attempt is not None
    check_invariant(is_live == (task.state is TaskState.LIVE), "live-is-known", task)
    check_invariant(is_live == (task.task in job.live), "job-counts-live", task)
    check_invariant(
        (task.state is TaskState.PENDING) == (task.task in job.pending),
        "job-counts-pending",
        task,
    )
    if attempt is not None:
        worker = state.workers[attempt.worker]
        check_invariant(
            worker.live.get(attempt.attempt) == task.task, "worker-counts-live", task
        )
    check_invariant(
        all(past.ended_at is not None for past in task.past), "past-has-ended", task
    )


def check_epoch(worker: Worker, epoch: Epoch) -> None:
    """Check that a worker's new epoch is above its previous one."""
    check_invariant(epoch > worker.epoch, "epochs-only-grow", (worker, epoch))


def check_account(account: Account) -> None:
    """Check that a tenant's usage is not negative."""
    check_invariant(Resources().fits(account.used), "usage-not-negative", account)


def check_quarantine(state: WorkState) -> None:
    """Check that no more workers are quarantined than allowed."""
    quarantined = count_quarantined(state)
    check_invariant(
        quarantined <= limit_quarantined(state), "fleet-not-quarantined", quarantined
    )


def check_state(state: WorkState) -> None:
    """Check the whole state; for tests, restores and long runs."""
    for worker in state.workers.values():
        check_worker(state, worker)
    for task in state.tasks.values():
        check_task(state, task)
    for tenant, account in state.accounts.items():
        check_account(account)
        used = Resources()
        for task in state.tasks.values():
            if task.live is not None and state.jobs[task.job].spec.tenant == tenant:
                used = used + task.live.size
        check_invariant(used == account.used, "exact-usage", (tenant, used, account))
    waiting = {name for name, job in state.jobs.items() if job.pending}
    check_invariant(waiting == set(state.waiting), "waiting-is-known", waiting)
    check_quarantine(state)
