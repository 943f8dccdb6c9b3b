"""Steps that no worker could take in earlier rounds, and which may take them now.

The load it answers: a backlog of hundreds of steps that wait for room, or for workers
that they would not harm, while rounds follow each other within tens of milliseconds
and only a few workers change from one to the next.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    admits,
    count_places,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import Demand, find_largest
from rhubarbfield.types import JobId, ServiceName, WorkerId

# Job, occurrence, number of the step, and the service of its queue, which a new
# configuration may change.
StepKey = tuple[JobId, int, int, ServiceName]


class Rejection(msgspec.Struct, frozen=True):
    """When all workers were compared with a step, and none could take it.

    Attributes
    ----------
    at
        Monotonic time of the round.
    version
        Version of the interference model in that round.
    """

    at: timedelta
    version: int


class RejectedSteps:
    """The steps for which the rounds of a leader have found no worker.

    Only workers with more room than the last round left on them can take such a step.
    Whether a step on spare cores would harm also depends on the interference model,
    which changes with each view of a worker.

    Parameters
    ----------
    margin_lifetime
        For how long a step on spare cores is compared with no other worker although
        the model has changed.
    """

    def __init__(self, margin_lifetime: timedelta = timedelta()) -> None:
        self._margin_lifetime = margin_lifetime
        self._known: dict[StepKey, Rejection] = {}
        self._kept: dict[StepKey, Rejection] = {}
        self._headrooms: Mapping[WorkerId, WorkerHeadroom] = {}
        self._grown: dict[ServiceName, GrownWorkers] = {}
        self._interference = InterferenceModel()
        self._now = timedelta()

    def begin_round(
        self,
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        interference: InterferenceModel,
        now: timedelta,
    ) -> None:
        """Begin a round, which changes ``headrooms`` as it places tasks."""
        self._known, self._kept = self._kept, {}
        self._interference, self._now = interference, now
        before, self._headrooms = self._headrooms, headrooms
        self._grown = {}
        for worker, headroom in headrooms.items():
            last = before.get(worker)
            if last is None or _has_grown(last, headroom):
                service = headroom.worker.service
                self._grown.setdefault(service, GrownWorkers()).add(headroom)

    def add(self, waiting: WaitingStep) -> None:
        """Record that no worker could take a task of a step in this round."""
        key = _get_key(waiting)
        known = self._find(waiting)
        self._kept[key] = known or Rejection(self._now, self._interference.version)

    def holds(self, waiting: WaitingStep) -> bool:
        """Return whether no worker can take a task of a step, as in the last round."""
        known = self._find(waiting)
        if known is None:
            return False
        grown = self._grown.get(waiting.queue.service)
        if grown is not None and grown.may_take(waiting, self._interference):
            return False
        self._kept[_get_key(waiting)] = known
        return True

    def list_candidates(self, waiting: WaitingStep) -> Sequence[WorkerHeadroom] | None:
        """Return the only workers that may take a step; None if any may."""
        if self._find(waiting) is None:
            return None
        grown = self._grown.get(waiting.queue.service)
        return () if grown is None else grown.members

    def may_be_outdated(self, waiting: WaitingStep) -> bool:
        """Return whether a rejection that holds rests on earlier margins.

        It then says nothing about alike steps.
        """
        known = self._find(waiting)
        is_earlier = known is not None and known.version != self._interference.version
        return waiting.step.uses_spare_cores and is_earlier

    def _find(self, waiting: WaitingStep) -> Rejection | None:
        """Return the rejection of a step in the last round, unless it is outdated."""
        known = self._known.get(_get_key(waiting))
        if known is None or not waiting.step.uses_spare_cores:
            return known
        if known.version == self._interference.version:
            return known
        return known if self._now - known.at < self._margin_lifetime else None


class GrownWorkers:
    """The workers of a service with more room than the last round left on them.

    Attributes
    ----------
    members
        The workers.
    """

    def __init__(self) -> None:
        self.members: list[WorkerHeadroom] = []
        self._largest = Demand()

    def add(self, headroom: WorkerHeadroom) -> None:
        """Add a worker."""
        self.members.append(headroom)
        self._largest = find_largest((self._largest, headroom.free))

    def may_take(self, waiting: WaitingStep, interference: InterferenceModel) -> bool:
        """Return whether any of them can take a task of a step."""
        step = waiting.step
        if not step.reserved.fits(self._largest):
            return False
        return any(
            count_places(step, headroom) and admits(step, headroom, interference)
            for headroom in self.members
        )


def _get_key(waiting: WaitingStep) -> StepKey:
    service = waiting.queue.service
    return waiting.job.job, waiting.occurrence, waiting.number, service


def _has_grown(before: WorkerHeadroom, now: WorkerHeadroom) -> bool:
    """Return whether a worker may take a task that it could not take before."""
    if before.worker is not now.worker or not now.free.fits(before.free):
        return True
    if now.spare_millicores > before.spare_millicores:
        return True
    was_full = before.task_count >= before.task_limit
    return was_full and now.task_count < now.task_limit
