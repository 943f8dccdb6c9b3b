"""Commands that change workers."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.machine import Done, Refused, Reply
from rhubarbfield.placement.commands import (
    AddWorker,
    LoseWorker,
    RemoveWorker,
    SetDraining,
    SetQuarantine,
    UpdateWorker,
    work_commands,
)
from rhubarbfield.placement.invariants import (
    check_epoch,
    check_quarantine,
    check_task,
    check_worker,
    count_quarantined,
    limit_quarantined,
)
from rhubarbfield.placement.replies import (
    Eviction,
    WorkerAdded,
    WorkerLost,
)
from rhubarbfield.placement.state import (
    QuarantineState,
    Worker,
    WorkState,
)
from rhubarbfield.placement.transitions import (
    NO_BACKOFF,
    count_loss,
    end_attempt,
    evict_live,
    finish_job_if_done,
    release_excess_quarantined,
    requeue_task,
    update_capacity,
)
from rhubarbfield.types import AttemptState, Epoch

PROBE_INTERVAL = timedelta(minutes=1)
UNKNOWN_WORKER = "the worker is not known"


@work_commands.applies(AddWorker)
def add_worker(state: WorkState, command: AddWorker) -> Reply:
    """Add a worker under a new epoch."""
    known = state.workers.get(command.worker)
    if known is not None and known.present:
        if known.incarnation == command.incarnation:
            return WorkerAdded(worker=known.worker, epoch=known.epoch)
        return Refused(reason="an earlier incarnation has not been lost yet")
    worker = Worker(
        worker=command.worker,
        capacity=command.capacity,
        announced=command.capacity,
        rack=command.rack,
        domain=command.domain,
        epoch=Epoch(1),
        incarnation=command.incarnation,
    )
    if known is not None:
        worker.epoch = Epoch(known.epoch + 1)
        worker.draining = known.draining
        worker.quarantine = known.quarantine
        worker.quarantined_at = command.at
        check_epoch(known, worker.epoch)
    state.workers[command.worker] = worker
    release_excess_quarantined(state)
    check_quarantine(state)
    return WorkerAdded(worker=worker.worker, epoch=worker.epoch)


@work_commands.applies(UpdateWorker)
def update_worker(state: WorkState, command: UpdateWorker) -> Reply:
    """Record a worker's new capacity."""
    worker = state.workers.get(command.worker)
    if worker is None or not worker.present or worker.epoch != command.epoch:
        return Refused(reason=UNKNOWN_WORKER)
    worker.announced = command.capacity
    update_capacity(worker)
    check_worker(state, worker)
    return Done()


@work_commands.applies(SetDraining)
def set_draining(state: WorkState, command: SetDraining) -> Reply:
    """Start or stop draining a worker."""
    worker = state.workers.get(command.worker)
    if worker is None:
        return Refused(reason=UNKNOWN_WORKER)
    worker.draining = command.draining
    return Done()


@work_commands.applies(LoseWorker)
def lose_worker(state: WorkState, command: LoseWorker) -> Reply:
    """End all attempts of a worker and requeue their tasks."""
    worker = state.workers.get(command.worker)
    if worker is None or not worker.present or worker.epoch != command.epoch:
        return Refused(reason="the worker is not present under this epoch")
    lost = [state.tasks[task_id] for task_id in worker.live.values()]
    stopping: list[Eviction] = []
    for task in lost:
        attempt = end_attempt(
            state, task, AttemptState.LOST, command.at, command.reason
        )
        # A log of an earlier version must leave what its snapshots hold.
        delays = command.delays_restarts
        backoff = count_loss(task, attempt, command.at) if delays else NO_BACKOFF
        requeue_task(state, task, command.at, backoff)
        job = state.jobs[task.job]
        if job.spec.gang:
            stopping += evict_live(state, job, "another task of its gang was lost")
    worker.present = False
    for task in lost:
        finish_job_if_done(state.jobs[task.job], command.at)
        check_task(state, task)
    release_excess_quarantined(state)
    check_worker(state, worker)
    check_quarantine(state)
    lost_worker = worker.worker
    return WorkerLost(
        tasks=tuple(task.task for task in lost),
        stopping=tuple(order for order in stopping if order.worker != lost_worker),
    )


@work_commands.applies(RemoveWorker)
def remove_worker(state: WorkState, command: RemoveWorker) -> Reply:
    """Remove an absent worker."""
    worker = state.workers.get(command.worker)
    if worker is None:
        return Done()
    if worker.present:
        return Refused(reason="the worker is still present")
    del state.workers[command.worker]
    return Done()


@work_commands.applies(SetQuarantine)
def set_quarantine(state: WorkState, command: SetQuarantine) -> Reply:
    """Quarantine a worker, unless too many are quarantined, or release it."""
    worker = state.workers.get(command.worker)
    if worker is None or not worker.present:
        return Refused(reason=UNKNOWN_WORKER)
    if worker.quarantine is command.state:
        return Done()
    quarantining = command.state is QuarantineState.QUARANTINED
    if quarantining and count_quarantined(state) >= limit_quarantined(state):
        return Refused(reason="a third of the workers is quarantined already")
    worker.quarantine = command.state
    if quarantining:
        worker.quarantined_at = command.at
        worker.probe_not_before = command.at + PROBE_INTERVAL
    else:
        worker.failed_jobs.clear()
    check_quarantine(state)
    return Done()
