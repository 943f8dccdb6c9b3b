"""Making room for urgent work, and emptying workers, by evicting batch work."""

from __future__ import annotations

from rhubarbfield.placement.fleet import Fleet, Request, Seat
from rhubarbfield.placement.relief import may_evict, measure_redone
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

DRAINED = "its worker is being drained"
SHRUNK = "its worker has shrunk"
PREEMPTED = "room is needed for urgent work"


class Preemptor:
    """Finds room for urgent tasks, within a bound for the round.

    Parameters
    ----------
    fleet
        The round.
    evicting
        Attempts that the round evicts already.
    """

    def __init__(self, fleet: Fleet, evicting: set[AttemptId]) -> None:
        self._fleet = fleet
        self._evicting = evicting
        self._coming: dict[int, Resources] = {}
        self._left = fleet.settings.max_preemptions

    def make_room(self, request: Request, count: int) -> list[Eviction]:
        """Return evictions after which up to ``count`` urgent tasks fit.

        Room that evictions already under way will free is used first. Workers
        on which urgent work waits are reserved for it in this round.
        """
        evictions: list[Eviction] = []
        for _ in range(count):
            if self._use_coming(request):
                continue
            best = self._find_cheapest(request)
            if best is None:
                break
            seat, victims = best
            for attempt in victims:
                self._evicting.add(attempt.attempt)
                evictions.append(Eviction(attempt.attempt, seat.name, PREEMPTED))
            self._left -= len(victims)
            self._coming[seat.index] = self._sum_coming(seat) - request.size
            seat.reserved = True
        return evictions

    def _sum_coming(self, seat: Seat) -> Resources:
        """Return room on a worker once evictions under way have ended."""
        if seat.index not in self._coming:
            room = seat.room
            for _, attempt, _ in self._fleet.list_attempts(seat):
                evicting = attempt.state is AttemptState.EVICTING
                if evicting or attempt.attempt in self._evicting:
                    room = room + attempt.size
            self._coming[seat.index] = room
        return self._coming[seat.index]

    def _use_coming(self, request: Request) -> bool:
        for seat in self._fleet.seats:
            if not self._is_usable(seat):
                continue
            if seat.worker.live and request.size.fits(self._sum_coming(seat)):
                self._coming[seat.index] = self._sum_coming(seat) - request.size
                seat.reserved = True
                return True
        return False

    def _find_cheapest(self, request: Request) -> tuple[Seat, list[Attempt]] | None:
        best: tuple[Seat, list[Attempt]] | None = None
        best_cost = float("inf")
        for seat in self._fleet.seats:
            if not self._is_usable(seat) or not request.size.fits(
                self._fleet.largest_room(seat)
            ):
                continue
            victims = self._find_victims(seat, request)
            cost = sum(
                measure_redone(task, attempt, self._fleet) for task, attempt in victims
            )
            if victims and cost < best_cost:
                best_cost = cost
                best = seat, [attempt for _, attempt in victims]
        return best

    def _find_victims(self, seat: Seat, request: Request) -> list[tuple[Task, Attempt]]:
        """Return the cheapest attempts that make room, or nothing."""
        room = self._sum_coming(seat)
        open_to_it = [
            (task, attempt)
            for task, attempt, spec in self._fleet.list_attempts(seat)
            if self._is_victim(attempt, spec, request)
        ]
        open_to_it.sort(key=lambda pair: measure_redone(pair[0], pair[1], self._fleet))
        victims: list[tuple[Task, Attempt]] = []
        for task, attempt in open_to_it:
            if request.size.fits(room) or len(victims) >= self._left:
                break
            room = room + attempt.size
            victims.append((task, attempt))
        return victims if request.size.fits(room) else []

    def _is_usable(self, seat: Seat) -> bool:
        trusted = seat.worker.quarantine is QuarantineState.TRUSTED
        heard = seat.name not in self._fleet.view.silent
        return trusted and heard and not seat.worker.draining

    def _is_victim(self, attempt: Attempt, spec: JobSpec, request: Request) -> bool:
        lower = spec.priority.value > request.spec.priority.value
        free = attempt.attempt not in self._evicting
        return lower and free and not spec.gang and may_evict(attempt, spec)


def drain_worker(fleet: Fleet, seat: Seat) -> list[Eviction]:
    """Return the next evictions that empty a worker.

    Services and standing work go one task of a job at a time, and only while
    all its other tasks are placed.
    """
    evictions: list[Eviction] = []
    moving: set[JobId] = set()
    for _, attempt, spec in fleet.list_attempts(seat):
        if attempt.state not in (AttemptState.STARTING, AttemptState.RUNNING):
            continue
        if spec.endless:
            if spec.job in moving or not _is_whole(fleet.state, spec.job):
                continue
            moving.add(spec.job)
        evictions.append(Eviction(attempt.attempt, seat.name, DRAINED))
        if len(evictions) >= fleet.settings.max_drained:
            break
    return evictions


def _is_whole(state: WorkState, job_id: JobId) -> bool:
    job = state.jobs[job_id]
    attempts = (state.tasks[task_id].live for task_id in job.live)
    settled = all(
        attempt is not None and attempt.state is AttemptState.RUNNING
        for attempt in attempts
    )
    return settled and not job.pending


def shrink_worker(fleet: Fleet, seat: Seat) -> list[Eviction]:
    """Return evictions that bring a worker's commitments to what it has left."""
    room = seat.worker.announced - seat.worker.committed
    attempts = fleet.list_attempts(seat)
    for _, attempt, _ in attempts:
        if attempt.state is AttemptState.EVICTING:
            room = room + attempt.size
    attempts.sort(
        key=lambda entry: (entry[2].endless, measure_redone(entry[0], entry[1], fleet))
    )
    evictions: list[Eviction] = []
    for _, attempt, _ in attempts:
        if Resources().fits(room):
            break
        if attempt.state is not AttemptState.EVICTING:
            room = room + attempt.size
            evictions.append(Eviction(attempt.attempt, seat.name, SHRUNK))
    return evictions
