"""Tests of a lost disk soon after a group was founded without one of its voters."""

from __future__ import annotations

import unittest

import trio

from tests.replication.group import Group
from tests.replication.test_founding import check_formed, run_founding, start

LEASE_SECONDS = 20.0  # long enough for a leader without a quorum to step down
RETURN_SECONDS = 0.5


async def lose_disk(group: Group, name: str) -> None:
    await group.get(name).lose_disk()
    await trio.sleep(RETURN_SECONDS)
    await group.get(name).start(may_form_group=False)


async def check_goes_on(group: Group) -> None:
    await trio.sleep(LEASE_SECONDS)
    await group.wait_leader()
    await group.propose_many("after", 3)


class FoundingLossesTest(unittest.TestCase):
    """In all of them one disk is lost, and then all voters are there and calm."""

    def test_pledged_voter_loses_its_disk_before_the_late_one_starts(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "ab")
            founder = group.get("a").replica
            assert founder is not None
            with trio.fail_after(30):
                while not founder.status().last:
                    await trio.sleep(0.0005)
            await lose_disk(group, "b")
            await start(group, "c")
            await check_goes_on(group)

        run_founding(scenario)

    def test_voter_loses_its_disk_while_another_is_cut_off(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            group.network.isolate(group.get("c").name)
            await check_formed(group)
            await lose_disk(group, "b")
            group.network.heal()
            await check_goes_on(group)

        run_founding(scenario)

    def test_founder_loses_its_disk_after_another_ended_before_it_began(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "ab")
            await group.get("c").start(may_form_group=False)
            await check_formed(group)
            await lose_disk(group, "a")
            await check_goes_on(group)

        run_founding(scenario)

    def test_other_voter_loses_its_disk_after_one_ended_before_it_began(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "ab")
            await group.get("c").start(may_form_group=False)
            await check_formed(group)
            await lose_disk(group, "b")
            await check_goes_on(group)

        run_founding(scenario)

    def test_two_of_five_lose_their_disks_after_two_ended_before_they_began(
        self,
    ) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            for name in "de":
                await group.get(name).start(may_form_group=False)
            await check_formed(group)
            await group.get("a").lose_disk()
            await lose_disk(group, "b")
            await group.get("a").start(may_form_group=False)
            await check_goes_on(group)

        run_founding(scenario, names="abcde")

    def test_voter_that_ends_again_does_not_hold_the_group_up(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "ab")
            await group.get("c").start(may_form_group=False)
            founder = group.get("a").replica
            assert founder is not None
            with trio.fail_after(30):
                while all(member.is_voter for member in founder.status().members):
                    await trio.sleep(0.0005)
            await group.get("c").crash()
            await check_formed(group)

        run_founding(scenario)
