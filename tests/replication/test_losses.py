"""Tests of a group with lost, damaged, failing and full disks."""

from __future__ import annotations

import unittest

import trio
from returns.result import Failure, Success

from rhubarbfield.replication import NotLeader, OutcomeUnknown
from rhubarbfield.storage import StoreDamaged, SyncFailed
from tests.replication.group import Group
from tests.replication.test_replica import run_group


class LossTest(unittest.TestCase):
    def test_a_lost_disk_is_repaired_through_the_log(self) -> None:
        async def scenario(group: Group) -> None:
            index = await group.propose_many("x", 50)
            leader = await group.wait_leader()
            lost = group.list_others(leader)[0]
            before = lost.replica.status().id
            await lost.lose_disk()
            await lost.start()
            await trio.sleep(10)
            after = lost.replica.status().id
            self.assertNotEqual(before, after)
            voters = [m.id for m in leader.replica.status().members if m.is_voter]
            self.assertIn(after, voters)
            self.assertNotIn(before, voters)
            self.assertGreaterEqual(lost.replica.applied, index)

        run_group(scenario)

    def test_a_second_loss_before_the_repair_gives_no_quorum(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            lost, other = group.list_others(leader)
            group.network.cut(leader.name, lost.name)
            group.network.cut(other.name, lost.name)
            await lost.lose_disk()
            await lost.start()
            await other.crash()
            group.network.heal()
            for _ in range(600):
                await trio.sleep(0.1)
                self.assertFalse(
                    group.list_lease_holders() and trio.current_time() > 10
                )
            await other.start()
            await group.propose_many("y", 5)

        run_group(scenario)

    def test_a_second_loss_after_the_repair_is_survived(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            first, second = group.list_others(leader)
            await first.lose_disk()
            await first.start()
            await trio.sleep(5)
            await second.lose_disk()
            await group.propose_many("y", 5)
            await second.start()
            await trio.sleep(5)
            await leader.crash()
            await group.propose_many("z", 5)

        run_group(scenario)

    def test_a_group_is_not_formed_until_all_voters_are_up(self) -> None:
        async def scenario(group: Group) -> None:
            await group.get("c").crash()
            await trio.sleep(60)
            self.assertEqual(group.list_lease_holders(), [])
            await group.get("c").start()
            await group.propose_many("x", 1)

        run_group(scenario)

    def test_a_crash_while_forming_leaves_no_partial_group(self) -> None:
        async def scenario(group: Group) -> None:
            node = group.get("a")
            await node.crash()
            node.files.operations_until_crash = steps.pop()
            await node.start()
            while node.replica is not None and trio.current_time() < 10:
                await trio.sleep(0.1)
            node.files.operations_until_crash = None
            if node.replica is None:
                await node.start()
            await group.propose_many("x", 1)

        steps = list(range(4, 14))
        while steps:
            run_group(scenario)

    def test_a_lost_voter_cannot_form_a_second_group(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 1)
            for name in "ab":
                await group.get(name).lose_disk()
                await group.get(name).start()
            await trio.sleep(60)
            self.assertEqual(group.list_lease_holders(), [])

        run_group(scenario)

    def test_a_damaged_log_counts_as_lost(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            node = group.list_others(await group.wait_leader())[0]
            await node.crash()
            node.files.flip_byte("log", 40)
            await node.start()
            await trio.sleep(10)
            status = node.replica.status()
            self.assertIsInstance(status.store_note, StoreDamaged)
            self.assertIn(status.id, [m.id for m in status.members if m.is_voter])

        run_group(scenario)

    def test_a_failed_sync_stops_the_replica(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            replica = leader.replica
            leader.files.fail_syncs = True
            # Both peers store the entry before the leader's sync fails.
            result = await group.propose(leader, b"x")
            self.assertIsInstance(result, Success)
            await trio.sleep(1)
            self.assertIsInstance(replica.status().halted, SyncFailed)
            await group.propose_many("y", 1)

        run_group(scenario)

    def test_a_failed_sync_that_a_quorum_needs_leaves_the_outcome_unknown(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            replica = leader.replica
            group.network.isolate(group.list_others(leader)[0].name)
            leader.files.fail_syncs = True
            result = await group.propose(leader, b"x")
            self.assertEqual(result, Failure(OutcomeUnknown()))
            await trio.sleep(1)
            self.assertIsInstance(replica.status().halted, SyncFailed)
            group.network.heal()
            await group.propose_many("y", 1)

        run_group(scenario)

    def test_a_leader_with_a_full_disk_steps_down_and_recovers(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            leader.files.capacity = 0
            result = await group.propose(leader, b"x")
            self.assertIsInstance(result.failure(), NotLeader)
            await group.propose_many("y", 1)
            leader.files.capacity = None
            index = await group.propose_many("z", 1)
            await group.wait_until_all_at(index)

        run_group(scenario)
