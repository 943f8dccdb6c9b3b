"""Tests of membership changes and of lagging replicas."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.replication import NotLeader, Unsafe
from rhubarbfield.types import InstanceName
from tests.replication.group import Group
from tests.replication.test_replica import run_group


class MembershipTest(unittest.TestCase):
    def test_a_learner_replaces_a_voter(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            await trio.sleep(5)
            removed = group.list_others(leader)[0].name
            for old in (removed, leader.name):
                replica = (await group.wait_leader()).replica
                new = InstanceName("d" if old == removed else "e")
                result = await replica.replace_voter(old, new)
                self.assertEqual(result, Success(None))
            await group.propose_many("y", 5)
            status = (await group.wait_leader()).replica.status()
            voters = {m.id.name for m in status.members if m.is_voter}
            self.assertEqual(voters, set(group.nodes) - {removed, leader.name})

        run_group(scenario, learners="de")

    def test_unsafe_changes_are_refused(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            replica = leader.replica
            await trio.sleep(5)
            first, second = (n for n in group.list_others(leader) if n.name != "d")
            await group.get("d").crash()
            await trio.sleep(2)
            results = [
                await replica.replace_voter(first.name, InstanceName("d")),
                await replica.replace_voter(InstanceName("z"), InstanceName("d")),
                await replica.add_voter(InstanceName("z")),
                await replica.remove_member(InstanceName("z")),
                await replica.add_learner(InstanceName("z")),
            ]
            await first.crash()
            await trio.sleep(2)
            results.append(await replica.remove_member(second.name))
            for result in results:
                self.assertIsInstance(result.failure(), Unsafe)
            self.assertEqual(
                await second.replica.remove_member(first.name),
                Failure(NotLeader(leader.name)),
            )
            self.assertEqual(await replica.remove_member(first.name), Success(None))

        run_group(scenario, learners="d")

    def test_group_goes_on_without_a_leader_whose_removal_the_others_have_not_learnt(
        self,
    ) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            await trio.sleep(5)
            lost, *others = group.list_others(leader)
            for node in (lost, *others):
                group.network.slow(node.name, leader.name, 0.2)
            async with trio.open_nursery() as nursery:
                change = leader.replica.replace_voter
                nursery.start_soon(change, leader.name, InstanceName("d"))
                await trio.sleep(0.05)
                for node in (lost, *others):
                    group.network.cut(leader.name, node.name)
                nursery.start_soon(group.propose, leader, b"y")
                await trio.sleep(2)
                await lost.lose_disk()
                group.network.heal()
                await lost.start(may_form_group=False)
                await group.propose_many("z", 3)

        run_group(scenario, learners="d")


class CatchUpTest(unittest.TestCase):
    def test_a_restart_after_many_changes_takes_few_round_trips(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            behind = group.list_others(leader)[0]
            await group.propose_many("before", 10)
            await behind.crash()
            for part in range(5):
                index = await group.propose_many(f"part{part} ", 500)
            await behind.start()
            group.network.sent.clear()
            started_at = trio.current_time()
            await behind.replica.wait_applied(index)
            elapsed = timedelta(seconds=trio.current_time() - started_at)
            self.assertLess(elapsed, 2 * group.settings.heartbeat)
            self.assertLess(sum(group.network.sent.values()), 40)
            self.assertEqual(behind.machine.restored, 1)

        run_group(scenario)

    def test_a_large_snapshot_arrives_in_chunks_over_lossy_links(self) -> None:
        async def scenario(group: Group) -> None:
            padding = group.random.randbytes(1_500_000)
            for node in group.nodes.values():
                node.machine.state.padding = padding
            behind = group.list_others(await group.wait_leader())[0]
            await behind.crash()
            for part in range(3):
                index = await group.propose_many(f"part{part} ", 500)
            await behind.start()
            group.network.drop_rate = 0.3
            group.network.duplicate_rate = 0.3
            group.network.sent.clear()
            await behind.replica.wait_applied(index)
            self.assertEqual(behind.machine.state.padding, padding)
            self.assertGreater(group.network.sent["InstallSnapshot"], 5)

        run_group(scenario)

    def test_lossy_links_lose_no_commands(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 100)
            group.network.drop_rate = 0.2
            group.network.duplicate_rate = 0.2
            group.network.max_delay = 0.2
            leader = await group.wait_leader()
            for number in range(40):
                await group.propose(leader, f"y{number}".encode())
            index = await group.propose_many("z", 100)
            await group.wait_until_all_at(index)

        run_group(scenario, learners="d")
