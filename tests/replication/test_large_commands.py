"""Tests of a group whose commands are large, as a big configuration is."""

from __future__ import annotations

import unittest

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.replication import GroupSettings, Overloaded, ProposeError
from rhubarbfield.scheduling.controller import make_group_settings
from rhubarbfield.scheduling.deployment import DeploymentSettings, WorkerTimes
from rhubarbfield.storage import Snapshot
from rhubarbfield.storage.records import MAX_COMMAND_BYTES
from rhubarbfield.types import FailureDomain, LogIndex
from tests.replication.group import Group, Node
from tests.replication.test_replica import run_group

MIB = 1024 * 1024
COMMAND_BYTES = MAX_COMMAND_BYTES // 4
COMMANDS = 72
MAX_LOG_BYTES = 20 * MIB


def make_command(number: int) -> bytes:
    return b"%04d" % number + bytes(COMMAND_BYTES - 4)


def measure_memory(node: Node) -> int:
    assert node.replica is not None
    assert node.replica._components is not None
    log = node.replica._components.state.log
    indexes = range(log.base.index + 1, log.last.index + 1)
    return sum(len(log.get_entry(LogIndex(index)).data) for index in indexes)


def measure_disk(node: Node) -> int:
    return len(node.files.read("log") or b"")


class LargeCommandsTest(unittest.TestCase):
    def test_log_of_large_commands_outgrows_neither_memory_nor_disk(self) -> None:
        """LOST (review 6): planned changes of a big configuration ended all members."""

        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            for number in range(COMMANDS):
                result = await group.propose(leader, make_command(number))
                self.assertIsInstance(result, Success)
                for node in group.nodes.values():
                    self.assertLessEqual(measure_memory(node), MAX_LOG_BYTES)
                    self.assertLessEqual(measure_disk(node), MAX_LOG_BYTES)

        run_group(scenario)

    def test_log_of_large_commands_stays_in_bounds_after_restarts(self) -> None:
        """LOST (review 6): members that restarted exceeded their memory again."""

        async def scenario(group: Group) -> None:
            for number in range(COMMANDS):
                leader = await group.wait_leader()
                if number % 10 == 9:
                    for node in group.nodes.values():
                        await node.crash()
                    for node in group.nodes.values():
                        await node.start()
                    leader = await group.wait_leader()
                await group.propose(leader, make_command(number))
                for node in group.nodes.values():
                    self.assertLessEqual(measure_memory(node), MAX_LOG_BYTES)
            index = await group.propose_many("last", 1)
            await group.wait_until_all_at(index)

        run_group(scenario)

    def test_follower_behind_large_commands_gets_a_single_snapshot(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            late = group.list_others(leader)[0]
            await late.crash()
            for number in range(COMMANDS):
                await group.propose(leader, make_command(number))
            await late.start()
            index = await group.propose_many("last", 1)
            await group.wait_until_all_at(index)
            assert late.machine is not None
            self.assertEqual(late.machine.restored, 1)

        run_group(scenario)

    def test_large_snapshot_is_not_written_for_each_large_command(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            snapshots: dict[int, Snapshot | None] = {}
            for node in group.nodes.values():
                assert node.machine is not None
                node.machine.state.padding = bytes(24 * MIB)
            for number in range(COMMANDS):
                await group.propose(leader, make_command(number))
                components = leader.replica and leader.replica._components
                assert components is not None
                snapshot = components.state.log.snapshot
                snapshots[snapshot.position.index if snapshot else 0] = snapshot
            # One that is small, then one for as many bytes as it has.
            self.assertLessEqual(len(snapshots), 3)

        run_group(scenario)

    def test_commands_beyond_the_bytes_that_may_be_pending_are_not_run(self) -> None:
        settings = GroupSettings(max_pending_bytes=MAX_COMMAND_BYTES)
        results: list[Result[bytes, ProposeError]] = []

        async def propose(group: Group, leader: Node, number: int) -> None:
            results.append(await group.propose(leader, make_command(number)))

        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(propose, group, leader, number)
            accepted = [each for each in results if isinstance(each, Success)]
            refused = [each for each in results if isinstance(each, Failure)]
            self.assertEqual((len(accepted), len(refused)), (4, 4))
            for each in refused:
                self.assertIsInstance(each.failure(), Overloaded)
            await propose(group, leader, 9)
            self.assertIsInstance(results[-1], Success)

        run_group(scenario, settings=settings)


class LimitsTest(unittest.TestCase):
    def test_log_of_a_deployment_keeps_within_its_memory_and_disk(self) -> None:
        for memory_mb, disk_mb in ((296, 128), (128, 4096), (4096, 64), (None, None)):
            with self.subTest(memory_mb=memory_mb, disk_mb=disk_mb):
                settings = make_group_settings(make_settings(memory_mb, disk_mb))
                most = (
                    settings.snapshot_bytes
                    + settings.kept_bytes
                    + settings.max_pending_bytes
                )
                self.assertLessEqual(most, (memory_mb or 296) * MIB / 10)
                self.assertLessEqual(2 * most, (disk_mb or 128) * MIB / 2)


def make_settings(memory_mb: float | None, disk_mb: float | None) -> DeploymentSettings:
    settings = DeploymentSettings(
        instance="a",
        failure_domain=FailureDomain("z"),
        host="a",
        peer_port=1,
        seeds=("a:2",),
        workers=WorkerTimes(report_ms=1100, longest_lease_ms=10000),
    )
    return msgspec.structs.replace(settings, memory_mb=memory_mb, disk_mb=disk_mb)


if __name__ == "__main__":
    unittest.main()
