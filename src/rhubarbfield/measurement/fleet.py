"""A fleet of entries with simulated backend servers, on a virtual clock."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum

import msgspec
import trio
import trio.testing
from returns.result import Failure, Result, Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.measurement.null_ports import NoRecords
from rhubarbfield.routing import (
    BackendAnswer,
    BackendGrant,
    BackendTarget,
    CallerRequest,
    ExchangeFailure,
    LiveSettings,
    OwnedServers,
    PeerEntry,
    Refusal,
    Router,
    RoutingSettings,
    TenantSettings,
    check_grants,
)
from rhubarbfield.types import (
    BackendServerId,
    Epoch,
    FailureDomain,
    InstanceName,
    RequestClass,
    RequestId,
    ServiceName,
    Tenant,
)

SERVICE = ServiceName("board")
ENTRIES_BY_DOMAIN = (3, 2, 2)
SERVERS_PER_DOMAIN = 10
SLOTS_PER_SERVER = 8
CONNECTIONS_PER_SERVER = 64
EVEN_WEIGHTS = (1, 1, 1, 1, 1, 1, 1)
UNEVEN_WEIGHTS = (4, 1, 1, 2, 1, 1, 1)
NEAR_DELAY = timedelta(milliseconds=0.3)
FAR_DELAY = timedelta(milliseconds=1.5)
HOP_PROCESSING_TIME = timedelta(milliseconds=1.9)
TIMEOUT = timedelta(seconds=5)
WARM_UP = timedelta(seconds=2)
LEASE = timedelta(hours=1)
SETTINGS = RoutingSettings(default_tenant=TenantSettings(in_flight=100_000))


class SlotAllocation(StrEnum):
    """How the slots of backend servers are allocated to entries."""

    OWNER = "owner"
    SPLIT = "split"
    SPLIT_HOPS = "split-hops"


class CallerDistribution(StrEnum):
    """How callers are distributed over the entries."""

    EVEN = "even"
    UNEVEN = "uneven"


class Trial(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run.

    Attributes
    ----------
    load
        Average number of requests in progress, as a fraction of all slots.
    duration
        Virtual time in which requests arrive, without the warm-up.
    hint_interval
        Interval at which entries report their free slots to each other.
    mean_latency, latency_log_deviation
        Mean service time, and standard deviation of its logarithm.
    """

    allocation: SlotAllocation
    callers: CallerDistribution
    load: float
    seed: int
    duration: timedelta
    hint_interval: timedelta = timedelta(milliseconds=50)
    mean_latency: timedelta = timedelta(milliseconds=100)
    latency_log_deviation: float = 0.5


class TrialResult(msgspec.Struct):
    """Results of one run.

    Attributes
    ----------
    latencies
        Latencies of the answered requests, in seconds.
    refused
        Number of refused requests.
    forwarded, bounced
        Number of forwarded requests that the other entry answered, and that it
        refused; both include the warm-up.
    """

    latencies: list[float] = []
    refused: int = 0
    forwarded: int = 0
    bounced: int = 0

    def quantile(self, fraction: float) -> float:
        """Return the latency that ``fraction`` of the answers do not exceed, in ms."""
        ordered = sorted(self.latencies)
        index = min(len(ordered) - 1, int(fraction * len(ordered)))
        return ordered[index] * 1000


class SimulatedBackends:
    """Backend servers that take a random time for each request."""

    def __init__(self, trial: Trial, rng: random.Random) -> None:
        self._log_mean = (
            math.log(trial.mean_latency.total_seconds())
            - trial.latency_log_deviation**2 / 2
        )
        self._log_deviation = trial.latency_log_deviation
        self._rng = rng

    async def exchange(
        self, server: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        """Answer after a random time."""
        await trio.sleep(self._rng.lognormvariate(self._log_mean, self._log_deviation))
        return Success(BackendAnswer(status=200))

    async def forget(self, server: BackendServerId) -> None:
        """Do nothing, as there are no connections."""


class SimulatedEntries:
    """The peer entries of one entry, with outdated hints and network delay."""

    def __init__(self, own: int, fleet: Fleet, hops: bool) -> None:
        self._own = own
        self._fleet = fleet
        self._hops = hops

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return the peer entries with the free slots that they last reported."""
        if not self._hops:
            return ()
        domains = self._fleet.domains
        return [
            PeerEntry(
                entry=InstanceName(str(number)),
                domain=FailureDomain(str(domain)),
                same_domain=domain == domains[self._own],
                free_slots=self._fleet.reported_free_slots[number],
            )
            for number, domain in enumerate(domains)
            if number != self._own
        ]

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Forward ``request``, with the network delay and the work of a hop."""
        domains = self._fleet.domains
        near = domains[int(entry)] == domains[self._own]
        delay = NEAR_DELAY if near else FAR_DELAY
        await trio.sleep((delay + HOP_PROCESSING_TIME / 2).total_seconds())
        result = await self._fleet.routers[int(entry)].route(request)
        free_slots = self._fleet.routers[int(entry)].count_free_slots(request.service)
        await trio.sleep((delay + HOP_PROCESSING_TIME / 2).total_seconds())
        self._fleet.reported_free_slots[int(entry)] = free_slots
        if isinstance(result, Success):
            self._fleet.result.forwarded += 1
        else:
            self._fleet.result.bounced += 1
        return result


class Fleet:
    """Entries and backend servers of one trial."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.result = TrialResult()
        self.domains = [
            domain
            for domain, count in enumerate(ENTRIES_BY_DOMAIN)
            for _ in range(count)
        ]
        self.reported_free_slots = [0] * len(self.domains)
        self._rng = random.Random(trial.seed)
        self._clock = TrioClock()
        self._backends = SimulatedBackends(trial, random.Random(trial.seed + 1))
        self._servers = [
            OwnedServers(self._clock, LiveSettings(SETTINGS)) for _ in self.domains
        ]
        self.routers = [self._make_router(each) for each in range(len(self.domains))]
        self._grant_all()

    async def run(self) -> TrialResult:
        """Send requests and return the results."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                await nursery.start(router.run)
            nursery.start_soon(self._refresh_hints)
            async with trio.open_nursery() as calls:
                await self._generate_requests(calls)
            nursery.cancel_scope.cancel()
        return self.result

    def _make_router(self, number: int) -> Router:
        hops = self.trial.allocation is not SlotAllocation.SPLIT
        return Router(
            servers=self._servers[number],
            backend=self._backends,
            peer_entries=SimulatedEntries(number, self, hops),
            records=NoRecords(),
            clock=self._clock,
            rng=random.Random(self.trial.seed + number),
            settings=LiveSettings(SETTINGS),
        )

    def _grant_all(self) -> None:
        for domain in range(len(ENTRIES_BY_DOMAIN)):
            entries = [
                number for number, each in enumerate(self.domains) if each == domain
            ]
            for number in range(SERVERS_PER_DOMAIN):
                self._grant(f"{domain}-{number}", number, entries)

    def _grant(self, name: str, number: int, entries: list[int]) -> None:
        offset = number % len(entries)
        order = entries[offset:] + entries[:offset]
        shares = [SLOTS_PER_SERVER, *[0] * (len(order) - 1)]
        if self.trial.allocation is not SlotAllocation.OWNER:
            shares = [
                SLOTS_PER_SERVER // len(order) + (index < SLOTS_PER_SERVER % len(order))
                for index in range(len(order))
            ]
        grants = [self._make_grant(name, share) for share in shares]
        check_grants(SLOTS_PER_SERVER, grants)
        for entry, grant in zip(order, grants, strict=True):
            if grant.slots:
                self._servers[entry].grant(grant).unwrap()

    def _make_grant(self, name: str, slots: int) -> BackendGrant:
        return BackendGrant(
            server=BackendServerId(name),
            service=SERVICE,
            address=name,
            slots=slots,
            connections=CONNECTIONS_PER_SERVER,
            epoch=Epoch(1),
            valid_until=self._clock.monotonic() + LEASE,
        )

    async def _refresh_hints(self) -> None:
        while True:
            self.reported_free_slots = [
                router.count_free_slots(SERVICE) for router in self.routers
            ]
            await self._clock.sleep(self.trial.hint_interval)

    async def _generate_requests(self, nursery: trio.Nursery) -> None:
        trial = self.trial
        slots = SLOTS_PER_SERVER * SERVERS_PER_DOMAIN * len(ENTRIES_BY_DOMAIN)
        rate = trial.load * slots / trial.mean_latency.total_seconds()
        weights = UNEVEN_WEIGHTS
        if trial.callers is CallerDistribution.EVEN:
            weights = EVEN_WEIGHTS
        end = self._clock.monotonic() + WARM_UP + trial.duration
        counted_from = self._clock.monotonic() + WARM_UP
        number = 0
        while (now := self._clock.monotonic()) < end:
            number += 1
            entry = self._rng.choices(range(len(weights)), weights)[0]
            nursery.start_soon(self._call, number, entry, now >= counted_from)
            await trio.sleep(self._rng.expovariate(rate))

    async def _call(self, number: int, entry: int, counted: bool) -> None:
        request = CallerRequest(
            request_id=RequestId(str(number)),
            tenant=Tenant("casa"),
            service=SERVICE,
            request_class=RequestClass.INTERACTIVE,
            method="GET",
            path="/",
            timeout=TIMEOUT,
            idempotent=True,
        )
        started_at = self._clock.monotonic()
        result = await self.routers[entry].route(request)
        if not counted:
            return
        if isinstance(result, Failure):
            self.result.refused += 1
            return
        latency = self._clock.monotonic() - started_at
        self.result.latencies.append(latency.total_seconds())


async def _run_fleet(trial: Trial) -> TrialResult:
    return await Fleet(trial).run()


def run_trial(trial: Trial) -> TrialResult:
    """Run one trial on a virtual clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run_fleet, trial, clock=clock)
