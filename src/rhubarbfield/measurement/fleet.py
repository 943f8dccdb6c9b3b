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
SERVERS_BY_DOMAIN = 10
SLOTS = 8
CONNECTIONS = 64
EVEN_WEIGHTS = (1, 1, 1, 1, 1, 1, 1)
UNEVEN_WEIGHTS = (4, 1, 1, 2, 1, 1, 1)
NEAR_DELAY = timedelta(milliseconds=0.3)
FAR_DELAY = timedelta(milliseconds=1.5)
HOP_WORK = timedelta(milliseconds=1.9)
TIMEOUT = timedelta(seconds=5)
WARM_UP = timedelta(seconds=2)
LEASE = timedelta(hours=1)
SETTINGS = RoutingSettings(default_tenant=TenantSettings(in_flight=100_000))


class Way(StrEnum):
    """How the slots of backend servers are given to entries."""

    OWNER = "owner"
    SPLIT = "split"
    SPLIT_HOPS = "split-hops"


class Callers(StrEnum):
    """How callers are spread over the entries."""

    EVEN = "even"
    UNEVEN = "uneven"


class Trial(msgspec.Struct, frozen=True, kw_only=True):
    """One run.

    Attributes
    ----------
    load
        Requests under way on average, as a part of all slots.
    duration
        How long requests arrive, in virtual time.
    hint_interval
        How often entries tell each other of their room.
    mean_latency, spread
        The mean service time and the deviation of its logarithm.
    """

    way: Way
    callers: Callers
    load: float
    seed: int
    duration: timedelta
    hint_interval: timedelta = timedelta(milliseconds=50)
    mean_latency: timedelta = timedelta(milliseconds=100)
    spread: float = 0.5


class Figures(msgspec.Struct):
    """What one run gave.

    Attributes
    ----------
    latencies
        Of the answered requests, in seconds.
    refused
        How many requests were refused.
    passed_on, bounced
        How often another entry answered, and had no room after all; with
        those of the warm-up.
    """

    latencies: list[float] = []
    refused: int = 0
    passed_on: int = 0
    bounced: int = 0

    def quantile(self, part: float) -> float:
        """Return the latency that ``part`` of the answers don't exceed, in ms."""
        ordered = sorted(self.latencies)
        index = min(len(ordered) - 1, int(part * len(ordered)))
        return ordered[index] * 1000


class SimulatedBackends:
    """Backend servers that take a random time for each request."""

    def __init__(self, trial: Trial, rng: random.Random) -> None:
        self._mean = math.log(trial.mean_latency.total_seconds()) - trial.spread**2 / 2
        self._spread = trial.spread
        self._rng = rng

    async def exchange(
        self, server: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        """Answer after a random time."""
        await trio.sleep(self._rng.lognormvariate(self._mean, self._spread))
        return Success(BackendAnswer(status=200))

    async def forget(self, server: BackendServerId) -> None:
        """Do nothing, as there are no connections."""


class SimulatedEntries:
    """The entries as one of them sees the others: late, and at a distance."""

    def __init__(self, own: int, fleet: Fleet, hops: bool) -> None:
        self._own = own
        self._fleet = fleet
        self._hops = hops

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return the other entries with the room they had a while ago."""
        if not self._hops:
            return ()
        domains = self._fleet.domains
        return [
            PeerEntry(
                entry=InstanceName(str(number)),
                domain=FailureDomain(str(domain)),
                same_domain=domain == domains[self._own],
                free_slots=self._fleet.rooms[number],
            )
            for number, domain in enumerate(domains)
            if number != self._own
        ]

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Pass ``request`` on, with the delay and the work of a hop."""
        domains = self._fleet.domains
        near = domains[int(entry)] == domains[self._own]
        delay = NEAR_DELAY if near else FAR_DELAY
        await trio.sleep((delay + HOP_WORK / 2).total_seconds())
        result = await self._fleet.routers[int(entry)].route(request)
        room = self._fleet.routers[int(entry)].count_free_slots(request.service)
        await trio.sleep((delay + HOP_WORK / 2).total_seconds())
        self._fleet.rooms[int(entry)] = room
        if isinstance(result, Success):
            self._fleet.figures.passed_on += 1
        else:
            self._fleet.figures.bounced += 1
        return result


class Fleet:
    """Entries and backend servers of one trial."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.figures = Figures()
        self.domains = [
            domain
            for domain, count in enumerate(ENTRIES_BY_DOMAIN)
            for _ in range(count)
        ]
        self.rooms = [0] * len(self.domains)
        self._rng = random.Random(trial.seed)
        self._clock = TrioClock()
        self._backends = SimulatedBackends(trial, random.Random(trial.seed + 1))
        self._servers = [
            OwnedServers(self._clock, LiveSettings(SETTINGS)) for _ in self.domains
        ]
        self.routers = [self._make_router(each) for each in range(len(self.domains))]
        self._grant_all()

    async def run(self) -> Figures:
        """Let requests arrive and return what they met."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                await nursery.start(router.run)
            nursery.start_soon(self._refresh_hints)
            async with trio.open_nursery() as calls:
                await self._arrive(calls)
            nursery.cancel_scope.cancel()
        return self.figures

    def _make_router(self, number: int) -> Router:
        hops = self.trial.way is not Way.SPLIT
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
            for number in range(SERVERS_BY_DOMAIN):
                self._grant(f"{domain}-{number}", number, entries)

    def _grant(self, name: str, number: int, entries: list[int]) -> None:
        turn = number % len(entries)
        order = entries[turn:] + entries[:turn]
        shares = [SLOTS, *[0] * (len(order) - 1)]
        if self.trial.way is not Way.OWNER:
            shares = [
                SLOTS // len(order) + (place < SLOTS % len(order))
                for place in range(len(order))
            ]
        grants = [self._make_grant(name, share) for share in shares]
        check_grants(SLOTS, grants)
        for entry, grant in zip(order, grants, strict=True):
            if grant.slots:
                self._servers[entry].grant(grant).unwrap()

    def _make_grant(self, name: str, slots: int) -> BackendGrant:
        return BackendGrant(
            server=BackendServerId(name),
            service=SERVICE,
            address=name,
            slots=slots,
            connections=CONNECTIONS,
            epoch=Epoch(1),
            valid_until=self._clock.monotonic() + LEASE,
        )

    async def _refresh_hints(self) -> None:
        while True:
            self.rooms = [router.count_free_slots(SERVICE) for router in self.routers]
            await self._clock.sleep(self.trial.hint_interval)

    async def _arrive(self, nursery: trio.Nursery) -> None:
        trial = self.trial
        slots = SLOTS * SERVERS_BY_DOMAIN * len(ENTRIES_BY_DOMAIN)
        rate = trial.load * slots / trial.mean_latency.total_seconds()
        weights = UNEVEN_WEIGHTS
        if trial.callers is Callers.EVEN:
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
            self.figures.refused += 1
            return
        latency = self._clock.monotonic() - started_at
        self.figures.latencies.append(latency.total_seconds())


async def _run_fleet(trial: Trial) -> Figures:
    return await Fleet(trial).run()


def run_trial(trial: Trial) -> Figures:
    """Run one trial on a virtual clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run_fleet, trial, clock=clock)
