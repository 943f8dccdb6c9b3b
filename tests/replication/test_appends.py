"""Tests of how a leader groups proposals into appends."""

from __future__ import annotations

import unittest
from datetime import timedelta
from unittest import mock

import trio
from returns.result import Result, Success

from rhubarbfield.replication import GroupSettings
from rhubarbfield.replication.log import ReplicaLog
from tests.replication.group import Group
from tests.replication.test_replica import run_group

INTERVAL_SECONDS = 0.05
SETTINGS = GroupSettings(append_interval=timedelta(seconds=INTERVAL_SECONDS))


class AppendIntervalTest(unittest.TestCase):
    def test_proposals_that_follow_each_other_closely_share_an_append(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await trio.sleep(1)
            results: list[Result[bytes, object]] = []

            async def propose(number: int) -> None:
                results.append(await group.propose(leader, b"%d" % number))

            with mock.patch.object(
                ReplicaLog, "write", autospec=True, side_effect=ReplicaLog.write
            ) as write:
                async with trio.open_nursery() as nursery:
                    for number in range(20):
                        nursery.start_soon(propose, number)
                        await trio.sleep(INTERVAL_SECONDS / 10)
            self.assertEqual([type(each) for each in results], [Success] * 20)
            self.assertLessEqual(write.call_count, 3)

        run_group(scenario, settings=SETTINGS)

    def test_a_single_proposal_does_not_wait(self) -> None:
        async def measure(group: Group) -> None:
            leader = await group.wait_leader()
            await trio.sleep(1)
            began = trio.current_time()
            self.assertIsInstance(await group.propose(leader, b"x"), Success)
            durations.append(trio.current_time() - began)

        durations: list[float] = []
        for settings in (SETTINGS, GroupSettings()):
            run_group(measure, settings=settings)
        self.assertAlmostEqual(durations[0], durations[1], places=3)


if __name__ == "__main__":
    unittest.main()
