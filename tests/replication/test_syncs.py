"""Tests of a leader with a slow disk."""

from __future__ import annotations

import math
import unittest
from unittest import mock

import trio
from returns.result import Result, Success

from rhubarbfield.replication import run_in_thread
from rhubarbfield.storage import StoreFailure
from tests.replication.group import Group
from tests.replication.test_replica import run_group

SLOW_SYNC_SECONDS = 0.3
SYNCS = 30


class ThreadTest(unittest.TestCase):
    def test_a_sync_without_a_free_thread_does_not_end_the_process(self) -> None:
        refusal = RuntimeError("can't start new thread")
        with mock.patch("threading.Thread.start", side_effect=refusal):
            result = trio.run(self.run_many)
        self.assertEqual(result, [Success(None)] * SYNCS)

    async def run_many(self) -> list[Result[None, StoreFailure]]:
        """Run more syncs at once than threads may be left of earlier tests."""
        results: list[Result[None, StoreFailure]] = []

        async def run_one() -> None:
            results.append(await run_in_thread(lambda: Success(None)))

        async with trio.open_nursery() as nursery:
            for _ in range(SYNCS):
                nursery.start_soon(run_one)
        return results


class SlowDiskTest(unittest.TestCase):
    def test_peers_commit_while_the_leaders_disk_hangs(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            leader.sync_seconds = math.inf
            with trio.fail_after(SLOW_SYNC_SECONDS):
                result = await group.propose(leader, b"x")
            self.assertIsInstance(result, Success)

        run_group(scenario)

    def test_a_leader_with_one_peer_waits_for_its_disk(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await group.propose_many("x", 1)
            group.network.isolate(group.list_others(leader)[0].name)
            leader.sync_seconds = SLOW_SYNC_SECONDS
            started_at = trio.current_time()
            result = await group.propose(leader, b"y")
            self.assertIsInstance(result, Success)
            self.assertGreaterEqual(trio.current_time() - started_at, SLOW_SYNC_SECONDS)

        run_group(scenario)

    def test_proposals_during_a_sync_share_the_next_sync(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            group.network.isolate(group.list_others(leader)[0].name)
            leader.sync_seconds = SLOW_SYNC_SECONDS
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(group.propose, leader, b"%d" % number)
                    await trio.sleep(0.01)
            self.assertLess(trio.current_time() - started_at, 3 * SLOW_SYNC_SECONDS)

        run_group(scenario)

    def test_acknowledged_commands_survive_a_power_loss_during_a_sync(self) -> None:
        """All nodes lose power at the same time while the leader's sync hangs."""

        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            leader.sync_seconds = math.inf
            await group.propose_many("x", 5)
            for node in group.nodes.values():
                await node.crash()
            for node in group.nodes.values():
                await node.start()
            leader.sync_seconds = 0.0
            await group.wait_leader()
            await group.propose_many("y", 5)

        for seed in range(5):
            run_group(scenario, seed=seed)
