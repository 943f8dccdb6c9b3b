"""Tasks of a controller that leads its failure domain or the fleet."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from datetime import timedelta

import trio
from returns.result import Result

from rhubarbfield.clock import Clock
from rhubarbfield.controller.delegating import Delegator, summarize_domain
from rhubarbfield.controller.entrysessions import EntrySessions
from rhubarbfield.controller.orders import OrderFeed
from rhubarbfield.controller.planning import Planner
from rhubarbfield.controller.reconciling import FleetReporter, Reconciler
from rhubarbfield.controller.statemachines import DomainLogState, FleetLogState
from rhubarbfield.controller.usage import UsageSink
from rhubarbfield.controller.worklog import DomainWorkLog
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.leases import LeaseTerms
from rhubarbfield.machine import Command
from rhubarbfield.placement import PlacementSettings
from rhubarbfield.protocol import DomainSummary, LeaderCalls, LeaderFailure
from rhubarbfield.records import ExpireRecords
from rhubarbfield.types import FailureDomain
from rhubarbfield.workers import WorkerSessions, WorkerSessionSettings

logger = logging.getLogger(__name__)

SUMMARY_INTERVAL = timedelta(seconds=2)
SUMMARY_TIMEOUT = timedelta(seconds=2)
EXPIRE_INTERVAL = timedelta(minutes=10)
RECORD_RETENTION = timedelta(hours=6)


class FleetCalls:
    """Proposes commands to the leader of the fleet's log by remote calls.

    Parameters
    ----------
    calls
        Calls to the leader of the fleet's log.
    """

    def __init__(self, calls: LeaderCalls) -> None:
        self._calls = calls

    async def propose(
        self, command: Command, timeout: timedelta
    ) -> Result[object, LeaderFailure]:
        """Commit ``command`` to the fleet's log, wherever its leader is."""
        return await self._calls.call(command, timeout)


class DomainLeader:
    """Runs the tasks of one term in which this instance leads its failure domain.

    Parameters
    ----------
    domain
        The failure domain.
    log, fleet_log
        The domain's log, and the fleet's as applied on this instance.
    feed
        Orders to workers.
    work_log
        Access to the domain's log for workers' sessions.
    fleet
        Reaches the leader of the fleet's log.
    summaries
        Calls that report the domain's free capacity to the leader of the fleet.
    entry_terms
        Terms of the leases of entries' sessions.
    worker_settings
        Settings of workers' sessions.
    get_placement
        Returns the settings of the placement policy in force.
    clock, rng
        Sources of time and of random numbers.
    """

    def __init__(
        self,
        domain: FailureDomain,
        *,
        log: ReplicatedLog[DomainLogState],
        fleet_log: ReplicatedLog[FleetLogState],
        feed: OrderFeed,
        work_log: DomainWorkLog,
        fleet: FleetReporter,
        summaries: LeaderCalls,
        entry_terms: LeaseTerms,
        worker_settings: WorkerSessionSettings,
        get_placement: Callable[[], PlacementSettings],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._log = log
        self._summaries = summaries
        self._clock = clock
        usage = UsageSink(log)
        self.workers = WorkerSessions(
            worker_settings, clock=clock, log=work_log, observations=usage
        )
        self.entries = EntrySessions(
            domain,
            domain_log=log,
            fleet_log=fleet_log,
            terms=entry_terms,
            clock=clock,
        )
        self.planner = Planner(
            log,
            feed=feed,
            usage=usage,
            get_settings=get_placement,
            clock=clock,
            rng=rng,
        )
        self._reconciler = Reconciler(domain, log, fleet_log, fleet, clock)

    async def run(self) -> None:
        """Lead until cancelled."""
        logger.info("domain-leading domain=%s", self._domain)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.workers.sweep)
                nursery.start_soon(self.entries.sweep)
                nursery.start_soon(self.planner.run)
                nursery.start_soon(self._reconciler.run)
                nursery.start_soon(self._send_summaries)
                nursery.start_soon(self._expire_records)
        finally:
            logger.info("domain-led domain=%s", self._domain)

    async def _send_summaries(self) -> None:
        while True:
            summary = summarize_domain(self._domain, self._log.state.work)
            await self._summaries.call(summary, SUMMARY_TIMEOUT)
            await self._clock.sleep(SUMMARY_INTERVAL)

    async def _expire_records(self) -> None:
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL)
            await self._log.propose(
                ExpireRecords(at=self._clock.now(), kept_for=RECORD_RETENTION)
            )


class FleetLeader:
    """Runs the tasks of one term in which this instance leads the fleet's log."""

    def __init__(self, log: ReplicatedLog[FleetLogState], clock: Clock) -> None:
        self._delegator = Delegator(log, clock)

    def record_summary(self, summary: DomainSummary) -> None:
        """Record a domain's report of its free capacity."""
        self._delegator.record_summary(summary)

    async def run(self) -> None:
        """Lead until cancelled."""
        logger.info("fleet-leading")
        try:
            await self._delegator.run()
        finally:
            logger.info("fleet-led")
