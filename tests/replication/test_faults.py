"""Tests of leases while instances are isolated, frozen and restarted."""

from __future__ import annotations

import unittest

import trio
from returns.result import Failure

from rhubarbfield.replication import NoQuorum, NotLeader, OutcomeUnknown, Role
from tests.replication.group import Group
from tests.replication.test_replica import run_group


class IsolationTest(unittest.TestCase):
    def test_a_cut_off_leader_steps_down_within_its_lease(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await group.propose_many("x", 1)
            group.network.isolate(leader.name)
            lease = group.settings.lease.total_seconds()
            with trio.fail_after(lease + 0.5):
                lost = await group.propose(leader, b"lost")
            self.assertEqual(lost, Failure(OutcomeUnknown()))
            self.assertIsNone(leader.replica.leadership)
            self.assertIsInstance(await leader.replica.confirm_read(), Failure)
            refused = await group.propose(leader, b"refused")
            self.assertIn(refused, [Failure(NoQuorum()), Failure(NotLeader(None))])
            other = await group.wait_leader()
            self.assertIsNot(other, leader)
            self.assertTrue(leader.replica.status().is_isolated)

        run_group(scenario)

    def test_a_reconnected_voter_does_not_depose_a_healthy_leader(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            group.network.isolate(group.list_others(leader)[0].name)
            await trio.sleep(60)
            term = leader.replica.status().term
            group.network.heal()
            await trio.sleep(30)
            status = leader.replica.status()
            self.assertEqual((status.term, status.role), (term, Role.LEADER))

        run_group(scenario)

    def test_a_voter_cut_off_from_the_leader_does_not_depose_it(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            term = leader.replica.status().term
            group.network.cut(leader.name, group.list_others(leader)[0].name)
            for _ in range(300):
                await trio.sleep(0.1)
                self.assertIsNotNone(leader.replica.leadership)
            self.assertEqual(leader.replica.status().term, term)

        run_group(scenario)

    def test_a_thawed_leader_has_no_lease(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            leader.clock.freeze()
            await trio.sleep(group.settings.lease.total_seconds())
            self.assertIsNone(leader.replica.leadership)
            other = await group.wait_leader()
            self.assertIsNot(other, leader)
            await group.propose_many("x", 3)
            leader.clock.thaw()
            await trio.sleep(1)
            self.assertIs(await group.wait_leader(), other)

        run_group(scenario)

    def test_a_late_answer_does_not_extend_the_lease(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            others = group.list_others(leader)
            for node in others:
                group.network.slow(node.name, leader.name, 0.9)
            await trio.sleep(5)
            leader = await group.wait_leader()
            for node in group.list_others(leader):
                group.network.cut(leader.name, node.name)
            for _ in range(400):
                await trio.sleep(0.01)
                group.check()

        for seed in range(1, 7):
            run_group(scenario, seed=seed)

    def test_next_leader_counts_what_its_voters_promised_to_the_former_one(
        self,
    ) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            _, candidate = group.list_others(leader)
            group.network.cut(leader.name, candidate.name)
            group.network.cut(candidate.name, leader.name)
            await trio.sleep(4)
            self.assertIsNotNone(leader.replica.leadership)
            await leader.crash()
            # Group.check fails the run if the former lease ended later than assumed.
            elected.append(await group.wait_leader() is candidate)

        elected: list[bool] = []
        for seed in range(1, 9):
            run_group(scenario, seed=seed, drift=0.05)
        self.assertIn(True, elected)

    def test_a_restarted_voter_refuses_votes_for_one_lease(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            supporter, candidate = group.list_others(leader)
            group.network.cut(leader.name, candidate.name)
            group.network.cut(candidate.name, leader.name)
            await trio.sleep(4)
            await supporter.crash()
            group.network.isolate(leader.name)
            await supporter.start()
            # Group.check fails the run if both hold a lease at the same time.
            self.assertIs(await group.wait_leader(), leader)
            while leader.replica.leadership is not None:
                await trio.sleep(0.01)
            self.assertIsNot(await group.wait_leader(), leader)

        for seed in range(1, 5):
            run_group(scenario, seed=seed)
