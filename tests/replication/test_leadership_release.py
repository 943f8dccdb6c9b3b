"""Tests of releasing leadership and of automatic replacement of voters."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.replication import GroupSettings
from tests.replication.group import Group
from tests.replication.test_replica import run_group

SEEDS = range(10)
MAX_DELAY_SECONDS = 0.2  # of a vote, and by the drift of clocks
MAX_RELEASE_SECONDS = 1.0  # an election timeout alone takes at least 2 s
REPLACEMENT_SETTINGS = GroupSettings(
    replace_after=timedelta(seconds=3), wanted_voters=3
)


class LeadershipReleaseTest(unittest.TestCase):
    def test_another_voter_leads_at_once(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            before = await group.wait_leader()
            started_at = trio.current_time()
            before.replica.release_leadership()
            self.assertIsNone(before.replica.leadership)
            with trio.fail_after(MAX_RELEASE_SECONDS):
                after = await group.wait_leader()
            self.assertNotEqual(after.name, before.name)
            self.assertLess(trio.current_time() - started_at, MAX_RELEASE_SECONDS)
            await group.propose_many("y", 5)

        for seed in SEEDS:
            run_group(scenario, seed=seed)

    def test_voters_tell_the_next_leader_since_when_none_has_led(self) -> None:
        """A worker lost beside the leader was waited for from the election on."""

        async def scenario(group: Group) -> None:
            before = await group.wait_leader()
            await trio.sleep(3)
            await before.crash()
            crashed_at = trio.current_time()
            after = await group.wait_leader()
            leadership = after.replica.leadership
            former_until = after.clock.find_true_time(leadership.former_until)
            lease = group.settings.lease.total_seconds()
            self.assertGreaterEqual(former_until, crashed_at)
            self.assertLess(former_until, crashed_at + lease + MAX_DELAY_SECONDS)

        for seed in SEEDS:
            run_group(scenario, seed=seed, drift=0.05)

    def test_a_follower_has_no_leadership_to_release(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            for node in group.nodes.values():
                if node is not leader:
                    node.replica.release_leadership()
            await trio.sleep(5)
            self.assertEqual((await group.wait_leader()).name, leader.name)

        run_group(scenario)


class ReplacementTest(unittest.TestCase):
    def test_a_learner_replaces_an_unreachable_voter(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            unreachable = next(n for n in "abc" if n != leader.name)
            await group.get(unreachable).crash()
            await trio.sleep(20)
            membership = (await group.wait_leader()).replica.status().members
            voters = {member.id.name for member in membership if member.is_voter}
            self.assertEqual(voters, {*"abcd"} - {unreachable})

        for seed in SEEDS:
            run_group(scenario, seed=seed, learners="d", settings=REPLACEMENT_SETTINGS)

    def test_learners_are_promoted_until_there_are_enough_voters(self) -> None:
        async def scenario(group: Group) -> None:
            await trio.sleep(20)
            membership = (await group.wait_leader()).replica.status().members
            voters = [member for member in membership if member.is_voter]
            self.assertEqual(len(voters), 5)

        wanted = GroupSettings(wanted_voters=5)
        run_group(scenario, learners="def", settings=wanted)


if __name__ == "__main__":
    unittest.main()
