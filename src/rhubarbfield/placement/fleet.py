"""Workers as one round of planning sees them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime

from rhubarbfield.placement.decision import RejectionReason
from rhubarbfield.placement.harm import BANDS, find_band
from rhubarbfield.placement.observations import Observations
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.runnable import find_usable
from rhubarbfield.placement.settings import PlacementSettings
from rhubarbfield.placement.state import (
    Attempt,
    BatchKind,
    JobSpec,
    QuarantineState,
    Task,
    Worker,
    WorkState,
)
from rhubarbfield.types import (
    AttemptId,
    JobId,
    Priority,
    ServiceName,
    WorkerId,
    WorkKind,
)

UNKNOWN_LOAD_BAND = BANDS // 2
GOAL_OF_BASE = 3.0
MAX_LOG_RATIO = 3.0
FEARED_FACTOR = 10


@dataclass
class Resident:
    """A service that runs on a worker.

    Attributes
    ----------
    log_ratio
        Logarithm of predicted tail latency over its goal, with the batch work that
        is beside it.
    ratio
        The same without logarithm, once it was asked for.
    """

    service: ServiceName
    band: int
    log_ratio: float
    ratio: float | None = None


@dataclass
class Seat:
    """One worker with what this round has already planned on it.

    Attributes
    ----------
    room
        What may still be committed.
    residents, shares
        Services on it, and processor shares of kinds of batch work.
    unproven
        Attempts of unproven size on it.
    reserved
        Whether urgent work waits for evictions on it.
    judged
        Whether this round quarantines it.
    """

    worker: Worker
    index: int
    room: Resources
    reserved: bool = False
    judged: bool = False
    residents: list[Resident] | None = None
    shares: dict[BatchKind, float] = field(default_factory=dict)
    unproven: int = 0
    jobs: dict[JobId, int] = field(default_factory=dict)

    @property
    def name(self) -> WorkerId:
        """The worker's id."""
        return self.worker.worker

    @property
    def capacity(self) -> Resources:
        """What the worker has."""
        return self.worker.announced


class Request:
    """What one task of a job needs, for all tasks of the job alike.

    Parameters
    ----------
    spec
        The job's spec.
    size
        What is to be committed to one task.
    proven
        Whether ``size`` rests on enough reports.
    ceiling
        Logarithm of the predicted tail latency over goal that it may cause.
    """

    def __init__(
        self, spec: JobSpec, size: Resources, proven: bool, ceiling: float
    ) -> None:
        self.spec = spec
        self.size = size
        self.proven = proven
        self.ceiling = ceiling
        self.rates: dict[ServiceName, list[float]] = {}


class Fleet:
    """All present workers in one round of planning.

    Seats are made from the state when the round begins; what is known of the
    attempts on a worker is looked up only once it is asked for.
    """

    def __init__(
        self,
        state: WorkState,
        view: Observations,
        settings: PlacementSettings,
        now: datetime,
    ) -> None:
        self.state = state
        self.view = view
        self.settings = settings
        self.now = now
        self.seats: list[Seat] = []
        self.total = Resources()
        self.largest = Resources()
        self.largest_known = Resources()
        for worker in state.workers.values():
            usable = find_usable(worker.announced)
            self.largest_known = self.largest_known.enlarge(usable)
            if worker.present:
                self._add(worker)
        self.by_name = {seat.name: seat for seat in self.seats}

    def _add(self, worker: Worker) -> None:
        usable = find_usable(worker.announced)
        room = usable - worker.committed
        self.seats.append(Seat(worker, len(self.seats), room))
        self.total = self.total + worker.announced
        if not worker.draining:
            self.largest = self.largest.enlarge(usable)

    def list_attempts(self, seat: Seat) -> list[tuple[Task, Attempt, JobSpec]]:
        """Return the live attempts on a worker with their tasks and specs."""
        found = []
        for task_id in seat.worker.live.values():
            task = self.state.tasks[task_id]
            if task.live is not None:
                found.append((task, task.live, self.state.jobs[task.job].spec))
        return found

    def find_residents(self, seat: Seat) -> list[Resident]:
        """Return the services on a worker, looked up once a round."""
        if seat.residents is None:
            seat.residents = []
            for _, attempt, spec in self.list_attempts(seat):
                seat.jobs[spec.job] = seat.jobs.get(spec.job, 0) + 1
                self._count(seat, attempt.attempt, attempt.size, spec)
            for resident in seat.residents:
                for kind, share in seat.shares.items():
                    self._add_harm(resident, kind, share)
        return seat.residents

    def _add_harm(self, resident: Resident, kind: BatchKind, share: float) -> None:
        rate = self.view.harm.find_rate(resident.service, kind, resident.band)
        resident.log_ratio += share * rate
        resident.ratio = None

    def _count(
        self, seat: Seat, attempt: AttemptId | None, size: Resources, spec: JobSpec
    ) -> None:
        if not self.view.sizes.is_proven(spec):
            seat.unproven += 1
        if spec.kind is not WorkKind.SERVICE:
            share = size.millicores / max(1, seat.capacity.millicores)
            seat.shares[spec.batch_kind] = seat.shares.get(spec.batch_kind, 0) + share
        elif spec.service is not None and seat.residents is not None:
            seat.residents.append(self._make_resident(attempt, spec, spec.service))

    def _make_resident(
        self, attempt: AttemptId | None, spec: JobSpec, service: ServiceName
    ) -> Resident:
        load = self.view.load.get(attempt) if attempt else None
        band = UNKNOWN_LOAD_BAND if load is None else find_band(load)
        base = self.view.harm.find_base(service, band)
        if base is None:
            return Resident(service, band, -math.log(GOAL_OF_BASE))
        if spec.latency_goal is None:
            return Resident(service, band, -math.log(GOAL_OF_BASE))
        goal = math.log(spec.latency_goal.total_seconds())
        return Resident(service, band, base - goal)

    def take(self, seat: Seat, request: Request) -> None:
        """Count one more task of ``request`` on a worker."""
        self.find_residents(seat)
        seat.room = seat.room - request.size
        job = request.spec.job
        seat.jobs[job] = seat.jobs.get(job, 0) + 1
        self._count(seat, None, request.size, request.spec)
        self._shift_harm(seat, request, 1)

    def _shift_harm(self, seat: Seat, request: Request, sign: int) -> None:
        spec = request.spec
        if spec.kind is not WorkKind.SERVICE:
            share = sign * request.size.millicores / max(1, seat.capacity.millicores)
            for resident in self.find_residents(seat):
                self._add_harm(resident, spec.batch_kind, share)
        elif spec.service is not None and sign > 0:
            for kind, share in seat.shares.items():
                self._add_harm(self.find_residents(seat)[-1], kind, share)

    def give_back(self, seat: Seat, request: Request) -> None:
        """Undo one :meth:`take`."""
        seat.room = seat.room + request.size
        seat.jobs[request.spec.job] -= 1
        self._shift_harm(seat, request, -1)
        if not self.view.sizes.is_proven(request.spec):
            seat.unproven -= 1
        if request.spec.kind is not WorkKind.SERVICE:
            share = request.size.millicores / max(1, seat.capacity.millicores)
            seat.shares[request.spec.batch_kind] -= share
        elif request.spec.service is not None and seat.residents:
            seat.residents.pop()

    def largest_room(self, seat: Seat) -> Resources:
        """Return what a worker could take if it were empty."""
        if seat.worker.draining:
            return Resources()
        if seat.worker.quarantine is QuarantineState.QUARANTINED:
            return Resources()
        return find_usable(seat.capacity)

    def reject(self, seat: Seat, request: Request) -> RejectionReason | None:
        """Return why a worker can't take a task now, harm aside."""
        worker = seat.worker
        if worker.draining:
            return RejectionReason.DRAINING
        if seat.judged or worker.quarantine is QuarantineState.QUARANTINED:
            return RejectionReason.QUARANTINED
        if not request.size.fits(seat.room):
            return name_shortage(request.size, seat.room)
        if seat.reserved and request.spec.priority is not Priority.URGENT:
            return RejectionReason.RESERVED
        if not request.proven:
            return self._reject_unproven(seat, request)
        return None

    def _reject_unproven(self, seat: Seat, request: Request) -> RejectionReason | None:
        """Return why one more task of unknown real size is too many."""
        self.find_residents(seat)
        if seat.unproven < self.settings.unproven_per_worker:
            return None
        feared = request.size.memory_mb * FEARED_FACTOR * (seat.unproven + 1)
        if feared <= seat.room.memory_mb:
            return None
        return RejectionReason.UNPROVEN_SIZE

    def predict_harm(self, seat: Seat, request: Request) -> tuple[float, float]:
        """Return what a batch task would do to the services on a worker.

        Returns
        -------
        tuple
            Growth of tail latency in goals, summed over the services; and the
            highest logarithm of tail latency over goal afterwards.
        """
        residents = self.find_residents(seat)
        if not residents:
            return 0.0, -MAX_LOG_RATIO
        share = request.size.millicores / max(1, seat.capacity.millicores)
        growth, worst = 0.0, -MAX_LOG_RATIO
        for resident in residents:
            added = share * self._find_rate(request, resident)
            after = resident.log_ratio + added
            worst = max(worst, after)
            if resident.ratio is None:
                resident.ratio = math.exp(min(resident.log_ratio, MAX_LOG_RATIO))
            growth += resident.ratio * math.expm1(min(added, MAX_LOG_RATIO))
        return growth, worst

    def _find_rate(self, request: Request, resident: Resident) -> float:
        """Return the harm of a request to a service, looked up once a request."""
        rates = request.rates.get(resident.service)
        if rates is None:
            kind = request.spec.batch_kind
            find_rate = self.view.harm.find_rate
            rates = [find_rate(resident.service, kind, band) for band in range(BANDS)]
            request.rates[resident.service] = rates
        return rates[resident.band]

    def predict_suffering(self, seat: Seat, request: Request) -> float:
        """Return growth of a newcomer service's latency from work that is there."""
        self.find_residents(seat)
        service = request.spec.service
        if service is None:
            return 0.0
        return sum(
            used * self.view.harm.find_rate(service, kind, UNKNOWN_LOAD_BAND)
            for kind, used in seat.shares.items()
        )


def name_shortage(size: Resources, room: Resources) -> RejectionReason:
    """Return the dimension in which a size does not fit."""
    if size.accelerators > room.accelerators:
        return RejectionReason.ACCELERATORS
    if size.memory_mb > room.memory_mb:
        return RejectionReason.MEMORY
    return RejectionReason.CORES
