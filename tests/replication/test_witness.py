"""Tests of a witness, which leads only if no other voter can."""

from __future__ import annotations

import unittest

import trio

from tests.replication.group import Group
from tests.replication.test_replica import run_group

SEEDS = range(10)


class WitnessTest(unittest.TestCase):
    def test_a_witness_yields_leadership(self) -> None:
        async def scenario(group: Group) -> None:
            await trio.sleep(30)
            self.assertNotEqual((await group.wait_leader()).name, "c")

        for seed in SEEDS:
            run_group(scenario, seed=seed, avoid_leadership="c")

    def test_a_witness_brings_a_lagging_voter_up_to_date(self) -> None:
        async def scenario(group: Group) -> None:
            await trio.sleep(30)
            leader = await group.wait_leader()
            other = next(n for n in "ab" if n != leader.name)
            await group.get(other).crash()
            await group.propose_many("x", 20)
            await trio.sleep(5)
            await leader.crash()
            await group.get(other).start()
            await trio.sleep(30)
            self.assertEqual((await group.wait_leader()).name, other)
            await group.propose_many("y", 5)

        for seed in SEEDS:
            run_group(scenario, seed=seed, avoid_leadership="c")
