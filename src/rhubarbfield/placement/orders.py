"""Orders for a worker, derived from the state alone.

Used by a new leader and for a worker that has reconnected, since replies to
earlier commands may have been lost.
"""

from __future__ import annotations

import msgspec

from rhubarbfield.placement._starts import describe_start
from rhubarbfield.placement.replies import Eviction, StartedAttempt
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import WorkState
from rhubarbfield.types import AttemptId, AttemptState, WorkerId


class KeptAttempt(msgspec.Struct, frozen=True):
    """An attempt that a worker may run, and its present commitment."""

    attempt: AttemptId
    size: Resources


class WorkerOrders(msgspec.Struct, frozen=True):
    """Orders for one worker.

    Attributes
    ----------
    start
        Attempts to start; the worker has not reported them as running yet.
    stop
        Attempts to checkpoint and end.
    keep
        All attempts that the worker may run; it stops any other.
    """

    start: tuple[StartedAttempt, ...] = ()
    stop: tuple[Eviction, ...] = ()
    keep: tuple[KeptAttempt, ...] = ()


def list_orders(state: WorkState, worker: WorkerId) -> WorkerOrders:
    """Return all current orders for a worker; sending them repeatedly is safe."""
    known = state.workers.get(worker)
    if known is None:
        return WorkerOrders()
    start: list[StartedAttempt] = []
    stop: list[Eviction] = []
    keep: list[KeptAttempt] = []
    for attempt_id, task_id in known.live.items():
        attempt = state.tasks[task_id].live
        if attempt is None:
            continue
        keep.append(KeptAttempt(attempt_id, attempt.size))
        if attempt.state is AttemptState.STARTING:
            start.append(describe_start(attempt, task_id))
        elif attempt.state is AttemptState.EVICTING:
            stop.append(Eviction(attempt_id, worker, attempt.end_reason))
    return WorkerOrders(tuple(start), tuple(stop), tuple(keep))
