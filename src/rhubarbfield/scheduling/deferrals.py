"""Standing steps that reservations keep off room which no holder can use yet."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from datetime import timedelta

from rhubarbfield.scheduling.backfilling import ReservedWorker, StepKey, get_key
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    count_places,
    has_room,
    measure_steps,
)
from rhubarbfield.scheduling.model import Demand, find_largest

# The platform tolerates 3 s without a run beside room.
MAX_DEFERRAL = timedelta(seconds=2)


class Deferrals:
    """Since when each standing step has been kept off the reserved workers' room."""

    def __init__(self) -> None:
        self._since: dict[StepKey, timedelta] = {}
        self._before: dict[StepKey, timedelta] = {}
        self._reserved: Collection[ReservedWorker] = ()
        self._largest = Demand()

    def begin_round(self, reserved: Collection[ReservedWorker]) -> None:
        """Forget the steps that are not recorded again in this round.

        Parameters
        ----------
        reserved
            The reserved workers, with what the round has left free on them.
        """
        self._before, self._since = self._since, {}
        self._reserved = reserved
        # A round may leave a thousand steps; most need more than is free anywhere.
        self._largest = find_largest(each.headroom.free for each in reserved)

    def record(self, waiting: WaitingStep, now: timedelta) -> None:
        """Record a step that a round has not placed, if a reserved worker has room."""
        needed = waiting.step.reserved
        if needed.fits(self._largest) and any(
            has_room(needed, each.headroom) and may_hold(waiting, each.headroom)
            for each in self._reserved
        ):
            key = get_key(waiting)
            self._since[key] = self._before.get(key, now)

    def iterate_due(self, now: timedelta) -> Iterator[StepKey]:
        """Yield the steps that no reservation may keep off any longer."""
        for key, since in self._since.items():
            if now - since >= MAX_DEFERRAL:
                yield key


def may_hold(waiting: WaitingStep, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker may run a task of a step once it has room."""
    step, worker = waiting.step, headroom.worker
    return (
        worker.service == waiting.queue.service
        and step.reserved.fits(worker.capacity)
        and count_places(
            step, measure_steps(worker, ()), waiting.count_running(worker.worker)
        )
        > 0
    )
