"""Disruptions of a small site, each within what the site tolerates."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import trio
from returns.result import Success

from rhubarbfield.types import InstanceName
from tests.replication.group import Group, Node

CLOCK_DRIFT = 0.05
BOOT_SECONDS = (0.3, 1.5)
CATCH_UP_SECONDS = 4.0
MAX_NODES = 4
Disruption = Callable[["Site"], Awaitable[None]]
disruptions: dict[str, Disruption] = {}
beside: dict[str, Disruption] = {}  # may go on beside any other


def disruption(function: Disruption) -> Disruption:
    """Register a disruption that ends before the next one begins."""
    disruptions[function.__name__] = function
    return function


def side_disruption(function: Disruption) -> Disruption:
    """Register a disruption that may go on beside others."""
    beside[function.__name__] = function
    return function


class Site:
    """The nodes of a site, oldest first, and a client of their group."""

    def __init__(self, group: Group, random: Random) -> None:
        self.group = group
        self.random = random
        self.counts: Counter[str] = Counter()
        self._next_name = ord(max(group.nodes)) + 1
        self._commands = 0
        self.back_at = 0.0  # when the latest lost machine was back
        self.full_disks = 0  # which store nothing, like machines that are away

    @property
    def nodes(self) -> list[Node]:
        return list(self.group.nodes.values())

    def find_leader(self) -> Node:
        """Return the leader, or any node if there is none."""
        holders = self.group.list_lease_holders()
        return holders[0] if holders else self.random.choice(self.nodes)

    async def restart(self, node: Node, latest: float = 1.5) -> None:
        await trio.sleep(self.random.uniform(0.1, latest))
        await self.boot(node)

    async def boot(self, node: Node) -> None:
        """Start a machine, whose program takes a while to start."""
        self.back_at = trio.current_time()
        await trio.sleep(self.random.uniform(*BOOT_SECONDS))
        if node.replica is None:
            await node.start(may_form_group=False)

    async def wait_caught_up(self) -> None:
        """Wait until another machine may be lost."""
        while self.full_disks or trio.current_time() < self.back_at + CATCH_UP_SECONDS:
            await trio.sleep(0.1)

    def heal(self) -> None:
        self.group.network.heal()
        self.back_at = trio.current_time()

    def thaw(self, node: Node) -> None:
        node.clock.thaw()
        self.back_at = trio.current_time()

    async def restart_all(self, latest: float = 1.5) -> None:
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(self.restart, node, latest)

    def add(self) -> Node:
        """Add a node at another address, with an empty disk."""
        name = InstanceName(chr(self._next_name))
        self._next_name += 1
        rate = 1 + self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        node = self.group.nodes[name] = Node(self.group, name, rate)
        self.group.bootstrap = tuple(self.group.nodes)
        return node

    async def propose(self) -> None:
        """Propose one command at a node that leads, if there is one."""
        self._commands += 1
        for node in self.group.list_lease_holders():
            if not node.clock.is_frozen:
                command = f"command {self._commands}".encode()
                with trio.move_on_after(3):
                    result = await self.group.propose(node, command)
                    self.counts["acknowledged"] += isinstance(result, Success)

    async def propose_burst(self) -> None:
        """Return as soon as one of several commands was answered."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.random.randint(0, 3)):
                nursery.start_soon(self._propose_later)
            if self.random.random() < 0.8:
                await self.propose()
            nursery.cancel_scope.cancel()

    async def _propose_later(self) -> None:
        await trio.sleep(self.random.uniform(0, 0.04))
        await self.propose()

    def split(self, side: list[Node]) -> None:
        """Cut all links between ``side`` and the other nodes."""
        for node in side:
            for other in self.nodes:
                if other not in side:
                    self.group.network.cut(node.name, other.name)
                    self.group.network.cut(other.name, node.name)


@disruption
async def wipe_oldest(site: Site) -> None:
    node = site.nodes[0]
    await site.propose_burst()
    await node.lose_disk()
    await site.restart(node)
    # The order of age is that of the disks.
    site.group.nodes[node.name] = site.group.nodes.pop(node.name)


@disruption
async def wipe_leader(site: Site) -> None:
    await site.propose_burst()
    node = site.find_leader()
    await node.lose_disk()
    await site.restart(node)


@disruption
async def lose_power_of_all(site: Site) -> None:
    await site.propose_burst()
    for node in site.nodes:
        await node.crash()
    await site.restart_all()


@disruption
async def lose_power_of_all_and_one_disk(site: Site) -> None:
    await site.propose_burst()
    lost = site.random.choice([*site.nodes, site.nodes[0], site.find_leader()])
    for node in site.nodes:
        await node.crash()
    lost.files.lose_all()
    await site.restart_all(latest=6.0)


@disruption
async def replace_oldest(site: Site) -> None:
    node = site.nodes[0]
    if site.random.random() < 0.5 and node.replica is not None:
        node.replica.release_leadership()
        await trio.sleep(site.random.uniform(0, 0.3))
    await node.crash()
    del site.group.nodes[node.name]
    await site.boot(site.add())


@disruption
async def replace_all_in_turn(site: Site) -> None:
    for _ in site.nodes:
        await replace_oldest(site)
        await site.wait_caught_up()


@disruption
async def wipe_all_in_turn(site: Site) -> None:
    for _ in site.nodes:
        await wipe_oldest(site)
        await site.wait_caught_up()


@disruption
async def replace_one_after_the_successor_started(site: Site) -> None:
    node = site.random.choice(site.nodes)
    await site.boot(site.add())
    await trio.sleep(site.random.uniform(0, 5))
    await node.crash()
    del site.group.nodes[node.name]
    # A voter that is silent is replaced after a while only.
    site.back_at = trio.current_time()


@disruption
async def add_spare(site: Site) -> None:
    if len(site.nodes) < MAX_NODES:
        await site.boot(site.add())


@disruption
async def freeze_leader(site: Site) -> None:
    node = site.find_leader()
    node.clock.freeze()
    await trio.sleep(site.random.uniform(0.3, 8))
    site.thaw(node)


@disruption
async def kill_the_majority_as_a_cut_heals(site: Site) -> None:
    behind = site.random.choice([*site.nodes, site.find_leader()])
    site.split([behind])
    await trio.sleep(site.random.uniform(0.5, 12))
    await site.propose_burst()
    site.heal()
    await trio.sleep(site.random.choice((0, site.random.uniform(0, 0.5))))
    for node in site.nodes:
        if node is not behind:
            await node.crash()
    await site.restart_all(latest=4.0)


@disruption
async def lose_a_disk_while_one_is_behind_and_the_rest_is_dark(site: Site) -> None:
    nodes = site.nodes
    behind, lost = site.random.sample(nodes, 2)
    site.split([behind])
    await trio.sleep(site.random.uniform(0.5, 10))
    await site.propose_burst()
    for node in nodes:
        if node is not behind:
            await node.crash()
    site.heal()
    lost.files.lose_all()
    await site.restart(lost)
    await trio.sleep(site.random.uniform(0, 6))
    await site.restart_all()


@disruption
async def split_in_halves(site: Site) -> None:
    nodes = site.nodes
    site.split(site.random.sample(nodes, len(nodes) // 2))
    await trio.sleep(site.random.uniform(0.5, 12))
    site.heal()


@disruption
async def cut_one_way(site: Site) -> None:
    for _ in range(site.random.randint(1, 2)):
        source, target = site.random.sample(site.nodes, 2)
        site.group.network.cut(source.name, target.name)
    await trio.sleep(site.random.uniform(0.5, 10))
    site.heal()


@disruption
async def stop_and_start(site: Site) -> None:
    node = site.random.choice([*site.nodes, site.find_leader()])
    if node.replica is not None:
        node.replica.release_leadership()
    await trio.sleep(site.random.uniform(0, 1))
    await node.crash()
    await site.restart(node)


@side_disruption
async def slow_disk(site: Site) -> None:
    node = site.random.choice(site.nodes)
    before, node.sync_seconds = node.sync_seconds, site.random.uniform(0.02, 0.8)
    await trio.sleep(site.random.uniform(1, 15))
    node.sync_seconds = before


@side_disruption
async def fill_disk(site: Site) -> None:
    node = site.random.choice(site.nodes)
    site.full_disks += 1
    node.files.capacity = site.random.randint(0, 12_000)
    await trio.sleep(site.random.uniform(1, 10))
    node.files.capacity = None
    site.full_disks -= 1
    site.back_at = trio.current_time()


@side_disruption
async def freeze_briefly(site: Site) -> None:
    node = site.random.choice(site.nodes)
    node.clock.freeze()
    await trio.sleep(site.random.uniform(0.1, 0.9))
    site.thaw(node)


@side_disruption
async def worsen_links(site: Site) -> None:
    network = site.group.network
    network.drop_rate = site.random.uniform(0, 0.1)
    network.duplicate_rate = site.random.uniform(0, 0.2)
    network.max_delay = site.random.uniform(0.004, 0.2)
    await trio.sleep(site.random.uniform(0.5, 5))
    network.drop_rate = network.duplicate_rate = 0.0
    network.max_delay = 0.004
