"""Random days of a site that end with lost disks, right after an acknowledgement.

``python -m tests.replication.closingrun --seeds 50`` plays that many days. Workers list
ends, and a leader tells them which are recorded. At the end of a day as many disks are
lost as the site tolerates, mostly as all others lose power. All that a worker was told
must come back. The same seed gives the same day.
"""

from __future__ import annotations

import sys
from collections import Counter
from random import Random

import msgspec
import trio
from absl import app, flags

from tests.replication.closings import before_closing
from tests.replication.determinism import run_deterministic
from tests.replication.ends import EndsMachine, ListingWorker, PaddedMachine
from tests.replication.group import SYNC_SECONDS, Group, Node
from tests.replication.sitefaults import CLOCK_DRIFT, Site, disruptions
from tests.replication.siterun import RECOVERY_SECONDS
from tests.replication.test_founding import SETTINGS as SITE_SETTINGS

MEAN_PAUSES_SECONDS = (0.1, 0.3, 3.0)  # between two ends of a worker
WORKERS = 3
TOLERATED = {3: 1, 5: 2}  # disks that may be lost, by the number of voters
LAST_WAIT_SECONDS = 8.0  # for an acknowledgement before the closing
SETTLING_SECONDS = 8.0  # after which a new group has had its first commands
REPEATED = ("wipe_oldest", "wipe_leader", "replace_oldest", "stop_and_start")
NOT_COUNTING = "fg"  # controllers that are no voters at first
POWER_LOSSES = ("all others", "all others", "others that count", "none")


class ClosingRun:
    """One day of a site whose last disruption is its closing."""

    def __init__(self, site: Site, tolerated: int) -> None:
        self.site = site
        self.random = site.random
        self.tolerated = tolerated
        pause = self.random.choice(MEAN_PAUSES_SECONDS)
        self.workers = [
            ListingWorker(site.group, number, self.random, pause)
            for number in range(WORKERS)
        ]

    async def run(self, rounds: int) -> None:
        site = self.site
        await site.group.wait_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            for worker in self.workers:
                nursery.start_soon(worker.run)
            await trio.sleep(SETTLING_SECONDS)
            for _ in range(self.random.randint(0, rounds)):
                await self._disrupt()
            async with trio.open_nursery() as closing:
                name = self.random.choice(sorted(before_closing))
                site.counts[f"before: {name}"] += 1
                spared = await before_closing[name](site, self.tolerated, closing)
                await self._close(spared)
                closing.cancel_scope.cancel()
            await self._check()
            nursery.cancel_scope.cancel()

    async def _disrupt(self) -> None:
        names = [*sorted(disruptions), *REPEATED * 3]
        name = self.random.choice(names)
        self.site.counts[name] += 1
        await disruptions[name](self.site)
        await self.site.wait_caught_up()

    async def _watch(self) -> None:
        while True:
            await trio.sleep(0.05)
            self.site.group.check()

    async def _wait_acknowledged(self) -> None:
        """Wait until the next acknowledgement, and often for a little longer."""
        worker = self.random.choice(self.workers)
        with trio.move_on_after(LAST_WAIT_SECONDS) as waiting:
            await worker.was_told.wait()
        self.site.counts[
            "closings after an acknowledgement"
        ] += not waiting.cancelled_caught
        await trio.sleep(self.random.choice((0, 0.005, self.random.uniform(0, 0.4))))

    async def _close(self, lost_already: int) -> None:
        """Lose disks, mostly with the power of the others, and start all again."""
        site = self.site
        await self._wait_acknowledged()
        lost = self._draw_lost(self.tolerated - lost_already)
        power = self.random.choice(POWER_LOSSES)
        site.counts[f"power lost: {power}"] += 1
        site.counts["disks lost in closings"] += len(lost)
        hit = [
            node
            for node in site.nodes
            if node in lost
            or power == "all others"
            or (power == "others that count" and node.name not in NOT_COUNTING)
        ]
        for node in hit:
            await node.crash()
        for node in lost:
            node.files.lose_all()
        self._end_disruptions()
        latest = self.random.choice((0.2, 1.5, 6.0))
        async with trio.open_nursery() as nursery:
            for node in site.nodes:
                if node.replica is None:
                    nursery.start_soon(site.restart, node, latest)

    def _draw_lost(self, count: int) -> list[Node]:
        """Draw the nodes whose disks are lost, mostly the leader's among them."""
        nodes = self.site.nodes
        leader = self.site.find_leader()
        self.random.shuffle(nodes)
        if self.random.random() < 0.5:
            nodes.sort(key=lambda node: node is not leader)
        return nodes[:count]

    def _end_disruptions(self) -> None:
        self.site.heal()
        for node in self.site.nodes:
            node.sync_seconds = SYNC_SECONDS
            node.files.operations_until_crash = None
            node.clock.thaw()

    async def _check(self) -> None:
        """Check that a leader is elected which has all that workers were told of."""
        group = self.site.group
        leader = await group.wait_leader(RECOVERY_SECONDS)
        self.site.counts["ends told"] += sum(worker.told for worker in self.workers)
        told = [worker.told for worker in self.workers]
        for worker in self.workers:
            worker.check(leader, worker.told)
        last = await group.propose_many("last", 1)
        await group.wait_until_all_at(last)
        for node in self.site.nodes:
            for worker, number in zip(self.workers, told, strict=True):
                worker.check(node, number)
        group.observer.check_outcomes()


def run_seed(seed: int, rounds: int) -> Counter[str]:
    """Run one day and return its event counts; raises on the first violation."""
    random = Random(seed)
    voters = random.choice((3, 3, 5))
    is_small = random.random() < 0.7  # whether snapshots have a single chunk
    settings = msgspec.structs.replace(
        SITE_SETTINGS,
        wanted_voters=voters,
        snapshot_after=random.choice((7, 40)) if is_small else 150,
        kept_entries=random.choice((2, 20)),
    )

    async def run() -> Counter[str]:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery,
                seed,
                names="abcde"[:voters],
                learners=NOT_COUNTING[: random.randint(0, 2)],
                settings=settings,
                drift=CLOCK_DRIFT,
                has_first_start=True,
            )
            group.make_machine = EndsMachine if is_small else PaddedMachine
            await group.start()
            site = Site(group, random)
            await ClosingRun(site, TOLERATED[voters]).run(rounds)
            nursery.cancel_scope.cancel()
        site.counts[f"days with {voters} voters"] += 1
        return site.counts

    return run_deterministic(run, seed)


def main(_: list[str]) -> None:
    """Run the seeds given by the flags and print what happened in them."""
    total: Counter[str] = Counter()
    failed = 0
    for seed in range(flags.FLAGS.first, flags.FLAGS.first + flags.FLAGS.seeds):
        try:
            total.update(run_seed(seed, flags.FLAGS.rounds))
            print(f"seed {seed}: passed", flush=True)
        except Exception as error:  # the next seeds still run
            failed += 1
            print(f"seed {seed}: {error!r}", flush=True)
    for name, count in sorted(total.items()):
        print(f"  {name:56} {count}")
    print(f"{failed} of {flags.FLAGS.seeds} days failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("first", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 50, "How many seeds to run, one after the other.")
    flags.DEFINE_integer("rounds", 1, "Most disruptions before the closing of a day.")
    app.run(main)
