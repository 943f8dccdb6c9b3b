"""Evictions for urgent work, and from draining or shrunk workers."""

from __future__ import annotations

from rhubarbfield.placement.fleet import Fleet, PlacementRequest, PlannedWorker
from rhubarbfield.placement.relief import may_evict, measure_lost_work
from rhubarbfield.placement.replies import Eviction
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import (
    Attempt,
    JobSpec,
    QuarantineState,
    Task,
    WorkState,
)
from rhubarbfield.types import AttemptId, AttemptState, JobId

DRAIN_REASON = "its worker is being drained"
SHRINK_REASON = "its worker has shrunk"
PREEMPTION_REASON = "room is needed for urgent work"


class Preemptor:
    """Plans evictions for urgent tasks, up to ``max_preemptions`` per round.

    Parameters
    ----------
    fleet
        Workers of the planning round.
    evicting
        Attempts that the round evicts already.
    """

    def __init__(self, fleet: Fleet, evicting: set[AttemptId]) -> None:
        self._fleet = fleet
        self._evicting = evicting
        self._pending_headroom: dict[int, Resources] = {}
        self._evictions_left = fleet.settings.max_preemptions

    def plan_evictions(self, request: PlacementRequest, count: int) -> list[Eviction]:
        """Return evictions after which up to ``count`` urgent tasks fit.

        Capacity that will be freed by evictions already in progress is used first.
        Workers on which urgent work waits are reserved for it in this round.
        """
        evictions: list[Eviction] = []
        for _ in range(count):
            if self._use_pending_headroom(request):
                continue
            best = self._find_cheapest(request)
            if best is None:
                break
            planned, victims = best
            for attempt in victims:
                self._evicting.add(attempt.attempt)
                evictions.append(
                    Eviction(attempt.attempt, planned.name, PREEMPTION_REASON)
                )
            self._evictions_left -= len(victims)
            self._pending_headroom[planned.index] = (
                self._find_pending_headroom(planned) - request.size
            )
            planned.reserved = True
        return evictions

    def _find_pending_headroom(self, planned: PlannedWorker) -> Resources:
        """Return the headroom of a worker once its evictions have completed."""
        if planned.index not in self._pending_headroom:
            headroom = planned.headroom
            for _, attempt, _ in self._fleet.list_attempts(planned):
                evicting = attempt.state is AttemptState.EVICTING
                if evicting or attempt.attempt in self._evicting:
                    headroom = headroom + attempt.size
            self._pending_headroom[planned.index] = headroom
        return self._pending_headroom[planned.index]

    def _use_pending_headroom(self, request: PlacementRequest) -> bool:
        for planned in self._fleet.planned_workers:
            if not self._is_usable(planned):
                continue
            if planned.worker.live and request.size.fits(
                self._find_pending_headroom(planned)
            ):
                self._pending_headroom[planned.index] = (
                    self._find_pending_headroom(planned) - request.size
                )
                planned.reserved = True
                return True
        return False

    def _find_cheapest(
        self, request: PlacementRequest
    ) -> tuple[PlannedWorker, list[Attempt]] | None:
        best: tuple[PlannedWorker, list[Attempt]] | None = None
        best_cost = float("inf")
        for planned in self._fleet.planned_workers:
            if not self._is_usable(planned) or not request.size.fits(
                self._fleet.headroom_if_empty(planned)
            ):
                continue
            victims = self._find_victims(planned, request)
            cost = sum(
                measure_lost_work(task, attempt, self._fleet)
                for task, attempt in victims
            )
            if victims and cost < best_cost:
                best_cost = cost
                best = planned, [attempt for _, attempt in victims]
        return best

    def _find_victims(
        self, planned: PlannedWorker, request: PlacementRequest
    ) -> list[tuple[Task, Attempt]]:
        """Return the cheapest attempts whose eviction is sufficient, or none."""
        headroom = self._find_pending_headroom(planned)
        candidates = [
            (task, attempt)
            for task, attempt, spec in self._fleet.list_attempts(planned)
            if self._is_victim(attempt, spec, request)
        ]
        candidates.sort(
            key=lambda pair: measure_lost_work(pair[0], pair[1], self._fleet)
        )
        victims: list[tuple[Task, Attempt]] = []
        for task, attempt in candidates:
            if request.size.fits(headroom) or len(victims) >= self._evictions_left:
                break
            headroom = headroom + attempt.size
            victims.append((task, attempt))
        return victims if request.size.fits(headroom) else []

    def _is_usable(self, planned: PlannedWorker) -> bool:
        trusted = planned.worker.quarantine is QuarantineState.TRUSTED
        reachable = planned.name not in self._fleet.observations.unreachable
        return trusted and reachable and not planned.worker.draining

    def _is_victim(
        self, attempt: Attempt, spec: JobSpec, request: PlacementRequest
    ) -> bool:
        lower = spec.priority.value > request.spec.priority.value
        free = attempt.attempt not in self._evicting
        return lower and free and not spec.gang and may_evict(attempt, spec)


def plan_drain(fleet: Fleet, planned: PlannedWorker) -> list[Eviction]:
    """Return the next evictions that drain a worker.

    Services and standing work are moved one task of a job at a time, and only
    while all tasks of the job run.
    """
    evictions: list[Eviction] = []
    moved_jobs: set[JobId] = set()
    for _, attempt, spec in fleet.list_attempts(planned):
        if attempt.state not in (AttemptState.STARTING, AttemptState.RUNNING):
            continue
        if spec.endless:
            if spec.job in moved_jobs or not _is_fully_running(fleet.state, spec.job):
                continue
            moved_jobs.add(spec.job)
        evictions.append(Eviction(attempt.attempt, planned.name, DRAIN_REASON))
        if len(evictions) >= fleet.settings.max_drained:
            break
    return evictions


def _is_fully_running(state: WorkState, job_id: JobId) -> bool:
    job = state.jobs[job_id]
    attempts = (state.tasks[task_id].live for task_id in job.live)
    settled = all(
        attempt is not None and attempt.state is AttemptState.RUNNING
        for attempt in attempts
    )
    return settled and not job.pending


def plan_shrink(fleet: Fleet, planned: PlannedWorker) -> list[Eviction]:
    """Return evictions that reduce a worker's commitments to its new capacity."""
    headroom = planned.worker.announced - planned.worker.committed
    attempts = fleet.list_attempts(planned)
    for _, attempt, _ in attempts:
        if attempt.state is AttemptState.EVICTING:
            headroom = headroom + attempt.size
    attempts.sort(
        key=lambda entry: (
            entry[2].endless,
            measure_lost_work(entry[0], entry[1], fleet),
        )
    )
    evictions: list[Eviction] = []
    for _, attempt, _ in attempts:
        if Resources().fits(headroom):
            break
        if attempt.state is not AttemptState.EVICTING:
            headroom = headroom + attempt.size
            evictions.append(Eviction(attempt.attempt, planned.name, SHRINK_REASON))
    return evictions
