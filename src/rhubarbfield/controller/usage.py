"""Conversion of workers' usage reports into observations for placement."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.controller.statemachines import DomainLogState
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.placement import (
    Attempt,
    AttemptUsage,
    Observations,
    ServiceLatency,
    WorkState,
)
from rhubarbfield.placement import UsageReport as PlacementReport
from rhubarbfield.placement.resources import MILLICORES_PER_CORE
from rhubarbfield.types import AttemptId, Epoch, ServiceName, WorkerId
from rhubarbfield.workers import UsageReport

THROTTLE_SLACK = 64  # throttles kept beyond twice the number of live attempts


class UsageSink:
    """Records workers' usage reports while this instance leads its domain.

    Parameters
    ----------
    log
        The domain's log.
    """

    def __init__(self, log: ReplicatedLog[DomainLogState]) -> None:
        self._log = log
        self._throttles: dict[AttemptId, float] = {}
        self.observations = Observations()
        self.observations.restore(log.state.work)

    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        """Record a report, unless it is outdated or its worker is unknown."""
        work = self._log.state.work
        known = work.workers.get(worker)
        if known is None:
            return
        usages = tuple(
            AttemptUsage(
                attempt=usage.attempt,
                millicores=round(usage.cores * MILLICORES_PER_CORE),
                memory_mb=usage.memory_mb,
                throttle=self._throttles.get(usage.attempt, 1.0),
            )
            for usage in report.attempts
        )
        used = {usage.attempt: usage.millicores for usage in usages}
        latencies = []
        for sample in report.services:
            attempt = _find_service_attempt(work, worker, sample.service)
            if attempt is None:
                continue
            size = max(1, attempt.size.millicores)
            latencies.append(
                ServiceLatency(
                    attempt=attempt.attempt,
                    load=min(1.0, used.get(attempt.attempt, 0) / size),
                    p99=timedelta(milliseconds=sample.tail_ms),
                )
            )
        self.observations.record(
            work,
            PlacementReport(
                worker=worker,
                epoch=known.epoch,
                taken_at=report.taken_at,
                usages=usages,
                latencies=tuple(latencies),
            ),
        )

    def record_throttle(self, attempt: AttemptId, fraction: float) -> None:
        """Record the fraction of its processors that an attempt may use."""
        self._throttles[attempt] = fraction
        live = self._log.state.work.workers.values()
        if (
            len(self._throttles)
            > 2 * sum(len(one.live) for one in live) + THROTTLE_SLACK
        ):
            self._drop_ended()

    def _drop_ended(self) -> None:
        live = {
            attempt
            for worker in self._log.state.work.workers.values()
            for attempt in worker.live
        }
        self._throttles = {
            attempt: fraction
            for attempt, fraction in self._throttles.items()
            if attempt in live
        }


def _find_service_attempt(
    work: WorkState, worker: WorkerId, service: ServiceName
) -> Attempt | None:
    """Return the attempt on ``worker`` that serves ``service``, if any."""
    known = work.workers.get(worker)
    for task_id in known.live.values() if known else ():
        task = work.tasks[task_id]
        if work.jobs[task.job].spec.service == service:
            return task.live
    return None
