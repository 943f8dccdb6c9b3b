"""Long randomised runs of entries and backend servers under combined faults.

``python -m tests.announcements.longrun --seed N --minutes M`` runs M minutes
of virtual time. Ten times a second an observer lists the entries that may send
to each backend server: those whose router allows it and whose lease holds.
"""

from __future__ import annotations

import argparse
import random
from datetime import timedelta

import trio
from returns.result import Success

from rhubarbfield.leases import HeldLease, LeaseTable, LeaseTerms
from rhubarbfield.ownership import (
    EndEntrySession,
    OwnershipEndProof,
    ownership_commands,
)
from rhubarbfield.testing.announcer import Announcer
from rhubarbfield.testing.ownership import COMMAND_TIME
from rhubarbfield.types import BackendServerId, InstanceName
from tests.announcements.domain import Domain, Entry, Server, run_domain
from tests.leases.clocks import SkewedClock

SERVERS = 5
TERMS = LeaseTerms(duration=timedelta(seconds=5), drift=0.02)


class LeasedEntry:
    """An entry that renews its session unless it is isolated."""

    def __init__(self, run: Run, entry: Entry) -> None:
        self.run = run
        self.entry = entry
        self.isolated = False
        clock = SkewedClock(run.domain.clock, run.rng.uniform(0.98, 1.02))
        self.lease = HeldLease(drift=TERMS.drift, clock=clock)

    async def keep_session(self) -> None:
        ownership = self.entry.ownership
        while True:
            number = self.lease.request()
            await trio.sleep(self.run.rng.uniform(0, 0.1))
            if not self.isolated:
                self.renew(number)
            await trio.sleep(self.run.rng.uniform(0, 0.1))
            ownership.reachable = not self.isolated
            await trio.sleep(1)

    def renew(self, number: int) -> None:
        name, ownership = self.entry.ownership.entry, self.entry.ownership
        at = self.run.now
        renewed = self.run.table.renew(
            name, epoch=self.lease.epoch, number=number, at=at
        )
        if not isinstance(renewed, Success):
            epoch = ownership.open_session()
            renewed = self.run.table.grant(name, epoch=epoch, number=number, at=at)
        if not isinstance(renewed, Success):
            return
        before = self.lease.epoch
        if self.lease.accept(renewed.unwrap()) and self.lease.epoch != before:
            ownership.session = self.lease.epoch
            self.entry.sessions.reclaim_all()

    def may_send(self, server: str) -> bool:
        router = self.entry.sink
        now = self.run.domain.clock.monotonic()
        return self.lease.holds() and router.may_send(BackendServerId(server), now)


class Run:
    def __init__(self, domain: Domain, rng: random.Random) -> None:
        self.domain = domain
        self.rng = rng
        self.clock = SkewedClock(domain.clock, rng.uniform(0.98, 1.02))
        self.double_owned: list[str] = []
        self.unowned: list[str] = []
        self.sessions_ended = 0
        self.servers: list[tuple[Server, Announcer]] = []
        self.entries = [LeasedEntry(self, entry) for entry in domain.entries]
        self.lead()

    @property
    def now(self) -> timedelta:
        return self.clock.monotonic()

    def lead(self) -> None:
        sessions = self.domain.state.sessions.values()
        open_sessions = {
            session.entry: session.epoch for session in sessions if not session.ended
        }
        self.table: LeaseTable[InstanceName] = LeaseTable(
            TERMS, open_sessions=open_sessions, at=self.now
        )

    async def sweep(self) -> None:
        while True:
            await trio.sleep(0.2)
            table = self.table
            for entry, epoch in table.revoke_lapsed(self.now):
                await trio.sleep(self.rng.uniform(0, 0.3))
                end = EndEntrySession(
                    entry=entry,
                    session=epoch,
                    proof=OwnershipEndProof.LEASE_LAPSED,
                    at=COMMAND_TIME,
                )
                ownership_commands.apply(self.domain.state, end)
                table.forget(entry, epoch=epoch)
                self.sessions_ended += 1

    async def watch(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            await trio.sleep(0.1)
            for number in range(SERVERS):
                senders = [
                    entry for entry in self.entries if entry.may_send(f"s{number}")
                ]
                if len(senders) > 1:
                    self.double_owned.append(
                        f"s{number} at {self.domain.clock.monotonic()}"
                    )

    async def inject_fault(self) -> None:
        faults = (
            self.isolate_entry,
            self.silence,
            self.cut,
            self.make_entry_unreachable,
            self.move_leader,
            self.restart_server,
        )
        await self.rng.choice(faults)()

    async def isolate_entry(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.isolated = True
        entry.entry.ownership.reachable = False
        await self.watch(self.rng.uniform(0, 12))
        entry.isolated = False

    async def silence(self) -> None:
        for stream in self.domain.streams():
            if self.rng.random() < 0.5:
                stream.blackhole(both_ways=self.rng.random() < 0.5)

    async def cut(self) -> None:
        for stream in self.domain.streams():
            if self.rng.random() < 0.5:
                stream.cut()

    async def make_entry_unreachable(self) -> None:
        name = self.rng.choice(self.entries).entry.ownership.entry
        self.domain.network.unreachable = {f"{name}:1"}
        for stream in self.domain.streams_to(name):
            stream.cut()
        await self.watch(self.rng.uniform(0, 12))
        self.domain.network.unreachable = set()

    async def move_leader(self) -> None:
        self.lead()

    async def restart_server(self) -> None:
        number = self.rng.randrange(SERVERS)
        self.servers[number][1].stop()
        await self.watch(self.rng.choice((0, 2, 70)))
        incarnation = str(self.domain.seed)
        self.servers[number] = self.domain.start_server(f"s{number}", incarnation)

    async def run(self, length: timedelta) -> None:
        for number in range(SERVERS):
            self.servers.append(self.domain.start_server(f"s{number}"))
        while self.domain.clock.monotonic() < length:
            await self.watch(self.rng.uniform(0.1, 6))
            await self.inject_fault()
        await self.watch(30)
        for number in range(SERVERS):
            if not any(entry.may_send(f"s{number}") for entry in self.entries):
                self.unowned.append(f"s{number} has no owner at the end")


def run_for(seed: int, length: timedelta) -> Run:
    runs: list[Run] = []

    async def scenario(domain: Domain) -> None:
        run = Run(domain, random.Random(seed))
        runs.append(run)
        domain.nursery.start_soon(run.sweep)
        for entry in run.entries:
            domain.nursery.start_soon(entry.keep_session)
        await run.run(length)

    run_domain(scenario, seed)
    return runs[0]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=30.0)
    options = parser.parse_args()
    run = run_for(options.seed, timedelta(minutes=options.minutes))
    print(f"seed {options.seed}: {run.sessions_ended} sessions ended")
    for line in [*run.double_owned[:5], *run.unowned]:
        print(f"broken: {line}")
    raise SystemExit(1 if run.double_owned or run.unowned else 0)


if __name__ == "__main__":
    main()
