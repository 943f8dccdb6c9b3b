"""Tests of pledges, with probes and answers made by hand."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.replication import Replica, ReplicaId
from rhubarbfield.replication.messages import Probe, ProbeAnswer
from rhubarbfield.storage import HardState
from rhubarbfield.types import Incarnation, InstanceName, Term
from tests.replication.group import Group
from tests.replication.test_founding import run_founding, start

NAMES = tuple(InstanceName(name) for name in "abc")
A, B, C = (ReplicaId(name, Incarnation(f"{name}1")) for name in NAMES)


async def open_replica(group: Group, name: str) -> Replica:
    await start(group, name)
    await trio.sleep(0.01)
    replica = group.get(name).replica
    assert replica is not None
    return replica


def read_hard_state(replica: Replica) -> HardState:
    assert replica._components is not None
    return replica._components.state.log.hard_state


async def ask(replica: Replica, founder: ReplicaId, term: int) -> ReplicaId | None:
    """Ask for a pledge; return whom the replica has pledged to."""
    probe = Probe(
        source=founder,
        target=Incarnation(""),
        term=Term(term),
        empty=True,
        founders=NAMES,
    )
    replica.deliver(founder.name, probe)
    await trio.sleep(0.01)
    return read_hard_state(replica).vote


async def answer(
    replica: Replica, voter: ReplicaId, term: int, *, pledged: bool = False
) -> int:
    """Answer a probe of the replica; return the last index of its log."""
    own = replica.status().id
    assert own is not None
    message = ProbeAnswer(
        source=voter,
        target=own.incarnation,
        term=Term(term),
        empty=True,
        leader=None,
        may_found=True,
        pledge=own if pledged else None,
    )
    replica.deliver(voter.name, message)
    await trio.sleep(0.01)
    return replica.status().last


class PledgesTest(unittest.TestCase):
    def test_voter_pledges_once_in_a_term(self) -> None:
        async def scenario(group: Group) -> None:
            replica = await open_replica(group, "b")
            self.assertEqual(await ask(replica, A, 2), A)
            self.assertEqual(await ask(replica, C, 2), A)
            self.assertEqual(await ask(replica, C, 1), A)
            self.assertEqual(await ask(replica, A, 2), A)
            await trio.sleep(1)
            self.assertEqual(await ask(replica, C, 3), C)

        run_founding(scenario)

    def test_pledge_is_kept_by_a_killed_voter(self) -> None:
        async def scenario(group: Group) -> None:
            replica = await open_replica(group, "b")
            self.assertEqual(await ask(replica, A, 2), A)
            await group.get("b").crash()
            await group.get("b").start(may_form_group=False)
            await trio.sleep(1)
            restarted = group.get("b").replica
            assert restarted is not None
            self.assertEqual(await ask(restarted, C, 2), A)

        run_founding(scenario)

    def test_pledge_of_an_earlier_term_does_not_count(self) -> None:
        async def scenario(group: Group) -> None:
            replica = await open_replica(group, "a")
            await answer(replica, B, 3)
            await answer(replica, C, 3)
            await trio.sleep(0.5)
            self.assertEqual(read_hard_state(replica).term, 4)
            self.assertEqual(await answer(replica, B, 3, pledged=True), 0)
            self.assertEqual(await answer(replica, B, 4, pledged=True), 1)

        run_founding(scenario)

    def test_voter_without_the_right_gives_no_pledge(self) -> None:
        async def scenario(group: Group) -> None:
            await group.get("b").start(may_form_group=False)
            await trio.sleep(0.01)
            replica = group.get("b").replica
            assert replica is not None
            self.assertIsNone(await ask(replica, A, 2))

        run_founding(scenario)


if __name__ == "__main__":
    unittest.main()
