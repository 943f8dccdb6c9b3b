"""Tests of a group without faults."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.exceptions import UsageError
from rhubarbfield.replication import GroupSettings, NotLeader, Overloaded
from rhubarbfield.storage import MAX_COMMAND_BYTES
from rhubarbfield.testing.determinism import check_private_names
from rhubarbfield.types import Term
from tests.replication.determinism import run_deterministic
from tests.replication.group import Group

VIRTUAL_TIMEOUT = 600.0
Scenario = Callable[[Group], Awaitable[None]]


def run_group(scenario: Scenario, *, seed: int = 1, **options: object) -> None:
    """Start a group, run ``scenario`` on it and check the recorded outcomes."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, seed, **options)  # type: ignore[arg-type]
            await group.start()
            with trio.fail_after(VIRTUAL_TIMEOUT):
                await scenario(group)
            group.observer.check_outcomes()
            nursery.cancel_scope.cancel()

    run_deterministic(run, seed)


class DeterminismTest(unittest.TestCase):
    def test_trio_has_the_private_names(self) -> None:
        check_private_names()

    def test_the_same_seed_gives_the_same_run(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 20)
            traces.append((trio.current_time(), dict(group.network.sent)))

        traces: list[tuple[float, dict[str, int]]] = []
        for _ in range(2):
            run_group(scenario, seed=5)
        self.assertEqual(traces[0], traces[1])


class ReplicaTest(unittest.TestCase):
    def test_a_group_forms_and_applies_everywhere(self) -> None:
        async def scenario(group: Group) -> None:
            index = await group.propose_many("x", 100)
            await group.wait_until_all_at(index)
            states = [node.machine.state for node in group.nodes.values()]
            self.assertTrue(all(state == states[0] for state in states))

        run_group(scenario, learners="de")

    def test_a_follower_names_the_leader(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await group.propose_many("x", 1)
            other = next(n for n in group.nodes.values() if n is not leader)
            result = await group.propose(other, b"y")
            self.assertEqual(result, Failure(NotLeader(leader.name)))
            read = await other.replica.confirm_read()
            self.assertEqual(read, Failure(NotLeader(leader.name)))
            self.assertIsNone(other.replica.leadership)

        run_group(scenario)

    def test_a_proposal_for_another_term_is_refused(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            assert leader.replica.led_term is not None
            former = Term(leader.replica.led_term - 1)
            result = await leader.replica.propose(b"x", former)
            self.assertEqual(result, Failure(NotLeader(leader.name)))

        run_group(scenario)

    def test_oversized_and_excess_proposals_are_refused(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            too_large = await leader.replica.propose(bytes(MAX_COMMAND_BYTES + 1))
            self.assertIsInstance(too_large.failure(), Overloaded)
            outcomes = []

            async def propose(number: int) -> None:
                command = f"many{number}".encode()
                outcomes.append(await group.propose(leader, command))

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(propose, number)
            refused = [each for each in outcomes if isinstance(each, Failure)]
            self.assertEqual(len(refused), 3)

        run_group(scenario, settings=GroupSettings(max_pending=5))

    def test_an_idle_group_sends_heartbeats_only(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 1)
            await trio.sleep(5)
            group.network.sent.clear()
            await trio.sleep(40)
            sent = group.network.sent
            self.assertEqual(set(sent), {"Append", "AppendAnswer"})
            self.assertLessEqual(sent["Append"], 2 * 101)

        run_group(scenario)

    def test_a_single_voter_leads_itself(self) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 3)

        run_group(scenario, names="a")

    def test_contradictory_settings_are_refused(self) -> None:
        with self.assertRaisesRegex(UsageError, "election_min"):
            GroupSettings(election_min=timedelta(seconds=1.6))
        with self.assertRaisesRegex(UsageError, "lease"):
            GroupSettings(lease=timedelta(seconds=1))

    def test_reads_include_acknowledged_commands(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            index = await group.propose_many("x", 10)
            read = await leader.replica.confirm_read()
            self.assertIsInstance(read, Success)
            self.assertGreaterEqual(read.unwrap(), index)

        run_group(scenario)
