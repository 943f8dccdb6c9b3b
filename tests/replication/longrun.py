"""A long run with random faults on a virtual clock.

``python -m tests.replication.longrun --seed 1 --hours 24`` injects crashes, lost
disks, torn files, failed syncs, full disks, cut links, freezes and lossy links,
several at a time and with clocks at different rates, while clients propose and
read. The same seed gives the same run.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from random import Random

import trio
from absl import app, flags
from returns.result import Success

from rhubarbfield.replication import GroupSettings
from rhubarbfield.types import LogIndex
from tests.replication.determinism import run_deterministic
from tests.replication.fault_injection import FaultInjector
from tests.replication.group import Group, Node

CLIENTS = 3
RECOVERY_SECONDS = 120.0
SECONDS_BETWEEN_CHECKS = 0.1
CLOCK_DRIFT = 0.05
SETTINGS = GroupSettings(snapshot_after=150, kept_entries=60)


class LongRun:
    """One run under faults and its event counts."""

    def __init__(self, group: Group, seed: int) -> None:
        self.group = group
        self.random = Random(seed)
        self.counts: Counter[str] = Counter()
        self.injector = FaultInjector(group, self.random, self.counts)
        self._commands = 0

    async def run(self, duration: float, at_once: int) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(self._propose_and_read)
            nursery.start_soon(self._watch)
            for _ in range(at_once):
                nursery.start_soon(self.injector.run)
            await trio.sleep(duration)
            nursery.cancel_scope.cancel()
        await self._check_recovery()

    async def _watch(self) -> None:
        while True:
            await trio.sleep(SECONDS_BETWEEN_CHECKS)
            self.group.check()

    async def _check_recovery(self) -> None:
        """End all faults and check that the group recovers."""
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
        await trio.sleep(RECOVERY_SECONDS)
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
            outcome = result if isinstance(result, Success) else result.failure()
            self.counts[f"propose {type(outcome).__name__}"] += 1

    async def _read(self, node: Node) -> None:
        assert node.replica is not None
        acknowledged = self.group.observer.acknowledged.values()
        before = max(acknowledged, default=LogIndex(0))
        with trio.move_on_after(30):
            result = await node.replica.confirm_read()
            self.counts[f"read {type(result).__name__}"] += 1
            if isinstance(result, Success):
                assert result.unwrap() >= before, "a read missed an acknowledged entry"


def run_long(seed: int, hours: float, at_once: int = 2) -> Counter[str]:
    """Run once and return the event counts; raises on the first violation."""

    async def run() -> Counter[str]:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery, seed, learners="de", settings=SETTINGS, drift=CLOCK_DRIFT
            )
            for name in "e":
                group.get(name).has_disk = False
            await group.start()
            long_run = LongRun(group, seed)
            await long_run.run(hours * 3600, at_once)
            long_run.counts["entries applied"] = len(group.observer.history)
            nursery.cancel_scope.cancel()
        return long_run.counts

    return run_deterministic(run, seed)


FLAGS = flags.FLAGS


def main(arguments: list[str]) -> None:
    """Run the seeds given by the flags and print the event counts."""
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        started_at = time.monotonic()
        counts = run_long(seed, FLAGS.hours, FLAGS.at_once)
        elapsed = time.monotonic() - started_at
        print(f"seed {seed}: {FLAGS.hours} virtual hours in {elapsed:.0f} s, passed")
        for name, count in sorted(counts.items()):
            print(f"  {name:32} {count}")
        sys.stdout.flush()


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 1, "How many seeds to run, one after the other.")
    flags.DEFINE_float("hours", 1.0, "Virtual hours of each run.")
    flags.DEFINE_integer("at_once", 2, "Faults that may go on at the same time.")
    app.run(main)
