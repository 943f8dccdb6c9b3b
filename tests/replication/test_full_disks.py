"""Tests of a group whose disks are full one after another, never two at once."""

from __future__ import annotations

import unittest
from collections import Counter
from datetime import timedelta
from random import Random

import trio
from returns.result import Success

from rhubarbfield.replication import GroupSettings
from tests.replication.group import Group, Node
from tests.replication.test_replica import run_group
from tests.storage.simulated_files import FileOperation

SEEDS = range(3)
RESTART_SECONDS = 0.3  # after which the platform starts a process that has ended
COMMANDS_A_SECOND = 20
RECOVERY_SECONDS = 20
OBSERVED_SECONDS = 5
SETTINGS = GroupSettings(
    heartbeat=timedelta(milliseconds=200),
    lease=timedelta(milliseconds=900),
    election_min=timedelta(milliseconds=1100),
    election_max=timedelta(milliseconds=1800),
    snapshot_after=40,
    kept_entries=20,
    append_interval=timedelta(milliseconds=15),
    propose_timeout=timedelta(milliseconds=2500),
    replace_after=timedelta(milliseconds=2500),
    wanted_voters=3,
)
# What a full disk refuses, by the moment in which a file system notices it.
FULL_DISKS = (
    {FileOperation.APPEND},
    {FileOperation.APPEND, FileOperation.TRUNCATE},
    {FileOperation.APPEND, FileOperation.RENAME},
    {FileOperation.RENAME},
    {FileOperation.SYNC},
    {FileOperation.APPEND, FileOperation.SYNC, FileOperation.SYNC_FOLDER},
)


class FullDisks:
    """Fills the disks of a group in turn while commands are proposed."""

    def __init__(self, group: Group, seed: int, *, crashes: bool) -> None:
        self.group = group
        self.random = Random(seed)
        self.crashes = crashes
        self.outcomes: Counter[type] = Counter()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for node in self.group.nodes.values():
                nursery.start_soon(self._restart, node)
            await self.group.wait_leader()
            nursery.start_soon(self._propose, nursery)
            refused = frozenset(self.random.choice(FULL_DISKS))
            for _ in range(self.random.randint(3, 8)):
                await self._fill_one(refused)
            await trio.sleep(RECOVERY_SECONDS)
            self.outcomes.clear()
            await trio.sleep(OBSERVED_SECONDS)
            nursery.cancel_scope.cancel()

    async def _fill_one(self, refused: frozenset[FileOperation]) -> None:
        """Fill the disk of one node, more often than not of the leader."""
        nodes = list(self.group.nodes.values())
        leaders = self.group.list_lease_holders()
        is_leader = leaders and self.random.random() < 0.6
        node = leaders[0] if is_leader else self.random.choice(nodes)
        node.files.refused = refused
        await trio.sleep(self.random.uniform(1, 5))
        if self.crashes and self.random.random() < 0.5:
            await self.random.choice(nodes).crash()
        node.files.refused = frozenset()
        await trio.sleep(self.random.choice((0, self.random.uniform(0, 3))))

    async def _restart(self, node: Node) -> None:
        while True:
            await trio.sleep(RESTART_SECONDS)
            if node.replica is None:
                await node.start()

    async def _propose(self, nursery: trio.Nursery) -> None:
        number = 0
        while True:
            await trio.sleep(self.random.expovariate(COMMANDS_A_SECOND))
            number += 1
            for leader in self.group.list_lease_holders():
                nursery.start_soon(self._propose_one, leader, b"%d" % number)

    async def _propose_one(self, leader: Node, command: bytes) -> None:
        if leader.replica is not None:
            result = await self.group.propose(leader, command)
            self.outcomes[type(result)] += 1


class FullDisksTest(unittest.TestCase):
    def test_commands_are_accepted_once_every_disk_has_room_again(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._check(seed, learners="", crashes=False)

    def test_commands_are_accepted_where_learners_may_replace_voters(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._check(seed, learners="de", crashes=False)

    def test_commands_are_accepted_beside_crashes(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._check(seed, learners="de", crashes=True)

    def _check(self, seed: int, *, learners: str, crashes: bool) -> None:
        async def scenario(group: Group) -> None:
            disks = FullDisks(group, seed, crashes=crashes)
            await disks.run()
            expected = COMMANDS_A_SECOND * OBSERVED_SECONDS / 2
            self.assertGreater(disks.outcomes[Success], expected, disks.outcomes)
            self.assertEqual(set(disks.outcomes), {Success})
            index = await group.propose_many("last", 1)
            await group.wait_until_all_at(index)

        run_group(scenario, seed=seed, learners=learners, settings=SETTINGS)


if __name__ == "__main__":
    unittest.main()
