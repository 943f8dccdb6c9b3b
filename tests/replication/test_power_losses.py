"""Tests of losses of power at all nodes, beside a lost disk."""

from __future__ import annotations

import unittest
from random import Random

import trio

from tests.replication.group import Group, Node
from tests.replication.test_founding import SETTINGS
from tests.replication.test_replica import run_group

CATCH_UP_SECONDS = 4.0  # after which another disk may be lost
RESTART_SECONDS = 0.5
LOST_DISKS = 8
SECONDS_BETWEEN_COMMANDS = {"idle": 10.0, "busy": 0.03}
SYNC_SECONDS = 0.3  # in which commands are written that are not synced yet


async def lose_disk(group: Group, name: str) -> None:
    """Replace the disk of a node by an empty one, and wait until it has caught up."""
    await group.get(name).lose_disk()
    await trio.sleep(RESTART_SECONDS)
    await group.get(name).start(may_form_group=False)
    await trio.sleep(CATCH_UP_SECONDS)


class Losses:
    """Commands on a group, whose disks are lost one after another."""

    def __init__(self, group: Group, random: Random, interval: float) -> None:
        self.group = group
        self.random = random
        self.interval = interval
        self.commands = 0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await self.group.wait_leader()
            for node in self.group.nodes.values():
                node.sync_seconds = SYNC_SECONDS
            nursery.start_soon(self._propose, nursery)
            nursery.start_soon(self._watch)
            for _ in range(LOST_DISKS):
                await trio.sleep(self.random.uniform(0, CATCH_UP_SECONDS))
                await self._lose_disk()
                await self.group.wait_leader()
                await trio.sleep(CATCH_UP_SECONDS)
            nursery.cancel_scope.cancel()
        await self.group.propose_many("last", 3)

    async def _propose(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.random.expovariate(1 / self.interval))
            for node in self.group.list_lease_holders():
                self.commands += 1
                command = f"x{self.commands}".encode()
                nursery.start_soon(self.group.propose, node, command)

    async def _watch(self) -> None:
        while True:
            await trio.sleep(0.1)
            self.group.check()
            for node in self.group.nodes.values():
                if node.replica is not None:
                    assert node.replica.status().store_note is None, node.name

    async def _lose_disk(self) -> None:
        """Lose a disk, mostly the leader's, and mostly the power of all others too."""
        nodes = list(self.group.nodes.values())
        leaders = self.group.list_lease_holders()
        lost = self.random.choice([*nodes, *leaders * 3])
        hit: list[Node] = nodes if self.random.random() < 0.7 else [lost]
        for node in hit:
            await node.crash()
        lost.files.lose_all()
        self.random.shuffle(hit)
        for node in hit:
            await trio.sleep(self.random.uniform(0, 1))
            await node.start(may_form_group=False)


class PowerLossTest(unittest.TestCase):
    def test_disks_lost_one_after_another_beside_losses_of_power(self) -> None:
        for name, interval in SECONDS_BETWEEN_COMMANDS.items():
            for seed in range(1, 6):
                with self.subTest(name=name, seed=seed):
                    random = Random(seed)

                    async def scenario(
                        group: Group, random: Random = random, wait: float = interval
                    ) -> None:
                        await Losses(group, random, wait).run()

                    run_group(
                        scenario, seed=seed, settings=SETTINGS, has_first_start=True
                    )

    def test_repaired_voter_counts_after_a_loss_of_power_and_of_the_leaders_disk(
        self,
    ) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            other = group.list_others(leader)[0]
            await lose_disk(group, other.name)
            leader = await group.wait_leader()
            for node in group.nodes.values():
                await node.crash()
            leader.files.lose_all()
            await trio.sleep(RESTART_SECONDS)
            for node in group.nodes.values():
                await node.start(may_form_group=False)
            await group.propose_many("y", 5)

        run_group(scenario)


if __name__ == "__main__":
    unittest.main()
