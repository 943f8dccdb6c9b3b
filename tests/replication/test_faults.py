"""Tests of a group whose instances, disks, clocks and links fail."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.replication import (
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    Role,
    Unsafe,
)
from rhubarbfield.storage import StoreDamaged, SyncFailed
from rhubarbfield.types import InstanceName
from tests.replication.group import Group, Node
from tests.replication.longrun import run_long
from tests.replication.test_replica import run_group


def list_others(group: Group, leader: Node) -> list[Node]:
    return [node for node in group.nodes.values() if node is not leader]


class IsolationTest(unittest.TestCase):
    def test_a_cut_off_leader_steps_down_within_its_lease(self) -> None:
        async def play(group: Group) -> None:
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

        run_group(play)

    def test_who_returns_does_not_depose_a_healthy_leader(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            group.network.isolate(list_others(group, leader)[0].name)
            await trio.sleep(60)
            term = leader.replica.status().term
            group.network.heal()
            await trio.sleep(30)
            status = leader.replica.status()
            self.assertEqual((status.term, status.role), (term, Role.LEADER))

        run_group(play)

    def test_who_cannot_hear_the_leader_does_not_depose_it(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            term = leader.replica.status().term
            group.network.cut(leader.name, list_others(group, leader)[0].name)
            for _ in range(300):
                await trio.sleep(0.1)
                self.assertIsNotNone(leader.replica.leadership)
            self.assertEqual(leader.replica.status().term, term)

        run_group(play)

    def test_a_thawed_leader_knows_that_its_lease_is_over(self) -> None:
        async def play(group: Group) -> None:
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

        run_group(play)

    def test_a_late_answer_does_not_stretch_the_lease(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            others = list_others(group, leader)
            for node in others:
                group.network.slow(node.name, leader.name, 0.9)
            await trio.sleep(5)
            leader = await group.wait_leader()
            for node in list_others(group, leader):
                group.network.cut(leader.name, node.name)
            for _ in range(400):
                await trio.sleep(0.01)
                group.check()

        for seed in range(1, 7):
            run_group(play, seed=seed)

    def test_a_restarted_voter_keeps_its_promise(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            supporter, rival = list_others(group, leader)
            group.network.cut(leader.name, rival.name)
            group.network.cut(rival.name, leader.name)
            await trio.sleep(4)
            await supporter.crash()
            group.network.isolate(leader.name)
            await supporter.start()
            # The observer fails the run if both hold a lease at once.
            self.assertIs(await group.wait_leader(), leader)
            while leader.replica.leadership is not None:
                await trio.sleep(0.01)
            self.assertIsNot(await group.wait_leader(), leader)

        for seed in range(1, 5):
            run_group(play, seed=seed)


class LossTest(unittest.TestCase):
    def test_a_lost_disk_is_repaired_through_the_log(self) -> None:
        async def play(group: Group) -> None:
            index = await group.propose_many("x", 50)
            leader = await group.wait_leader()
            lost = list_others(group, leader)[0]
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

        run_group(play)

    def test_a_second_loss_before_the_repair_gives_no_quorum(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            lost, other = list_others(group, leader)
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

        run_group(play)

    def test_a_second_loss_after_the_repair_is_survived(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            first, second = list_others(group, leader)
            await first.lose_disk()
            await first.start()
            await trio.sleep(5)
            await second.lose_disk()
            await group.propose_many("y", 5)
            await second.start()
            await trio.sleep(5)
            await leader.crash()
            await group.propose_many("z", 5)

        run_group(play)

    def test_a_group_is_not_formed_until_all_are_there(self) -> None:
        async def play(group: Group) -> None:
            await group.get("c").crash()
            await trio.sleep(60)
            self.assertEqual(group.list_lease_holders(), [])
            await group.get("c").start()
            await group.propose_many("x", 1)

        run_group(play)

    def test_a_lost_voter_cannot_form_a_second_group(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 1)
            for name in "ab":
                await group.get(name).lose_disk()
                await group.get(name).start()
            await trio.sleep(60)
            self.assertEqual(group.list_lease_holders(), [])

        run_group(play)

    def test_a_damaged_log_counts_as_lost(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 5)
            node = list_others(group, await group.wait_leader())[0]
            await node.crash()
            node.files.flip_byte("log", 40)
            await node.start()
            await trio.sleep(10)
            status = node.replica.status()
            self.assertIsInstance(status.store_note, StoreDamaged)
            self.assertIn(status.id, [m.id for m in status.members if m.is_voter])

        run_group(play)

    def test_a_failed_sync_stops_the_replica(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            replica = leader.replica
            leader.files.fail_syncs = True
            result = await group.propose(leader, b"x")
            self.assertEqual(result, Failure(OutcomeUnknown()))
            await trio.sleep(1)
            self.assertIsInstance(replica.status().halted, SyncFailed)
            await group.propose_many("y", 1)

        run_group(play)

    def test_a_full_disk_refuses_and_recovers(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            leader.files.capacity = 0
            result = await group.propose(leader, b"x")
            self.assertIsInstance(result.failure(), NotLeader)
            await group.propose_many("y", 1)
            leader.files.capacity = None
            index = await group.propose_many("z", 1)
            await group.wait_until_all_at(index)

        run_group(play)


class MembershipTest(unittest.TestCase):
    def test_a_learner_takes_the_place_of_a_voter(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            await trio.sleep(5)
            gone = list_others(group, leader)[0].name
            for old in (gone, leader.name):
                replica = (await group.wait_leader()).replica
                new = InstanceName("d" if old == gone else "e")
                result = await replica.replace_voter(old, new)
                self.assertEqual(result, Success(None))
            await group.propose_many("y", 5)
            status = (await group.wait_leader()).replica.status()
            voters = {m.id.name for m in status.members if m.is_voter}
            self.assertEqual(voters, set(group.nodes) - {gone, leader.name})

        run_group(play, learners="de")

    def test_unsafe_changes_are_refused(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            replica = leader.replica
            await trio.sleep(5)
            first, second = (n for n in list_others(group, leader) if n.name != "d")
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

        run_group(play, learners="d")


class CatchUpTest(unittest.TestCase):
    def test_a_restart_after_many_changes_takes_few_round_trips(self) -> None:
        async def play(group: Group) -> None:
            leader = await group.wait_leader()
            behind = list_others(group, leader)[0]
            await group.propose_many("before", 10)
            await behind.crash()
            for part in range(5):
                index = await group.propose_many(f"part{part} ", 500)
            await behind.start()
            group.network.sent.clear()
            started = trio.current_time()
            await behind.replica.wait_applied(index)
            elapsed = timedelta(seconds=trio.current_time() - started)
            self.assertLess(elapsed, 2 * group.settings.heartbeat)
            self.assertLess(sum(group.network.sent.values()), 40)
            self.assertEqual(behind.machine.restored, 1)

        run_group(play)

    def test_bad_links_lose_nothing(self) -> None:
        async def play(group: Group) -> None:
            await group.propose_many("x", 100)
            group.network.drop_rate = 0.2
            group.network.duplicate_rate = 0.2
            group.network.max_delay = 0.2
            leader = await group.wait_leader()
            for number in range(40):
                await group.propose(leader, f"y{number}".encode())
            index = await group.propose_many("z", 100)
            await group.wait_until_all_at(index)

        run_group(play, learners="d")


class LongRunTest(unittest.TestCase):
    def test_random_faults_break_nothing(self) -> None:
        for seed in (1, 2):
            counts = run_long(seed, hours=0.1)
            self.assertGreater(counts["propose Success"], 100)

    def test_a_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run_long(3, hours=0.03), run_long(3, hours=0.03))
