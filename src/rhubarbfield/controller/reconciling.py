"""Reconciliation of a domain's log with the fleet's log.

The two logs are compared, and commands that remove the differences are
proposed. Every step is idempotent, so that a new leader can continue where
the previous one stopped.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from functools import partial
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.statemachines import DomainLogState, FleetLogState
from rhubarbfield.fleet import (
    FinishJob,
    FleetJob,
    ReleaseJob,
    ReportJob,
)
from rhubarbfield.fleet import Quota as FleetQuota
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import Command
from rhubarbfield.placement import (
    AcceptJob,
    BatchKind,
    CancelJobs,
    Job,
    JobSpec,
    QuarantineState,
    Quota,
    Resources,
    SetDraining,
    SetQuarantine,
    SetQuota,
)
from rhubarbfield.protocol import LeaderFailure
from rhubarbfield.types import FailureDomain, JobId, JobState, Tenant, WorkerId

logger = logging.getLogger(__name__)

ROUND_INTERVAL = timedelta(milliseconds=200)
IDLE_INTERVAL = timedelta(seconds=3)
FLEET_TIMEOUT = timedelta(seconds=5)
UNLIMITED_CORES = 1e6
UNLIMITED_MEMORY_MB = 2**40
UNLIMITED_ACCELERATORS = 2**20
OPEN_JOB_STATES = frozenset({JobState.QUEUED, JobState.RUNNING})


class FleetReporter(Protocol):
    """Port through which commands reach the leader of the fleet's log."""

    async def propose(
        self, command: Command, timeout: timedelta
    ) -> Result[object, LeaderFailure]:
        """Commit ``command`` to the fleet's log, wherever its leader is."""


class Reconciler:
    """Copies desired state from the fleet's log to a domain's, and results back.

    Parameters
    ----------
    domain
        The failure domain that this instance leads.
    log
        The domain's log.
    fleet_log
        The fleet's log as applied on this instance.
    fleet
        Reaches the leader of the fleet's log.
    clock
        Source of time.
    """

    def __init__(
        self,
        domain: FailureDomain,
        log: ReplicatedLog[DomainLogState],
        fleet_log: ReplicatedLog[FleetLogState],
        fleet: FleetReporter,
        clock: Clock,
    ) -> None:
        self._domain = domain
        self._log = log
        self._fleet_log = fleet_log
        self._fleet = fleet
        self._clock = clock

    async def run(self) -> None:
        """Reconcile after each change, or after ``IDLE_INTERVAL`` without one.

        Runs until cancelled.
        """
        while True:
            seen = (self._log.changes, self._fleet_log.changes)
            for command in list(self._list_domain_commands()):
                if not isinstance(await self._log.propose(command), Success):
                    break
            await self._send_reports()
            await self._clock.sleep(ROUND_INTERVAL)
            await _wait_any(
                IDLE_INTERVAL,
                partial(self._log.wait_change, seen[0]),
                partial(self._fleet_log.wait_change, seen[1]),
            )

    def _list_domain_commands(self) -> Iterator[Command]:
        now = self._clock.now()
        fleet = self._fleet_log.state.fleet
        work = self._log.state.work
        cancelled: list[JobId] = []
        for job in fleet.jobs.values():
            accepted = work.jobs.get(job.id)
            if not job.is_open or job.domain != self._domain:
                if accepted is not None and accepted.state in OPEN_JOB_STATES:
                    cancelled.append(job.id)
                continue
            if accepted is None and not job.cancelling:
                yield AcceptJob(at=now, spec=make_spec(job))
            elif (
                accepted is not None
                and job.cancelling
                and accepted.state in OPEN_JOB_STATES
            ):
                cancelled.append(job.id)
        if cancelled:
            yield CancelJobs(at=now, jobs=tuple(cancelled))
        yield from self._list_restrictions()
        for tenant, quota in fleet.quotas.items():
            wanted = convert_quota(quota)
            account = work.accounts.get(Tenant(tenant))
            if account is None or account.quota != wanted:
                yield SetQuota(at=now, tenant=Tenant(tenant), quota=wanted)

    def _list_restrictions(self) -> Iterator[Command]:
        """Yield the commands that apply operators' drains and quarantines."""
        now = self._clock.now()
        fleet = self._fleet_log.state.fleet
        for worker in self._log.state.work.workers.values():
            drained = fleet.is_drained("worker", worker.worker)
            if drained != worker.draining:
                yield SetDraining(at=now, worker=worker.worker, draining=drained)
            quarantined_by_operator = worker.worker in fleet.quarantined_workers
            unquarantined = worker.quarantine is QuarantineState.TRUSTED
            if quarantined_by_operator and unquarantined:
                yield SetQuarantine(
                    at=now,
                    worker=WorkerId(worker.worker),
                    state=QuarantineState.QUARANTINED,
                    reason="an operator has quarantined it",
                )

    async def _send_reports(self) -> None:
        for command in list(self._list_reports()):
            match await self._fleet.propose(command, FLEET_TIMEOUT):
                case Failure(failure):
                    logger.info("fleet-report-delayed %r", failure)
                    return

    def _list_reports(self) -> Iterator[Command]:
        work = self._log.state.work
        for job in self._fleet_log.state.fleet.jobs.values():
            if not job.is_open or job.domain != self._domain:
                continue
            accepted = work.jobs.get(job.id)
            if accepted is not None:
                yield from self._list_job_reports(job, accepted)
            elif job.cancelling:
                yield ReleaseJob(
                    job=job.id,
                    domain=self._domain,
                    epoch=job.epoch,
                    reason="it was cancelled before it was accepted",
                    at=self._clock.now(),
                )

    def _list_job_reports(self, job: FleetJob, accepted: Job) -> Iterator[Command]:
        if accepted.state in OPEN_JOB_STATES or accepted.live:
            if accepted.state is JobState.RUNNING and job.state is JobState.QUEUED:
                yield ReportJob(job=job.id, domain=self._domain, epoch=job.epoch)
            return
        if accepted.state is JobState.CANCELLED and not job.cancelling:
            # This domain was declared lost while it held the job, ended the job,
            # and was given it a second time.
            yield ReleaseJob(
                job=job.id,
                domain=self._domain,
                epoch=job.epoch,
                reason=f"{self._domain} ended it when the job was with another domain",
                at=self._clock.now(),
            )
            return
        yield FinishJob(
            job=job.id,
            domain=self._domain,
            epoch=job.epoch,
            state=accepted.state,
            reason=accepted.reason or f"{accepted.succeeded} tasks succeeded",
            at=self._clock.now(),
        )


def make_spec(job: FleetJob) -> JobSpec:
    """Return the job as placement's commands describe it."""
    request = job.request
    return JobSpec(
        job=job.id,
        tenant=request.tenant,
        kind=request.kind,
        priority=request.priority,
        tasks=request.tasks,
        gang=request.gang,
        cores=request.cores,
        memory_mb=request.memory_mb,
        accelerators=request.accelerators,
        service=request.service,
        batch_kind=BatchKind(request.task_kind or request.name),
        program=request.payload,
    )


def convert_quota(quota: FleetQuota) -> Quota:
    """Return the quota in the form that placement uses."""
    limits = (quota.cores, quota.memory_mb, quota.accelerators)
    if all(limit is None for limit in limits):
        return Quota()
    return Quota(
        limit=Resources.of(
            UNLIMITED_CORES if quota.cores is None else quota.cores,
            UNLIMITED_MEMORY_MB if quota.memory_mb is None else quota.memory_mb,
            UNLIMITED_ACCELERATORS
            if quota.accelerators is None
            else quota.accelerators,
        )
    )


async def _wait_any(timeout: timedelta, *waits: Callable[[], Awaitable[None]]) -> None:
    """Wait until one of ``waits`` returns, or ``timeout`` has passed."""
    with trio.move_on_after(timeout.total_seconds()):
        async with trio.open_nursery() as nursery:
            for wait in waits:
                nursery.start_soon(_wait_then_cancel, wait, nursery.cancel_scope)


async def _wait_then_cancel(
    wait: Callable[[], Awaitable[None]], scope: trio.CancelScope
) -> None:
    await wait()
    scope.cancel()
