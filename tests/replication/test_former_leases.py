"""Tests of the time by which a leader counts the earlier leases as ended."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.replication.group import Group, Node
from tests.replication.test_replica import run_group

SEEDS = range(2)
CHANGES = 2  # of leader on each seed
WATCH_SECONDS = 0.01
DRIFT = 0.05
CUT_LEASES = 2

Disturb = Callable[[Group, Node, Node], Awaitable[None]]


class FormerLeaseTest(unittest.TestCase):
    """The group checks each new leader against the leases before, every 10 ms."""

    def test_lease_of_a_frozen_leader_ends_before_the_next_one_counts(self) -> None:
        async def disturb(group: Group, leader: Node, voter: Node) -> None:
            leader.clock.freeze()

        self._check_changes(disturb)

    def test_voter_that_was_frozen_does_not_count_as_free(self) -> None:
        async def disturb(group: Group, leader: Node, voter: Node) -> None:
            voter.clock.freeze()
            await _wait(group)
            leader.clock.freeze()
            await _wait(group)
            voter.clock.thaw()

        self._check_changes(disturb)

    def test_restarted_voter_counts_as_bound_to_an_earlier_leader(self) -> None:
        async def disturb(group: Group, leader: Node, voter: Node) -> None:
            await voter.crash()
            leader.clock.freeze()
            await voter.start(may_form_group=False)

        self._check_changes(disturb)

    def test_released_lease_ends_before_the_next_leader_counts(self) -> None:
        async def disturb(group: Group, leader: Node, voter: Node) -> None:
            voter.clock.freeze()
            await _wait(group)
            voter.clock.thaw()
            if leader.replica is not None:
                leader.replica.release_leadership()
            leader.clock.freeze()

        self._check_changes(disturb)

    def _check_changes(self, disturb: Disturb) -> None:
        """Change the leader several times, each time after a disturbance."""

        async def scenario(group: Group) -> None:
            group.nursery.start_soon(_watch, group)
            for _ in range(CHANGES):
                leader = await group.wait_leader()
                await _wait(group)
                voter, other = group.list_others(leader)
                # Only the promise of the voter is a recent one.
                _cut(group, leader, other)
                await trio.sleep(CUT_LEASES * group.settings.lease.total_seconds())
                await disturb(group, leader, voter)
                while await group.wait_leader() is leader:
                    await trio.sleep(WATCH_SECONDS)
                leader.clock.thaw()
                group.network.heal()
                await _wait(group)

        for seed in SEEDS:
            run_group(scenario, seed=seed, drift=DRIFT)


def _cut(group: Group, first: Node, second: Node) -> None:
    group.network.cut(first.name, second.name)
    group.network.cut(second.name, first.name)


async def _wait(group: Group) -> None:
    """Wait for up to a lease and a half."""
    lease = group.settings.lease.total_seconds()
    await trio.sleep(group.random.uniform(0, 1.5 * lease))


async def _watch(group: Group) -> None:
    while True:
        group.check()
        await trio.sleep(WATCH_SECONDS)


if __name__ == "__main__":
    unittest.main()
