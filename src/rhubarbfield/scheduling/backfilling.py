"""Starts on workers that are reserved for interrupted standing tasks.

Other tasks may use what is free there as long as that delays no reservation.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    admits,
    count_places,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import Demand, Step, find_largest
from rhubarbfield.scheduling.ordering import (
    ESTIMATE_MARGIN,
    MAX_ESTIMATE_MS,
    awaits_restart,
)
from rhubarbfield.types import JobId, ServiceName, WorkerId

StepKey = tuple[JobId, int, int]  # job, occurrence, number of the step
ExpectedEnd = tuple[timedelta, Demand]  # of a run, and what it reserves


class Forecast(msgspec.Struct, frozen=True):
    """When a worker is expected to have room for a task.

    Attributes
    ----------
    due
        Monotonic time at which enough runs are expected to have ended.
    free
        Capacity that is not reserved then, without the task.
    ends
        Number of runs that have to end.
    overdue
        For how long one of them is overdue at most; zero if none is.
    """

    due: timedelta
    free: Demand
    ends: int
    overdue: timedelta = timedelta()

    @property
    def cautious_due(self) -> timedelta:
        """When there is room if overdue runs go on for as long as they are overdue."""
        return self.due + self.overdue


def forecast_room(
    reserved: Demand, free: Demand, ends: Sequence[ExpectedEnd], now: timedelta
) -> Forecast | None:
    """Return when a demand fits beside what remains on a worker; None for never.

    Parameters
    ----------
    reserved
        What the task reserves.
    free
        Capacity of the worker that is not reserved now.
    ends
        Expected ends of its finite runs, in order of time.
    now
        Monotonic time, at which overdue runs are expected to end.
    """
    due, count, overdue = now, 0, timedelta()
    for at, demand in ends:
        if reserved.fits(free):
            break
        due, count = max(due, at), count + 1
        overdue = max(overdue, now - at)
        free = free.plus(demand)
    return Forecast(due, free, count, overdue) if reserved.fits(free) else None


class ReservedWorker(msgspec.Struct):
    """A worker that is reserved for a standing task.

    Attributes
    ----------
    headroom
        Headroom of the worker in this round.
    holder
        Step of the task.
    priority
        Priority of its queue.
    needed
        What the task reserves.
    due
        Monotonic time at which the task is expected to have room there.
    cautious_due
        The same if overdue runs go on for as long as they are overdue.
    left_over
        Capacity that is not reserved then, with the task.
    may_backfill
        Whether tasks that are expected to end before may use the room until then.
    is_overdue
        Whether runs that have to end before are long overdue.
    is_used
        Whether a task of the step was started there.
    """

    headroom: WorkerHeadroom
    holder: StepKey
    priority: int
    needed: Demand
    due: timedelta
    cautious_due: timedelta
    left_over: Demand
    may_backfill: bool
    is_overdue: bool = False
    is_used: bool = False


class ReservedWorkers:
    """The reserved workers of one round, which other tasks use last.

    Parameters
    ----------
    members
        The workers.
    interference
        The model of how images slow each other.
    now
        Monotonic time of the round.
    claimants
        Steps with a task that has waited as long, without a worker of its own, or that
        a reservation has kept off room for long.
    """

    def __init__(
        self,
        members: Iterable[ReservedWorker] = (),
        interference: InterferenceModel | None = None,
        now: timedelta = timedelta(),
        claimants: Collection[StepKey] = (),
    ) -> None:
        self._by_service: dict[ServiceName, list[ReservedWorker]] = {}
        for each in members:
            service = each.headroom.worker.service
            self._by_service.setdefault(service, []).append(each)
        self._largest = {
            service: find_largest(each.headroom.free for each in members)
            for service, members in self._by_service.items()
        }
        self._interference = interference or InterferenceModel()
        self._now = now
        self._claimants = claimants

    def may_take(self, waiting: WaitingStep) -> bool:
        """Return whether any of them can take a task of a step now."""
        service = waiting.queue.service
        largest = self._largest.get(service)
        if largest is None or not waiting.step.reserved.fits(largest):
            return False
        return any(self._admits(waiting, each) for each in self._by_service[service])

    def list_unused(self, waiting: WaitingStep) -> list[WorkerHeadroom]:
        """Return the workers with room for a step that has stayed unused for long."""
        if get_key(waiting) not in self._claimants:
            return []
        return [
            each.headroom
            for each in self._by_service.get(waiting.queue.service, ())
            if self._goes_before(waiting, each)
            and self._admits(
                waiting, each, waiting.count_running(each.headroom.worker.worker)
            )
        ]

    def choose(
        self,
        waiting: WaitingStep,
        tasks_per_worker: Mapping[WorkerId, int],
        *,
        is_suspect: bool = False,
    ) -> WorkerHeadroom | None:
        """Return the worker on which a task of a step is to start, if any.

        The caller starts it there: what it takes is accounted for.

        Parameters
        ----------
        waiting
            The step.
        tasks_per_worker
            Number of live tasks of the step by worker.
        is_suspect
            Whether the task may crash its worker. It then starts only where the
            holder's room has stayed unused for long.
        """
        members = self._by_service.get(waiting.queue.service)
        if not members:
            return None
        key = get_key(waiting)
        for each in sorted(members, key=lambda each: each.holder != key):
            running = tasks_per_worker.get(each.headroom.worker.worker, 0)
            if not self._admits(waiting, each, running):
                continue
            if is_suspect and not self._goes_before(waiting, each):
                continue
            if each.holder == key:
                each.is_used = True
            elif not self._ends_before(waiting.step, each):
                each.left_over = each.left_over.minus(waiting.step.reserved)
            return each.headroom
        return None

    def _admits(
        self, waiting: WaitingStep, reserved: ReservedWorker, running: int = 0
    ) -> bool:
        """Return whether a task of a step may start on a reserved worker now."""
        step, headroom = waiting.step, reserved.headroom
        if not count_places(step, headroom, running):
            return False
        may_use = (
            reserved.is_used
            or reserved.holder == get_key(waiting)
            or waiting.queue.priority < reserved.priority
            or step.reserved.fits(reserved.left_over)
            or self._goes_before(waiting, reserved)
            or self._ends_before(step, reserved)
        )
        return may_use and admits(step, headroom, self._interference)

    def _goes_before(self, waiting: WaitingStep, reserved: ReservedWorker) -> bool:
        """Return whether a step has waited long, and the holder has no room now."""
        has_room_now = reserved.needed.fits(reserved.headroom.free)
        if has_room_now or get_key(waiting) not in self._claimants:
            return False
        # New tasks of lower queues would take each piece for good, one after the other.
        return waiting.queue.priority <= reserved.priority or any(
            awaits_restart(waiting.step, task) for task in waiting.tasks
        )

    def _ends_before(self, step: Step, reserved: ReservedWorker) -> bool:
        """Return whether a task is expected to end before a reservation is due."""
        if step.standing or not step.estimate_ms or not reserved.may_backfill:
            return False
        estimate = min(step.estimate_ms, MAX_ESTIMATE_MS) * MILLISECOND
        return self._now + estimate * ESTIMATE_MARGIN <= reserved.due


def get_key(waiting: WaitingStep) -> StepKey:
    """Return what identifies a step; its tasks are interchangeable."""
    return waiting.job.job, waiting.occurrence, waiting.number
