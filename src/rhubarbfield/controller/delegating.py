"""Delegation of each job to one failure domain, by the leader of the fleet."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

import trio
from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.statemachines import FleetLogState
from rhubarbfield.fleet import Delegated, DelegateJob, FleetJob, JobRequest
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.placement import QuarantineState, Worker, WorkState
from rhubarbfield.placement.resources import MILLICORES_PER_CORE
from rhubarbfield.protocol import DomainSummary, WorkerShape
from rhubarbfield.types import FailureDomain, JobId

logger = logging.getLogger(__name__)

ROUND_INTERVAL = timedelta(milliseconds=100)
IDLE_INTERVAL = timedelta(seconds=1)
SUMMARY_LIFETIME = timedelta(seconds=15)
UNFIT_GRACE = timedelta(seconds=5)


class Delegator:
    """Delegates the jobs that no failure domain holds, or that a lost one held.

    Parameters
    ----------
    log
        The fleet's log, led by this instance.
    clock
        Source of time.
    """

    def __init__(self, log: ReplicatedLog[FleetLogState], clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._summaries: dict[FailureDomain, tuple[timedelta, DomainSummary]] = {}
        self._delegated_cores: Counter[FailureDomain] = Counter()
        self._unfit_since: dict[JobId, timedelta] = {}
        self._last_domains: dict[JobId, FailureDomain] = {}

    def record_summary(self, summary: DomainSummary) -> None:
        """Record a domain's report of its free capacity."""
        self._summaries[summary.domain] = (self._clock.monotonic(), summary)
        self._delegated_cores[summary.domain] = 0

    async def run(self) -> None:
        """Delegate until cancelled."""
        while True:
            seen = self._log.changes
            for job in list(self._log.state.fleet.jobs.values()):
                if not job.is_open:
                    self._last_domains.pop(job.id, None)
                elif self._needs_domain(job):
                    await self._delegate(job)
            await self._clock.sleep(ROUND_INTERVAL)
            with trio.move_on_after(IDLE_INTERVAL.total_seconds()):
                await self._log.wait_change(seen)

    def _needs_domain(self, job: FleetJob) -> bool:
        lost = self._log.state.fleet.lost_domains
        return job.domain is None or job.domain in lost

    async def _delegate(self, job: FleetJob) -> None:
        domain = self._choose_domain(job)
        if domain is None:
            return
        self._unfit_since.pop(job.id, None)
        proposed = await self._log.propose(
            DelegateJob(job=job.id, domain=domain, at=self._clock.now())
        )
        if isinstance(proposed, Success) and isinstance(proposed.unwrap(), Delegated):
            self._last_domains[job.id] = domain
            self._delegated_cores[domain] += round(
                job.request.cores * job.request.tasks
            )
            logger.info("job-delegated job=%s domain=%s", job.id, domain)

    def _choose_domain(self, job: FleetJob) -> FailureDomain | None:
        """Return the domain with the most free cores that can hold the job.

        A job that fits no domain is held back for ``UNFIT_GRACE``, in which the
        domains can report new workers. After that it is delegated to the domain
        with the most free cores, which ends it and states why it can't run.
        """
        request = job.request
        # The domain that had the job before has released it and can't run it.
        excluded = {*self._log.state.fleet.lost_domains, self._last_domains.get(job.id)}
        if request.domain is not None:
            return None if request.domain in excluded else request.domain
        now = self._clock.monotonic()
        fresh = [
            summary
            for received_at, summary in self._summaries.values()
            if now - received_at < SUMMARY_LIFETIME and summary.domain not in excluded
        ]
        candidates = [summary for summary in fresh if fits_domain(request, summary)]
        if not candidates and self._may_fit_soon(job.id, fresh):
            return None
        chosen = max(candidates or fresh, key=self._estimate_free_cores, default=None)
        return None if chosen is None else chosen.domain

    def _may_fit_soon(self, job: JobId, fresh: Sequence[DomainSummary]) -> bool:
        if not any(summary.shapes for summary in fresh):
            return True
        now = self._clock.monotonic()
        return now - self._unfit_since.setdefault(job, now) < UNFIT_GRACE

    def _estimate_free_cores(self, summary: DomainSummary) -> float:
        waiting = summary.waiting_tasks + self._delegated_cores[summary.domain]
        return summary.free_millicores / MILLICORES_PER_CORE - waiting


def fits_domain(request: JobRequest, summary: DomainSummary) -> bool:
    """Return whether the domain could hold the job if it were idle."""
    fitting = sum(_count_fits(request, shape) for shape in summary.shapes)
    return fitting >= (request.tasks if request.gang else 1)


def _count_fits(request: JobRequest, shape: WorkerShape) -> int:
    """Return how many tasks of the job fit on all workers of one shape."""
    each = [shape.memory_mb // max(1, request.memory_mb)]
    if request.cores:
        each.append(
            int(shape.millicores // max(1, request.cores * MILLICORES_PER_CORE))
        )
    if request.accelerators:
        each.append(shape.accelerators // request.accelerators)
    return min(each) * shape.count


def summarize_domain(domain: FailureDomain, work: WorkState) -> DomainSummary:
    """Return the free capacity, worker shapes and waiting tasks of a domain."""
    usable = [worker for worker in work.workers.values() if _is_usable(worker)]
    shapes = Counter(
        (
            worker.announced.millicores,
            worker.announced.memory_mb,
            worker.announced.accelerators,
        )
        for worker in usable
    )
    free = [worker.capacity - worker.committed for worker in usable]
    return DomainSummary(
        domain=domain,
        free_millicores=sum(one.millicores for one in free),
        free_memory_mb=sum(one.memory_mb for one in free),
        free_accelerators=sum(one.accelerators for one in free),
        shapes=tuple(WorkerShape(*shape, count) for shape, count in shapes.items()),
        waiting_tasks=sum(len(work.jobs[job].pending) for job in work.waiting),
    )


def _is_usable(worker: Worker) -> bool:
    unquarantined = worker.quarantine is QuarantineState.TRUSTED
    return worker.present and unquarantined and not worker.draining
