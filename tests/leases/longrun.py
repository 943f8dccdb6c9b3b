"""Long randomised runs of leases that check for more than one holder at a time.

A single object is leased. Leaders change, are isolated and are frozen; holders
are frozen; messages are delayed, lost and duplicated; each clock has its own
rate. ``python -m tests.leases.longrun --seed N --hours H`` simulates H hours
of true time.
"""

from __future__ import annotations

import argparse
import random
from dataclasses import dataclass, field
from datetime import timedelta

from returns.result import Success

from rhubarbfield.clock import ManualClock
from rhubarbfield.leases import HeldLease, Lease, LeaseTable, LeaseTerms
from rhubarbfield.types import Epoch
from tests.leases.clocks import SkewedClock

STEP = timedelta(milliseconds=100)
TERMS = LeaseTerms(duration=timedelta(seconds=10), drift=0.02)
RENEW_STEPS = 30
LEADERS = 3
HOLDERS = 5
NO_EPOCH = Epoch(0)


@dataclass
class Log:
    """Committed state: the owner of the leased object and its epoch."""

    owner: int | None = None
    epoch: Epoch = NO_EPOCH


@dataclass
class Leader:
    clock: SkewedClock
    table: LeaseTable[int] | None = None
    frozen_until: timedelta = timedelta()
    # End of the leader's lease from the quorum, by the true clock; no other
    # leader is elected before it.
    leads_until: timedelta = timedelta()


@dataclass
class Holder:
    clock: SkewedClock
    lease: HeldLease
    frozen_until: timedelta = timedelta()
    to_leader: int = 0


@dataclass
class Run:
    rng: random.Random
    true_clock: ManualClock = field(default_factory=ManualClock)
    log: Log = field(default_factory=Log)
    leaders: list[Leader] = field(default_factory=list)
    holders: list[Holder] = field(default_factory=list)
    requests: list[tuple[timedelta, int, int, int, Epoch]] = field(default_factory=list)
    answers: list[tuple[timedelta, int, Lease]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    moves: int = 0
    effects: int = 0

    def __post_init__(self) -> None:
        """Make the leaders and the holders."""
        for _ in range(LEADERS):
            self.leaders.append(Leader(self.make_clock()))
        for _ in range(HOLDERS):
            clock = self.make_clock()
            self.holders.append(Holder(clock, HeldLease(drift=0.02, clock=clock)))

    def make_clock(self) -> SkewedClock:
        return SkewedClock(self.true_clock, self.rng.uniform(0.98, 1.02))

    @property
    def now(self) -> timedelta:
        return self.true_clock.monotonic()

    def pick_delay(self) -> timedelta:
        slow = self.rng.random() < 0.05
        return timedelta(seconds=self.rng.uniform(0, 15 if slow else 0.05))

    def step(self) -> None:
        self.true_clock.advance(STEP)
        self.elect()
        self.freeze_some()
        for number, holder in enumerate(self.holders):
            if self.now >= holder.frozen_until and self.rng.random() < 1 / RENEW_STEPS:
                self.send_request(number, holder)
        self.deliver_requests()
        self.deliver_answers()
        self.free_lapsed()
        self.observe()

    def elect(self) -> None:
        leading = [one for one in self.leaders if one.leads_until > self.now]
        if leading:
            # An isolated leader cannot extend its lease; once it has ended, the
            # quorum elects a new one.
            if self.rng.random() > 0.002:
                leading[0].leads_until = self.now + timedelta(seconds=2)
            return
        leader = self.rng.choice(self.leaders)
        known = {} if self.log.owner is None else {self.log.owner: self.log.epoch}
        leader.table = LeaseTable(
            TERMS, open_sessions=known, at=leader.clock.monotonic()
        )
        leader.leads_until = self.now + timedelta(seconds=2)

    def freeze_some(self) -> None:
        for one in (*self.leaders, *self.holders):
            if self.rng.random() < 0.0005:
                one.frozen_until = self.now + timedelta(seconds=self.rng.uniform(1, 60))

    def send_request(self, number: int, holder: Holder) -> None:
        request = holder.lease.request()
        holder.to_leader = self.rng.randrange(LEADERS)
        for leader in {holder.to_leader, self.rng.randrange(LEADERS)}:
            if self.rng.random() > 0.1:
                arrives = self.now + self.pick_delay()
                self.requests.append(
                    (arrives, leader, number, request, holder.lease.epoch)
                )

    def deliver_requests(self) -> None:
        due = [one for one in self.requests if one[0] <= self.now]
        self.requests = [one for one in self.requests if one[0] > self.now]
        for arrived, leader_number, number, request, epoch in due:
            leader = self.leaders[leader_number]
            if self.now < leader.frozen_until:
                self.requests.append(
                    (leader.frozen_until, leader_number, number, request, epoch)
                )
                continue
            if leader.table is None or leader.leads_until <= self.now:
                continue
            if self.log.owner is None and arrived:
                self.log.owner, self.log.epoch = number, Epoch(self.log.epoch + 1)
                self.moves += 1
                leader.table.grant(
                    number,
                    epoch=self.log.epoch,
                    number=request,
                    at=leader.clock.monotonic(),
                ).map(lambda lease, to=number: self.send_answer(to, lease))
            elif self.log.owner == number:
                renewed = leader.table.renew(
                    number, epoch=epoch, number=request, at=leader.clock.monotonic()
                )
                if isinstance(renewed, Success):
                    self.send_answer(number, renewed.unwrap())

    def send_answer(self, number: int, lease: Lease) -> None:
        if self.rng.random() > 0.1:
            self.answers.append((self.now + self.pick_delay(), number, lease))

    def deliver_answers(self) -> None:
        waiting = []
        for arrives, number, lease in self.answers:
            holder = self.holders[number]
            if arrives > self.now or holder.frozen_until > self.now:
                waiting.append((arrives, number, lease))
            else:
                holder.lease.accept(lease)
        self.answers = waiting

    def free_lapsed(self) -> None:
        for leader in self.leaders:
            if leader.table is None or leader.leads_until <= self.now:
                continue
            if leader.frozen_until > self.now:
                continue
            for holder, epoch in leader.table.revoke_lapsed(leader.clock.monotonic()):
                leader.table.forget(holder, epoch=epoch)
                if self.log.owner == holder and self.log.epoch == epoch:
                    self.log.owner = None

    def observe(self) -> None:
        holding = [n for n, one in enumerate(self.holders) if one.lease.holds()]
        self.effects += bool(holding)
        if len(holding) > 1:
            self.violations.append(f"{holding} hold at {self.now}")


def run_for(seed: int, length: timedelta) -> Run:
    run = Run(random.Random(seed))
    while run.now < length:
        run.step()
    return run


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hours", type=float, default=1.0)
    options = parser.parse_args()
    run = run_for(options.seed, timedelta(hours=options.hours))
    held = run.effects * STEP / run.now
    print(f"seed {options.seed}: {options.hours} h, {run.moves} moves, held {held:.0%}")
    for line in run.violations[:5]:
        print(f"more than one holder: {line}")
    raise SystemExit(1 if run.violations else 0)


if __name__ == "__main__":
    main()
