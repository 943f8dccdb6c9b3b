"""Tests of the first start of a group, with ends and losses during it."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio

from rhubarbfield.scheduling.controller import make_group_settings
from rhubarbfield.scheduling.deployment import DeploymentSettings, WorkerTimes
from rhubarbfield.types import FailureDomain, InstanceName
from tests.replication.determinism import run_deterministic
from tests.replication.group import Group

START_SECONDS = 15.0
SETTINGS = make_group_settings(
    DeploymentSettings(
        instance="a",
        failure_domain=FailureDomain("z"),
        host="a",
        peer_port=1,
        seeds=("a:2",),
        workers=WorkerTimes(report_ms=1100, longest_lease_ms=10000),
    )
)
Scenario = Callable[[Group], Awaitable[None]]


def run_founding(scenario: Scenario, names: str = "abc", seed: int = 1) -> None:
    """Run a scenario with nodes that are not started yet."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery, seed, names=names, settings=SETTINGS, has_first_start=True
            )
            await scenario(group)
            group.observer.check_outcomes()
            nursery.cancel_scope.cancel()

    run_deterministic(run, seed)


async def start(group: Group, names: str) -> None:
    for name in names:
        await group.get(name).start()


async def check_formed(group: Group) -> None:
    await group.wait_leader(START_SECONDS)
    await group.propose_many("x", 3)


class FoundingTest(unittest.TestCase):
    def test_first_voter_killed_before_the_group_exists(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            await group.get("a").crash()
            await trio.sleep(0.5)
            await group.get("a").start(may_form_group=False)
            await check_formed(group)

        run_founding(scenario)

    def test_all_voters_killed_before_the_group_exists(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            for name in "abc":
                await group.get(name).crash()
                await trio.sleep(0.1)
            for name in "abc":
                await group.get(name).start(may_form_group=False)
            await check_formed(group)

        run_founding(scenario)

    def test_any_voter_that_never_starts(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc".replace(absent, ""))
            await check_formed(group)

        for absent in "abc":
            with self.subTest(absent=absent):
                run_founding(scenario)

    def test_voter_that_comes_late_becomes_a_voter(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc".replace(late, ""))
            await check_formed(group)
            await start(group, late)
            await trio.sleep(6)
            leader = await group.wait_leader()
            status = leader.replica.status()
            voters = {m.id for m in status.members if m.is_voter}
            self.assertIn(group.get(late).replica.status().id, voters)
            self.assertEqual(len(voters), 3)
            await leader.crash()
            await group.propose_many("y", 3)

        for late in "abc":
            with self.subTest(late=late):
                run_founding(scenario)

    def test_founder_lost_between_its_pledges_and_the_first_commit(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            for other in "bc":
                group.network.cut(group.get(other).name, group.get("a").name)
            await trio.sleep(moment)
            await group.get("a").crash()
            group.network.heal()
            await check_formed(group)
            await group.get("a").start(may_form_group=False)
            await trio.sleep(6)
            await group.propose_many("y", 3)
            await group.wait_until_all_at(max(group.observer.history))

        for moment in (0.3, 0.45, 0.9, 1.5, 3.0):
            with self.subTest(moment=moment):
                run_founding(scenario)

    def test_founder_killed_at_any_operation_of_its_disk(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            group.get("a").files.operations_until_crash = operations
            await trio.sleep(2)
            if group.get("a").replica is None:
                await group.get("a").start(may_form_group=False)
            await check_formed(group)

        for operations in range(1, 9):
            with self.subTest(operations=operations):
                run_founding(scenario)

    def test_wiped_voters_without_the_right_form_no_group(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "abc")
            await group.propose_many("x", 3)
            for name in "ab":
                await group.get(name).lose_disk()
            await group.get("c").crash()
            for name in "ab":
                await group.get(name).start(may_form_group=False)
            await trio.sleep(60)
            self.assertEqual(group.list_lease_holders(), [])

        run_founding(scenario)

    def test_wiped_first_voter_does_not_hold_the_others_up(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "a")
            await group.get("a").lose_disk()
            await group.get("a").start(may_form_group=False)
            await start(group, "bc")
            await check_formed(group)

        run_founding(scenario)

    def test_minority_forms_no_group(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "ab")
            await trio.sleep(60)
            for name in "ab":
                self.assertEqual(group.get(name).replica.status().last, 0)
            await start(group, "c")
            await check_formed(group)

        run_founding(scenario, "abcde")

    def test_voters_that_were_told_other_names_give_no_pledge(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "b")
            group.bootstrap = tuple(InstanceName(name) for name in "bcd")
            await start(group, "c")
            await trio.sleep(30)
            for name in "bc":
                self.assertEqual(group.get(name).replica.status().last, 0)

        run_founding(scenario)

    def test_voters_killed_before_they_saved_the_right(self) -> None:
        async def scenario(group: Group) -> None:
            for name in "abc":
                await group.get(name).start(may_form_group=name == able)
                await trio.sleep(0.2)
            await check_formed(group)
            await group.get(able).lose_disk()
            await group.get(able).start(may_form_group=False)
            await trio.sleep(6)
            await group.wait_until_all_at(await group.propose_many("y", 3))

        for able in "abc":
            with self.subTest(able=able):
                run_founding(scenario)

    def test_voter_without_the_right_does_not_replace_an_absent_one(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "a")
            await group.get("b").start(may_form_group=False)
            await trio.sleep(30)
            for name in "ab":
                self.assertEqual(group.get(name).replica.status().last, 0)

        run_founding(scenario)

    def test_small_groups_form(self) -> None:
        async def scenario(group: Group) -> None:
            await group.start()
            await check_formed(group)

        for names in ("a", "ab"):
            run_founding(scenario, names)


if __name__ == "__main__":
    unittest.main()
