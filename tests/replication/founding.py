"""Random first starts of a group on a virtual clock.

``python -m tests.replication.founding --seeds 50`` starts that many groups amid
kills, crashes while writing, late and lost voters, wiped disks, cuts, freezes and
lossy links. The same seed gives the same run.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import trio
from absl import app, flags
from returns.result import Success

from rhubarbfield.replication.membership import Membership
from rhubarbfield.types import LogIndex, Term
from tests.replication.determinism import run_deterministic
from tests.replication.group import Group, Node
from tests.replication.test_founding import SETTINGS, START_SECONDS

FIRST_START_SHARE = 0.8  # of the groups; others don't know first starts
CLOCK_DRIFT = 0.05
RESTART_SECONDS = 0.5
REPAIR_SECONDS = 40.0
TROUBLED_SECONDS = 12.0


class FoundingRun:
    """One first start under faults, and its event counts."""

    def __init__(self, group: Group, random: Random) -> None:
        self.group = group
        self.random = random
        self.counts: Counter[str] = Counter()
        self.started: set[Node] = set()
        nodes = list(group.nodes.values())
        tolerated = (len(nodes) - 1) // 2
        troubled = random.sample(nodes, random.randint(0, tolerated))
        self.losses = {node: random.choice((late, never, wipe)) for node in troubled}
        # Killed before they could save anything, when all disks are still there.
        self.unsaved: set[Node] = set()
        if not troubled and random.random() < 0.5:
            self.unsaved = set(random.sample(nodes, random.randint(0, len(nodes) - 1)))
        self.counts["unsaved"] = len(self.unsaved)
        self._commands = 0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._propose)
            for node in self.group.nodes.values():
                nursery.start_soon(self._start_first, node)
            for loss in self.losses.values():
                self.counts[loss.__name__] += 1
            for _ in range(self.random.randint(0, 3)):
                nursery.start_soon(self._disturb)
            await trio.sleep(self.random.uniform(0.5, TROUBLED_SECONDS))
            nursery.cancel_scope.cancel()
        await self._check_start()
        await self._check_repair()

    async def start(self, node: Node) -> None:
        """Start a node; only its first start may form the group."""
        if node.replica is None:
            is_first = node not in self.started | self.unsaved
            self.started.add(node)
            await node.start(may_form_group=is_first)

    async def _start_first(self, node: Node) -> None:
        await trio.sleep(self.random.uniform(0, 0.3))
        loss = self.losses.get(node)
        if loss is None:
            await self.start(node)
        else:
            await loss(self, node)

    async def _disturb(self) -> None:
        # A disk that is lost while others are away is more than may be lost.
        faults = [kill, crash_while_writing]
        if wipe in self.losses.values():
            faults = []
        else:
            faults += [isolate, cut_one_way, freeze]
        faults += [worsen_links]
        while True:
            await trio.sleep(self.random.uniform(0, 1.5))
            fault = self.random.choice(faults)
            node = self.random.choice(list(self.group.nodes.values()))
            self.counts[fault.__name__] += 1
            await fault(self, node)

    async def _propose(self) -> None:
        group = self.group
        while True:
            await trio.sleep(self.random.uniform(0.05, 0.3))
            for node in group.list_lease_holders():
                if not node.clock.is_frozen:
                    self._commands += 1
                    command = f"command {self._commands}".encode()
                    with trio.move_on_after(1):
                        result = await group.propose(node, command)
                        self.counts["acknowledged"] += isinstance(result, Success)

    async def _check_start(self) -> None:
        """End all faults and check that the group is there soon."""
        group = self.group
        group.network.heal()
        group.network.drop_rate = group.network.duplicate_rate = 0.0
        group.network.max_delay = 0.004
        for node in group.nodes.values():
            node.clock.thaw()
            node.files.operations_until_crash = None
            if self.losses.get(node) is not never:
                await self.start(node)
        began = trio.current_time()
        await group.wait_leader(START_SECONDS)
        waited = trio.current_time() - began
        self.counts["longest wait, ms"] = int(1000 * waited)
        await group.propose_many("start", 3)

    async def _check_repair(self) -> None:
        """Start the rest and check that all are voters and agree on one founding."""
        group = self.group
        for node in group.nodes.values():
            await self.start(node)
        await trio.sleep(REPAIR_SECONDS)
        await group.wait_until_all_at(await group.propose_many("last", 1))
        leader = await group.wait_leader()
        assert leader.replica is not None
        members = leader.replica.status().members
        voters = {member.id for member in members if member.is_voter}
        assert voters == {find_id(node) for node in group.nodes.values()}, voters
        first = {find_first_entry(node) for node in group.nodes.values()}
        assert len(first) == 1, first
        group.observer.check_outcomes()


def find_id(node: Node) -> object:
    assert node.replica is not None
    return node.replica.status().id


def find_first_entry(node: Node) -> tuple[Term | None, Membership | None]:
    """Return the term and voters of a node's first entry."""
    assert node.replica is not None
    components = node.replica._components
    assert components is not None
    log = components.state.log
    return log.find_term(LogIndex(1)), log.get_membership_at(LogIndex(1))


Fault = Callable[[FoundingRun, Node], Awaitable[None]]


async def late(run: FoundingRun, node: Node) -> None:
    await trio.sleep(run.random.uniform(1, 8))
    await run.start(node)


async def never(run: FoundingRun, node: Node) -> None:
    """Keep the node away until the group is there."""


async def wipe(run: FoundingRun, node: Node) -> None:
    await run.start(node)
    await trio.sleep(run.random.uniform(0, 4))
    await node.lose_disk()
    await trio.sleep(RESTART_SECONDS)
    await run.start(node)


async def kill(run: FoundingRun, node: Node) -> None:
    if node in run.started:
        await node.crash()
        await trio.sleep(RESTART_SECONDS)
        await run.start(node)


async def crash_while_writing(run: FoundingRun, node: Node) -> None:
    node.files.operations_until_crash = run.random.randint(1, 8)
    await trio.sleep(run.random.uniform(0.3, 3))
    node.files.operations_until_crash = None
    if node in run.started:
        await run.start(node)


async def isolate(run: FoundingRun, node: Node) -> None:
    run.group.network.isolate(node.name)
    await trio.sleep(run.random.uniform(0.2, 6))
    run.group.network.heal()


async def cut_one_way(run: FoundingRun, node: Node) -> None:
    other = run.random.choice(list(run.group.nodes))
    run.group.network.cut(node.name, other)
    await trio.sleep(run.random.uniform(0.2, 6))
    run.group.network.heal()


async def freeze(run: FoundingRun, node: Node) -> None:
    node.clock.freeze()
    await trio.sleep(run.random.uniform(0.2, 4))
    node.clock.thaw()


async def worsen_links(run: FoundingRun, _: Node) -> None:
    network = run.group.network
    network.drop_rate = run.random.uniform(0, 0.3)
    network.duplicate_rate = run.random.uniform(0, 0.2)
    network.max_delay = run.random.uniform(0.004, 0.4)
    await trio.sleep(run.random.uniform(0.5, 4))
    network.drop_rate = network.duplicate_rate = 0.0
    network.max_delay = 0.004


def run_seed(seed: int) -> Counter[str]:
    """Run one start and return its event counts; raises on the first violation."""
    random = Random(seed)
    names = random.choice(("a", "ab", "abc", "abc", "abc", "abcde"))

    async def run() -> Counter[str]:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery,
                seed,
                names=names,
                settings=SETTINGS,
                drift=CLOCK_DRIFT,
                has_first_start=random.random() < FIRST_START_SHARE,
            )
            founding = FoundingRun(group, random)
            await founding.run()
            nursery.cancel_scope.cancel()
        return founding.counts

    return run_deterministic(run, seed)


def main(_: list[str]) -> None:
    """Run the seeds given by the flags and print what happened in them."""
    total: Counter[str] = Counter()
    failed = 0
    for seed in range(flags.FLAGS.first, flags.FLAGS.first + flags.FLAGS.seeds):
        try:
            counts = run_seed(seed)
        except Exception as error:  # the next seeds still run
            failed += 1
            print(f"seed {seed}: {error!r}", flush=True)
            continue
        longest = max(total.pop("longest wait, ms", 0), counts["longest wait, ms"])
        total.update(counts)
        total["longest wait, ms"] = longest
    for name, count in sorted(total.items()):
        print(f"  {name:24} {count}")
    print(f"{failed} of {flags.FLAGS.seeds} starts failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("first", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 50, "How many seeds to run, one after the other.")
    app.run(main)
