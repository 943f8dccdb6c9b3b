"""Tests of losses of power at all nodes, beside a lost disk."""

from __future__ import annotations

import unittest

import trio

from tests.replication.group import Group
from tests.replication.test_replica import run_group

CATCH_UP_SECONDS = 4.0  # after which another disk may be lost
RESTART_SECONDS = 0.5


async def lose_disk(group: Group, name: str) -> None:
    """Replace the disk of a node by an empty one, and wait until it has caught up."""
    await group.get(name).lose_disk()
    await trio.sleep(RESTART_SECONDS)
    await group.get(name).start(may_form_group=False)
    await trio.sleep(CATCH_UP_SECONDS)


class PowerLossTest(unittest.TestCase):
    def test_repaired_voter_counts_after_a_loss_of_power_and_of_the_leaders_disk(
        self,
    ) -> None:
        async def scenario(group: Group) -> None:
            await group.propose_many("x", 5)
            leader = await group.wait_leader()
            other = group.list_others(leader)[0]
            await lose_disk(group, other.name)
            leader = await group.wait_leader()
            for node in group.nodes.values():
                await node.crash()
            leader.files.lose_all()
            await trio.sleep(RESTART_SECONDS)
            for node in group.nodes.values():
                await node.start(may_form_group=False)
            await group.propose_many("y", 5)

        run_group(scenario)


if __name__ == "__main__":
    unittest.main()
