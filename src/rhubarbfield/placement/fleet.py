"""Workers in one planning round, including what the round has already planned."""

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
ASSUMED_GOAL_RATIO = 3.0  # goal over tail latency, if either is not known
MAX_LOG_RATIO = 3.0
WORST_CASE_SIZE_FACTOR = 10


@dataclass
class HostedService:
    """A service that runs on a worker.

    Attributes
    ----------
    band
        Load band of the service.
    log_ratio
        Logarithm of predicted tail latency over its goal, given the co-located
        batch work.
    ratio
        Exponential of ``log_ratio``, cached; ``None`` until it is needed.
    """

    service: ServiceName
    band: int
    log_ratio: float
    ratio: float | None = None


@dataclass
class PlannedWorker:
    """A worker together with what this round has already planned on it.

    Attributes
    ----------
    index
        Position in :attr:`Fleet.planned_workers`.
    headroom
        Capacity that may still be committed.
    reserved
        Whether urgent work waits for evictions on this worker.
    being_quarantined
        Whether this round quarantines the worker.
    hosted_services
        Services on the worker; ``None`` until its attempts are looked up.
    shares
        Fraction of the worker's processors committed to each kind of batch work.
    unproven
        Number of attempts whose size is not proven.
    jobs
        Number of tasks of each job.
    """

    worker: Worker
    index: int
    headroom: Resources
    reserved: bool = False
    being_quarantined: bool = False
    hosted_services: list[HostedService] | None = None
    shares: dict[BatchKind, float] = field(default_factory=dict)
    unproven: int = 0
    jobs: dict[JobId, int] = field(default_factory=dict)

    @property
    def name(self) -> WorkerId:
        """Id of the worker."""
        return self.worker.worker

    @property
    def capacity(self) -> Resources:
        """Capacity that the worker announced."""
        return self.worker.announced


class PlacementRequest:
    """Requirements for placing one task; the same for all tasks of a job.

    Parameters
    ----------
    spec
        The job's spec.
    size
        Resources to commit to one task.
    proven
        Whether ``size`` is based on enough reports.
    ceiling
        Logarithm of the highest predicted ratio of tail latency to its goal that
        the task may cause.
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
    """All present workers in one planning round.

    Planned workers are created from the state when the round begins; the attempts
    on a worker are looked up only when they are first needed.

    Parameters
    ----------
    state
        The replicated state.
    observations
        Reports of workers and what was learned from them.
    settings
        Settings of the policy.
    now
        The leader's wall time.

    Attributes
    ----------
    total
        Sum of the announced capacities.
    largest
        Largest usable capacity in each dimension, without draining workers.
    largest_known
        Largest usable capacity in each dimension, with draining and absent workers.
    """

    def __init__(
        self,
        state: WorkState,
        observations: Observations,
        settings: PlacementSettings,
        now: datetime,
    ) -> None:
        self.state = state
        self.observations = observations
        self.settings = settings
        self.now = now
        self.planned_workers: list[PlannedWorker] = []
        self.total = Resources()
        self.largest = Resources()
        self.largest_known = Resources()
        for worker in state.workers.values():
            usable = find_usable(worker.announced)
            self.largest_known = self.largest_known.enlarge(usable)
            if worker.present:
                self._add(worker)
        self.by_name = {planned.name: planned for planned in self.planned_workers}

    def _add(self, worker: Worker) -> None:
        usable = find_usable(worker.announced)
        headroom = usable - worker.committed
        self.planned_workers.append(
            PlannedWorker(worker, len(self.planned_workers), headroom)
        )
        self.total = self.total + worker.announced
        if not worker.draining:
            self.largest = self.largest.enlarge(usable)

    def list_attempts(
        self, planned: PlannedWorker
    ) -> list[tuple[Task, Attempt, JobSpec]]:
        """Return the live attempts on a worker with their tasks and specs."""
        found = []
        for task_id in planned.worker.live.values():
            task = self.state.tasks[task_id]
            if task.live is not None:
                found.append((task, task.live, self.state.jobs[task.job].spec))
        return found

    def find_hosted_services(self, planned: PlannedWorker) -> list[HostedService]:
        """Return the services on a worker, looked up once per round."""
        if planned.hosted_services is None:
            planned.hosted_services = []
            for _, attempt, spec in self.list_attempts(planned):
                planned.jobs[spec.job] = planned.jobs.get(spec.job, 0) + 1
                self._count(planned, attempt.attempt, attempt.size, spec)
            for hosted in planned.hosted_services:
                for kind, share in planned.shares.items():
                    self._add_harm(hosted, kind, share)
        return planned.hosted_services

    def _add_harm(self, hosted: HostedService, kind: BatchKind, share: float) -> None:
        rate = self.observations.harm.find_rate(hosted.service, kind, hosted.band)
        hosted.log_ratio += share * rate
        hosted.ratio = None

    def _count(
        self,
        planned: PlannedWorker,
        attempt: AttemptId | None,
        size: Resources,
        spec: JobSpec,
    ) -> None:
        if not self.observations.sizes.is_proven(spec):
            planned.unproven += 1
        if spec.kind is not WorkKind.SERVICE:
            share = size.millicores / max(1, planned.capacity.millicores)
            planned.shares[spec.batch_kind] = (
                planned.shares.get(spec.batch_kind, 0) + share
            )
        elif spec.service is not None and planned.hosted_services is not None:
            planned.hosted_services.append(
                self._make_hosted_service(attempt, spec, spec.service)
            )

    def _make_hosted_service(
        self, attempt: AttemptId | None, spec: JobSpec, service: ServiceName
    ) -> HostedService:
        load = self.observations.load.get(attempt) if attempt else None
        band = UNKNOWN_LOAD_BAND if load is None else find_band(load)
        base = self.observations.harm.find_base(service, band)
        if base is None:
            return HostedService(service, band, -math.log(ASSUMED_GOAL_RATIO))
        if spec.latency_goal is None:
            return HostedService(service, band, -math.log(ASSUMED_GOAL_RATIO))
        goal = math.log(spec.latency_goal.total_seconds())
        return HostedService(service, band, base - goal)

    def add_task(self, planned: PlannedWorker, request: PlacementRequest) -> None:
        """Plan one more task of ``request`` on a worker."""
        self.find_hosted_services(planned)
        planned.headroom = planned.headroom - request.size
        job = request.spec.job
        planned.jobs[job] = planned.jobs.get(job, 0) + 1
        self._count(planned, None, request.size, request.spec)
        self._update_harm(planned, request, 1)

    def _update_harm(
        self, planned: PlannedWorker, request: PlacementRequest, sign: int
    ) -> None:
        spec = request.spec
        if spec.kind is not WorkKind.SERVICE:
            share = sign * request.size.millicores / max(1, planned.capacity.millicores)
            for hosted in self.find_hosted_services(planned):
                self._add_harm(hosted, spec.batch_kind, share)
        elif spec.service is not None and sign > 0:
            for kind, share in planned.shares.items():
                self._add_harm(self.find_hosted_services(planned)[-1], kind, share)

    def remove_task(self, planned: PlannedWorker, request: PlacementRequest) -> None:
        """Undo one :meth:`add_task`."""
        planned.headroom = planned.headroom + request.size
        planned.jobs[request.spec.job] -= 1
        self._update_harm(planned, request, -1)
        if not self.observations.sizes.is_proven(request.spec):
            planned.unproven -= 1
        if request.spec.kind is not WorkKind.SERVICE:
            share = request.size.millicores / max(1, planned.capacity.millicores)
            planned.shares[request.spec.batch_kind] -= share
        elif request.spec.service is not None and planned.hosted_services:
            planned.hosted_services.pop()

    def headroom_if_empty(self, planned: PlannedWorker) -> Resources:
        """Return the headroom that a worker would have if no tasks were on it."""
        if planned.worker.draining:
            return Resources()
        if planned.worker.quarantine is QuarantineState.QUARANTINED:
            return Resources()
        return find_usable(planned.capacity)

    def reject(
        self, planned: PlannedWorker, request: PlacementRequest
    ) -> RejectionReason | None:
        """Return why a worker can't run a task now, not considering harm."""
        reason = self._reject_worker(planned)
        if reason is not None:
            return reason
        if not request.size.fits(planned.headroom):
            return name_shortage(request.size, planned.headroom)
        if planned.reserved and request.spec.priority is not Priority.URGENT:
            return RejectionReason.RESERVED
        if not request.proven:
            return self._reject_unproven(planned, request)
        return None

    def _reject_worker(self, planned: PlannedWorker) -> RejectionReason | None:
        """Return why a worker can't run any task."""
        if planned.worker.draining:
            return RejectionReason.DRAINING
        if planned.name in self.observations.unreachable:
            return RejectionReason.SILENT
        if (
            planned.being_quarantined
            or planned.worker.quarantine is QuarantineState.QUARANTINED
        ):
            return RejectionReason.QUARANTINED
        return None

    def _reject_unproven(
        self, planned: PlannedWorker, request: PlacementRequest
    ) -> RejectionReason | None:
        """Return ``UNPROVEN_SIZE`` if the worker may not get one more such task.

        A worker at its limit still gets one if all its tasks of unproven size would
        fit when ``WORST_CASE_SIZE_FACTOR`` times larger.
        """
        self.find_hosted_services(planned)
        if planned.unproven < self.settings.unproven_per_worker:
            return None
        worst_case_mb = (
            request.size.memory_mb * WORST_CASE_SIZE_FACTOR * (planned.unproven + 1)
        )
        if worst_case_mb <= planned.headroom.memory_mb:
            return None
        return RejectionReason.UNPROVEN_SIZE

    def predict_harm(
        self, planned: PlannedWorker, request: PlacementRequest
    ) -> tuple[float, float]:
        """Return the predicted harm of a batch task to the services on a worker.

        Returns
        -------
        tuple
            Growth of tail latency in multiples of the goal, summed over the
            services; and the highest logarithm of tail latency over goal with the
            task.
        """
        hosted_services = self.find_hosted_services(planned)
        if not hosted_services:
            return 0.0, -MAX_LOG_RATIO
        share = request.size.millicores / max(1, planned.capacity.millicores)
        growth, worst = 0.0, -MAX_LOG_RATIO
        for hosted in hosted_services:
            added = share * self._find_rate(request, hosted)
            after = hosted.log_ratio + added
            worst = max(worst, after)
            if hosted.ratio is None:
                hosted.ratio = math.exp(min(hosted.log_ratio, MAX_LOG_RATIO))
            growth += hosted.ratio * math.expm1(min(added, MAX_LOG_RATIO))
        return growth, worst

    def _find_rate(self, request: PlacementRequest, hosted: HostedService) -> float:
        """Return the harm rate of a request to a service, cached in the request."""
        rates = request.rates.get(hosted.service)
        if rates is None:
            kind = request.spec.batch_kind
            find_rate = self.observations.harm.find_rate
            rates = [find_rate(hosted.service, kind, band) for band in range(BANDS)]
            request.rates[hosted.service] = rates
        return rates[hosted.band]

    def predict_service_slowdown(
        self, planned: PlannedWorker, request: PlacementRequest
    ) -> float:
        """Return the growth of a new service's log latency by batch work there."""
        self.find_hosted_services(planned)
        service = request.spec.service
        if service is None:
            return 0.0
        return sum(
            used * self.observations.harm.find_rate(service, kind, UNKNOWN_LOAD_BAND)
            for kind, used in planned.shares.items()
        )


def name_shortage(size: Resources, headroom: Resources) -> RejectionReason:
    """Return the dimension in which a size does not fit the headroom."""
    if size.accelerators > headroom.accelerators:
        return RejectionReason.ACCELERATORS
    if size.memory_mb > headroom.memory_mb:
        return RejectionReason.MEMORY
    return RejectionReason.CORES
