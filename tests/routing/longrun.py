"""A long randomised run of several entries, checked by counts in the fakes.

``python -m tests.routing.longrun --seed N --minutes M`` runs M virtual
minutes. Entries crash and are isolated from their controller; backend servers
hang, truncate answers, refuse requests, leave and disappear; records and peer
entries lose replies; callers disconnect and repeat their keys at other
entries. A seed that fails is reproducible.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter
from datetime import timedelta

import trio
import trio.testing
from returns.result import Success

from rhubarbfield.routing import CallerRequest
from rhubarbfield.types import (
    Epoch,
    IdempotencyKey,
    Outcome,
    RequestClass,
    RequestId,
    Tenant,
)
from tests.routing.fakes import (
    Entry,
    FakeBackends,
    FakeRecords,
    FakeServer,
    make_request,
)

DOMAINS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
LEASE_DURATION = timedelta(seconds=3)
MAX_REQUEST_TIME = timedelta(seconds=30)
RENEWAL_SECONDS = 1.0
MAX_LATENESS = timedelta(seconds=1)
LEAVING_NOTICE_SECONDS = 2.0
BEHAVIOURS = ("answer", "slow-connect", "unreachable", "refuse", "cut", "hang")


class Simulation:
    """Entries, backend servers and a controller that grants leases."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.rng = random.Random(seed)
        self.nursery = nursery
        self.backends = FakeBackends(nursery, MAX_REQUEST_TIME)
        self.records = FakeRecords()
        self.records.reachable = lambda: self.rng.random() > 0.02
        self.records.is_hanging = lambda: self.rng.random() < 0.01
        self.records.replies_arrive = lambda: self.rng.random() > 0.02
        self.entries: dict[str, Entry] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.cut_off: set[str] = set()
        self.owners: dict[str, str] = {}
        self.epochs: Counter[str] = Counter()
        self.lease_ends: dict[str, timedelta] = {}
        self.error_rates: dict[str, float] = {}
        self.outcomes: Counter[str] = Counter()
        self.not_run: set[RequestId] = set()
        self.violations: list[str] = []
        self.serial = 0

    async def start(self) -> None:
        for name in DOMAINS:
            await self.start_entry(name)
        for number in range(6):
            domain = "ab"[number % 2]
            latency = timedelta(seconds=self.rng.choice([0.02, 0.1, 0.4]))
            server = self.backends.add(f"{domain}-s{number}", 4, latency)
            server.behaviour = lambda name=server.id: self.draw_behaviour(name)
        self.nursery.start_soon(self.lease_servers)
        self.nursery.start_soon(self.inject_faults)

    async def start_entry(self, name: str) -> None:
        self.serial += 1
        entry = Entry(
            self.backends,
            name=name,
            domains=DOMAINS,
            records=self.records,
            seed=self.serial,
        )
        entry.peer_entries.answers_lost = lambda: self.rng.random() < 0.01
        self.entries[name] = entry
        routers = {each: entry.router for each, entry in self.entries.items()}
        for each in self.entries.values():
            each.peer_entries.routers = routers
        self.scopes[name] = await self.nursery.start(self.run_entry, entry)

    async def run_entry(
        self,
        entry: Entry,
        task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(entry.router.run)
                task_status.started(scope)

    def draw_behaviour(self, server: str) -> str:
        if self.rng.random() >= self.error_rates.get(server, 0.01):
            return "answer"
        return self.rng.choice(BEHAVIOURS)

    async def lease_servers(self) -> None:
        while True:
            for server in self.backends.servers.values():
                self.renew_or_move(server)
            await trio.sleep(RENEWAL_SECONDS * self.rng.uniform(0.5, 1.0))

    def renew_or_move(self, server: FakeServer) -> None:
        now = self.entries["a1"].clock.monotonic()
        owner = self.owners.get(server.id)
        moves = self.rng.random() < 0.03
        if owner is not None and owner not in self.cut_off and not moves:
            self.lease_ends[server.id] = now + LEASE_DURATION
            entry = self.entries[owner]
            entry.servers.renew(
                server.id, Epoch(self.epochs[server.id]), now + LEASE_DURATION
            )
            counted_after = now - timedelta(milliseconds=5)
            entry.servers.report(server.report(counted_after))
            if server.leaving:
                entry.servers.mark_leaving(server.id)
            return
        if moves and owner is not None and owner not in self.cut_off:
            self.entries[owner].servers.revoke(server.id)
        elif now < self.lease_ends.get(server.id, now):
            return
        self.assign(server, now)

    def assign(self, server: FakeServer, now: timedelta) -> None:
        domain = server.id.partition("-")[0]
        ready = [
            each
            for each in DOMAINS
            if DOMAINS[each] == domain and each not in self.cut_off
        ]
        self.owners.pop(server.id, None)
        if not ready:
            return
        self.epochs[server.id] += 1
        owner = self.rng.choice(ready)
        self.owners[server.id] = owner
        self.lease_ends[server.id] = now + LEASE_DURATION
        self.entries[owner].grant(
            server,
            epoch=Epoch(self.epochs[server.id]),
            valid_until=now + LEASE_DURATION,
            inherited_until=now + MAX_REQUEST_TIME
            if self.epochs[server.id] > 1
            else None,
        )

    async def inject_faults(self) -> None:
        faults = (
            self.kill_entry,
            self.isolate_entry,
            self.degrade_server,
            self.leave_server,
        )
        while True:
            await trio.sleep(self.rng.expovariate(1 / 8))
            self.nursery.start_soon(self.rng.choice(faults))

    async def kill_entry(self) -> None:
        name = self.rng.choice(list(DOMAINS))
        if name in self.cut_off:
            return
        self.cut_off.add(name)
        self.scopes[name].cancel()
        await trio.sleep(self.rng.uniform(0.1, 8))
        await self.start_entry(name)
        for server, owner in list(self.owners.items()):
            if owner == name:
                del self.owners[server]
        self.cut_off.discard(name)

    async def isolate_entry(self) -> None:
        name = self.rng.choice(list(DOMAINS))
        if name in self.cut_off:
            return
        self.cut_off.add(name)
        await trio.sleep(self.rng.uniform(0.5, 12))
        self.cut_off.discard(name)

    async def degrade_server(self) -> None:
        server = self.rng.choice(list(self.backends.servers))
        self.error_rates[server] = self.rng.choice([0.2, 1.0])
        await trio.sleep(self.rng.uniform(0.5, 10))
        self.error_rates.pop(server, None)

    async def leave_server(self) -> None:
        server = self.rng.choice(list(self.backends.servers.values()))
        if server.leaving:
            return
        server.leaving = True
        owner = self.owners.get(server.id)
        if owner is not None and owner not in self.cut_off:
            self.entries[owner].servers.mark_leaving(server.id)
        await trio.sleep(LEAVING_NOTICE_SECONDS + LEASE_DURATION.total_seconds())
        server.left_at = self.entries["a1"].clock.monotonic()
        await trio.sleep(10)
        server.left_at = None
        server.leaving = False
        self.owners.pop(server.id, None)

    async def call(self, number: int) -> None:
        request = self.draw_request(number)
        entry = self.entries[self.rng.choice(list(DOMAINS))]
        caller_timeout = 0.05 if self.rng.random() < 0.05 else 60.0
        started_at = entry.clock.monotonic()
        with trio.move_on_after(caller_timeout):
            result = await entry.router.route(request)
            lateness = entry.clock.monotonic() - started_at - request.timeout
            if lateness > MAX_LATENESS:
                self.violations.append(f"{request.request_id} was late by {lateness}")
            self.record_result(request, result)

    def draw_request(self, number: int) -> CallerRequest:
        keyed = self.rng.random() < 0.4
        key = IdempotencyKey(f"k{self.rng.randrange(max(1, number // 4), number + 2)}")
        idempotent = not keyed and self.rng.random() < 0.7
        return make_request(
            number,
            tenant=Tenant(self.rng.choice("xyz")),
            request_class=self.rng.choice(list(RequestClass)),
            timeout=timedelta(seconds=self.rng.choice([0.3, 1.0, 5.0])),
            method="GET" if idempotent else "POST",
            idempotent=idempotent,
            idempotency_key=key if keyed else None,
        )

    def record_result(self, request: CallerRequest, result: object) -> None:
        if isinstance(result, Success):
            self.outcomes["answered"] += 1
            answer = result.unwrap()
            if answer.body != request.request_id.encode() and not answer.repeated:
                self.violations.append(f"{request.request_id} got another's answer")
            return
        refusal = result.failure()  # type: ignore[attr-defined]
        self.outcomes[refusal.outcome] += 1
        if refusal.outcome is Outcome.NOT_RUN:
            self.not_run.add(request.request_id)

    def check(self) -> list[str]:
        """Return the violations of guarantees that were observed."""
        violations = list(self.violations)
        for server in self.backends.servers.values():
            if server.most_running > server.slots:
                violations.append(f"{server.id} ran {server.most_running}")
            violations += [
                f"{each} after leaving" for each in server.begun_after_leaving
            ]
        runs = self.backends.runs_by_key.items()
        violations += [f"{key} ran {count} times" for key, count in runs if count > 1]
        violations += [
            f"{each} ran" for each in self.not_run if self.backends.runs[each]
        ]
        return violations


async def run_simulation(seed: int, minutes: float) -> Simulation:
    """Run one seed and return its simulation."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(nursery, seed)
        await simulation.start()
        number = 0
        with trio.move_on_after(minutes * 60):
            while True:
                number += 1
                nursery.start_soon(simulation.call, number)
                await trio.sleep(simulation.rng.expovariate(40))
        await trio.sleep(MAX_REQUEST_TIME.total_seconds() * 2)
        nursery.cancel_scope.cancel()
    return simulation


def run_seed(seed: int, minutes: float) -> Simulation:
    """Run one seed on the virtual clock, in the same order each time."""
    runner = trio._core._run  # type: ignore[attr-defined]
    before = runner._ALLOW_DETERMINISTIC_SCHEDULING
    runner._ALLOW_DETERMINISTIC_SCHEDULING = True
    runner._r.seed(seed)
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run_simulation, seed, minutes, clock=clock)
    finally:
        runner._ALLOW_DETERMINISTIC_SCHEDULING = before


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        began = time.monotonic()
        simulation = run_seed(seed, options.minutes)
        broken = simulation.check()
        failed += bool(broken)
        took = time.monotonic() - began
        print(
            f"seed {seed}: {dict(simulation.outcomes)}, broken {broken}, {took:.1f} s"
        )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
