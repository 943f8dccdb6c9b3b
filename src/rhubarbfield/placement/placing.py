"""Selection of workers for the tasks of one job."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from random import Random

import msgspec

from rhubarbfield.placement.decision import (
    Alternative,
    Decision,
    RejectionCount,
    RejectionReason,
)
from rhubarbfield.placement.fleet import Fleet, PlacementRequest, PlannedWorker
from rhubarbfield.placement.state import Job
from rhubarbfield.placement.strategies import Strategy
from rhubarbfield.types import RackName, WorkerId

MAX_ALTERNATIVES = 2  # recorded with each decision
CAPACITY_REASONS = (
    RejectionReason.CORES,
    RejectionReason.MEMORY,
    RejectionReason.ACCELERATORS,
    RejectionReason.DRAINING,
    RejectionReason.SILENT,
    RejectionReason.QUARANTINED,
)


class WorkerRank(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Sort key of a candidate worker: fewest tasks of the job, then lowest cost.

    Attributes
    ----------
    on_worker, on_rack
        Tasks of the job on the worker and on its rack; always 0 for batch work,
        which is not spread.
    score
        Cost by the strategy.
    index
        Position in :attr:`Fleet.planned_workers`.
    """

    on_worker: int
    on_rack: int
    score: float
    index: int


class Choice(msgspec.Struct, frozen=True):
    """The worker chosen for one task, with the decision."""

    planned: PlannedWorker
    decision: Decision


class Window(msgspec.Struct, frozen=True):
    """The part of the fleet that is searched for candidates.

    Attributes
    ----------
    first
        Index of the first worker. The same for all jobs of a round, so that the
        attempts of few workers have to be looked up.
    candidates
        Number of fitting workers to compare.
    random
        Random number generator for strategies that need one.
    """

    first: int
    candidates: int
    random: Random


class Chooser:
    """Chooses workers for one job's tasks in one round.

    Parameters
    ----------
    fleet
        Workers of the planning round.
    strategy
        Strategy that scores workers.
    window
        The workers to search.
    job
        The job.
    request
        Requirements of one of its tasks.
    avoid
        Workers that must not be chosen.
    """

    def __init__(
        self,
        fleet: Fleet,
        strategy: Strategy,
        window: Window,
        *,
        job: Job,
        request: PlacementRequest,
        avoid: tuple[WorkerId, ...] = (),
    ) -> None:
        self._fleet = fleet
        self._strategy = strategy
        self._window = window
        self._request = request
        self._avoid = avoid
        self._spread = job.spec.endless
        self._racks = self._count_racks(job) if self._spread else {}
        self._rejections: dict[RejectionReason, int] = {}

    def choose(self, count: int) -> list[Choice]:
        """Choose workers for up to ``count`` tasks and reduce their headroom."""
        heap = [self._rank(planned) for planned in self._list_candidates()]
        heap = [rank for rank in heap if rank.score < math.inf]
        heapq.heapify(heap)
        chosen: list[Choice] = []
        while heap and len(chosen) < count:
            rank = heapq.heappop(heap)
            planned = self._fleet.planned_workers[rank.index]
            chosen.append(Choice(planned, self._explain(rank, heap)))
            self._fleet.add_task(planned, self._request)
            self._count_rack(planned)
            if self._accepts(planned):
                again = self._rank(planned)
                if again.score < math.inf:
                    heapq.heappush(heap, again)
        return chosen

    @property
    def lacks_capacity(self) -> bool:
        """Whether any task of at least the same size would be rejected too."""
        return all(reason in CAPACITY_REASONS for reason in self._rejections)

    def describe_wait(self) -> str:
        """Return a human-readable reason why too few workers were found."""
        parts = [f"{count} {reason}" for reason, count in self._rejections.items()]
        return ", ".join(parts) or "no worker is present"

    def _list_candidates(self) -> Iterator[PlannedWorker]:
        """Yield workers that can run a task, starting at the window's first."""
        planned_workers = self._fleet.planned_workers
        first = 0 if self._strategy.ordered else self._window.first
        found = 0
        for planned in (*planned_workers[first:], *planned_workers[:first]):
            if self._accepts(planned):
                found += 1
                yield planned
                if found >= self._window.candidates:
                    return

    def _accepts(self, planned: PlannedWorker) -> bool:
        """Return whether a worker can run a task; count the reason if not."""
        if planned.name in self._avoid:
            reason: RejectionReason | None = RejectionReason.FAILED_THERE
        else:
            reason = self._fleet.reject(planned, self._request)
        if reason is not None:
            self._count(reason)
        return reason is None

    def _count(self, reason: RejectionReason) -> None:
        self._rejections[reason] = self._rejections.get(reason, 0) + 1

    def _rank(self, planned: PlannedWorker) -> WorkerRank:
        random = self._window.random
        score = self._strategy.score(self._fleet, planned, self._request, random)
        if score == math.inf:
            self._count(RejectionReason.HARM)
        if not self._spread:
            return WorkerRank(0, 0, score, planned.index)
        self._fleet.find_hosted_services(planned)
        on_worker = planned.jobs.get(self._request.spec.job, 0)
        on_rack = self._racks.get(planned.worker.rack, 0)
        return WorkerRank(on_worker, on_rack, score, planned.index)

    def _explain(self, rank: WorkerRank, others: list[WorkerRank]) -> Decision:
        best = heapq.nsmallest(MAX_ALTERNATIVES, others)
        return Decision(
            strategy=self._strategy.name,
            score=round(rank.score, 4),
            reason=f"least cost of {len(others) + 1} workers that could take it",
            alternatives=tuple(
                Alternative(
                    self._fleet.planned_workers[other.index].name, round(other.score, 4)
                )
                for other in best
            ),
            rejections=tuple(
                RejectionCount(reason, count)
                for reason, count in self._rejections.items()
            ),
        )

    def _count_racks(self, job: Job) -> dict[RackName, int]:
        racks: dict[RackName, int] = {}
        for task_id in job.live:
            attempt = self._fleet.state.tasks[task_id].live
            if attempt is not None:
                rack = self._fleet.state.workers[attempt.worker].rack
                racks[rack] = racks.get(rack, 0) + 1
        return racks

    def _count_rack(self, planned: PlannedWorker) -> None:
        if self._spread:
            rack = planned.worker.rack
            self._racks[rack] = self._racks.get(rack, 0) + 1
