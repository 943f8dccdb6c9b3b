"""A long run with random faults on a virtual clock.

``python -m tests.replication.longrun --seed 1 --hours 24`` plays crashes, lost
disks, torn files, failed syncs, full disks, cuts, freezes, bad links and
clocks at different rates, several at a time, while clients propose and read.
The same seed gives the same run.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import trio
from absl import app, flags
from returns.result import Success

from rhubarbfield.replication import GroupSettings
from rhubarbfield.types import LogIndex
from tests.replication.determinism import run_deterministic
from tests.replication.group import Group, Node

CLIENTS = 3
CHAOS_TASKS = 2
QUIET_AT_END = 120.0
CLOCK_DRIFT = 0.05
SETTINGS = GroupSettings(snapshot_after=150, kept_entries=60)

Fault = Callable[["LongRun"], Awaitable[None]]
_faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault that the run may choose."""
    _faults[function.__name__] = function
    return function


class LongRun:
    """One run and what happened in it."""

    def __init__(self, group: Group, seed: int) -> None:
        self.group = group
        self.random = Random(seed)
        self.counts: Counter[str] = Counter()
        self.is_over = False
        self._commands = 0

    async def play(self, duration: float) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(self._propose_and_read)
            for _ in range(CHAOS_TASKS):
                nursery.start_soon(self._cause_faults)
            await trio.sleep(duration)
            self.is_over = True
            nursery.cancel_scope.cancel()
        await self._settle()

    def choose_node(self) -> Node:
        return self.random.choice(list(self.group.nodes.values()))

    def may_lose_one(self) -> bool:
        """Whether every voter now holds all that is committed."""
        if any(node.replica is None for node in self.group.nodes.values()):
            return False
        holders = self.group.list_lease_holders()
        if not holders or holders[0].replica is None:
            return False
        status = holders[0].replica.status()
        voters = [member for member in status.members if member.is_voter]
        return all(
            member.id.name == holders[0].name
            or (
                (member.match or 0) >= status.commit
                and member.silence is not None
                and member.silence < timedelta(seconds=1)
            )
            for member in voters
        )

    async def _settle(self) -> None:
        """End all faults; then everything must be well."""
        group = self.group
        group.network.heal()
        group.network.drop_rate = group.network.duplicate_rate = 0.0
        group.network.max_delay = 0.004
        for node in group.nodes.values():
            node.clock.thaw()
            node.files.capacity = None
            node.files.operations_until_crash = None
            node.files.fail_syncs = False
        for node in group.nodes.values():
            if node.replica is None:
                await node.start()
        await trio.sleep(QUIET_AT_END)
        last = await group.propose_many("last", 1)
        await group.wait_until_all_at(last)
        group.observer.check_outcomes()

    async def _propose_and_read(self) -> None:
        group = self.group
        while True:
            await trio.sleep(self.random.expovariate(1.0))
            nodes = [
                node
                for node in group.nodes.values()
                if node.replica is not None and not node.clock.is_frozen
            ]
            if not nodes:
                continue
            node = self.random.choice(nodes)
            hint = node.replica.leader_hint if node.replica is not None else None
            named = group.nodes.get(hint) if hint is not None else None
            if named in nodes:
                node = named
            if self.random.random() < 0.2:
                await self._read(node)
            else:
                await self._propose(node)

    async def _propose(self, node: Node) -> None:
        self._commands += 1
        command = f"command {self._commands}".encode()
        with trio.move_on_after(30):
            result = await self.group.propose(node, command)
            named = result if isinstance(result, Success) else result.failure()
            self.counts[f"propose {type(named).__name__}"] += 1

    async def _read(self, node: Node) -> None:
        assert node.replica is not None
        acknowledged = self.group.observer.acknowledged.values()
        before = max(acknowledged, default=LogIndex(0))
        with trio.move_on_after(30):
            result = await node.replica.confirm_read()
            self.counts[f"read {type(result).__name__}"] += 1
            if isinstance(result, Success):
                assert result.unwrap() >= before, "a read missed what was said"

    async def _cause_faults(self) -> None:
        while True:
            await trio.sleep(self.random.uniform(1, 40))
            name = self.random.choice(sorted(_faults))
            self.counts[f"fault {name}"] += 1
            await _faults[name](self)


async def stay_down(run: LongRun, node: Node) -> None:
    await trio.sleep(run.random.uniform(0.01, 15))
    if node.replica is None:
        await node.start()


@fault
async def crash(run: LongRun) -> None:
    node = run.choose_node()
    await node.crash()
    await stay_down(run, node)


@fault
async def crash_while_writing(run: LongRun) -> None:
    node = run.choose_node()
    node.files.operations_until_crash = run.random.randint(1, 12)
    await trio.sleep(run.random.uniform(1, 10))
    node.files.operations_until_crash = None
    await stay_down(run, node)


@fault
async def crash_all(run: LongRun) -> None:
    for node in run.group.nodes.values():
        await node.crash()
    for node in run.group.nodes.values():
        await stay_down(run, node)


@fault
async def lose_disk(run: LongRun) -> None:
    if not run.may_lose_one():
        return
    run.counts["disks lost"] += 1
    node = run.choose_node()
    await node.lose_disk()
    await stay_down(run, node)


@fault
async def damage_log(run: LongRun) -> None:
    node = run.choose_node()
    if not run.may_lose_one() or not node.has_disk:
        return
    run.counts["logs damaged"] += 1
    await node.crash()
    size = len(node.files.read("log") or b"")
    node.files.flip_byte("log", run.random.randrange(size))
    await stay_down(run, node)


@fault
async def fail_syncs(run: LongRun) -> None:
    node = run.choose_node()
    node.files.fail_syncs = True
    await trio.sleep(run.random.uniform(1, 10))
    node.files.fail_syncs = False
    await stay_down(run, node)


@fault
async def fill_disk(run: LongRun) -> None:
    node = run.choose_node()
    node.files.capacity = run.random.randint(0, 20_000)
    await trio.sleep(run.random.uniform(1, 30))
    node.files.capacity = None


@fault
async def freeze(run: LongRun) -> None:
    node = run.choose_node()
    node.clock.freeze()
    await trio.sleep(run.random.uniform(0.2, 20))
    node.clock.thaw()


@fault
async def isolate(run: LongRun) -> None:
    run.group.network.isolate(run.choose_node().name)
    await trio.sleep(run.random.uniform(0.5, 30))
    run.group.network.heal()


@fault
async def cut_one_way(run: LongRun) -> None:
    for _ in range(run.random.randint(1, 3)):
        run.group.network.cut(run.choose_node().name, run.choose_node().name)
    await trio.sleep(run.random.uniform(0.5, 30))
    run.group.network.heal()


@fault
async def change_voters(run: LongRun) -> None:
    leaders = [n for n in run.group.list_lease_holders() if not n.clock.is_frozen]
    if not leaders or leaders[0].replica is None:
        return
    replica = leaders[0].replica
    members = replica.status().members
    voters = [member.id.name for member in members if member.is_voter]
    others = [n.name for n in run.group.nodes.values() if n.has_disk]
    learners = [name for name in others if name not in voters]
    old = run.random.choice(voters)
    if len(voters) > len(run.group.bootstrap):
        result = await replica.remove_member(old)
    elif run.random.random() < 0.3:
        result = await replica.add_voter(run.random.choice(learners))
    else:
        result = await replica.replace_voter(old, run.random.choice(learners))
    outcome = result if isinstance(result, Success) else result.failure()
    run.counts[f"change {type(outcome).__name__}"] += 1


@fault
async def worsen_links(run: LongRun) -> None:
    network = run.group.network
    network.drop_rate = run.random.uniform(0, 0.3)
    network.duplicate_rate = run.random.uniform(0, 0.2)
    network.max_delay = run.random.uniform(0.004, 0.6)
    await trio.sleep(run.random.uniform(1, 30))
    network.drop_rate = network.duplicate_rate = 0.0
    network.max_delay = 0.004


def run_long(seed: int, hours: float) -> Counter[str]:
    """Play one run; raises on the first thing that must not be."""

    async def play() -> Counter[str]:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery, seed, learners="de", settings=SETTINGS, drift=CLOCK_DRIFT
            )
            for name in "e":
                group.get(name).has_disk = False
            await group.start()
            run = LongRun(group, seed)
            await run.play(hours * 3600)
            run.counts["entries applied"] = len(group.observer.history)
            nursery.cancel_scope.cancel()
        return run.counts

    return run_deterministic(play, seed)


FLAGS = flags.FLAGS


def main(arguments: list[str]) -> None:
    """Run the seeds asked for and print what happened."""
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        started = time.monotonic()
        counts = run_long(seed, FLAGS.hours)
        elapsed = time.monotonic() - started
        print(f"seed {seed}: {FLAGS.hours} virtual hours in {elapsed:.0f} s, passed")
        for name, count in sorted(counts.items()):
            print(f"  {name:32} {count}")
        sys.stdout.flush()


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 1, "How many seeds to run, one after the other.")
    flags.DEFINE_float("hours", 1.0, "Virtual hours of each run.")
    app.run(main)
