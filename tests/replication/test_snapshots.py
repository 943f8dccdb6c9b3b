"""Tests of snapshots that a replica receives in chunks, sent by hand."""

from __future__ import annotations

import unittest

import msgspec
import trio

from rhubarbfield.replication import Membership, ReplicaId
from rhubarbfield.replication.log import encode_membership
from rhubarbfield.replication.messages import InstallSnapshot
from rhubarbfield.storage import LogPosition
from rhubarbfield.types import Incarnation, InstanceName, LogIndex, Term
from tests.replication.group import Group, MachineState
from tests.replication.test_founding import run_founding

A, B = (ReplicaId(InstanceName(name), Incarnation(f"{name}1")) for name in "ab")
POSITION = LogPosition(LogIndex(9), Term(1))
CHUNK_BYTES = 8
TERMS = {A: Term(1), B: Term(2)}


def encode_state(padding: bytes) -> bytes:
    return msgspec.msgpack.encode(MachineState(POSITION.index, "digest", padding))


async def send(
    group: Group, leader: ReplicaId, data: bytes, start: int, end: int
) -> None:
    replica = group.get("c").replica
    assert replica is not None
    own = replica.status().id
    assert own is not None
    message = InstallSnapshot(
        source=leader,
        target=own.incarnation,
        term=TERMS[leader],
        position=POSITION,
        membership=encode_membership(Membership((A, B))),
        total=len(data),
        offset=start,
        data=data[start:end],
        sent=0,
    )
    replica.deliver(leader.name, message)
    await trio.sleep(0.01)


class SnapshotTest(unittest.TestCase):
    def test_snapshot_is_not_joined_from_chunks_of_two_leaders(self) -> None:
        async def scenario(group: Group) -> None:
            group.observer.digests[POSITION.index] = "digest"
            node = group.get("c")
            await node.start(may_form_group=False)
            first, second = encode_state(b"x" * 20), encode_state(b"y" * 20)
            received = len(first) - CHUNK_BYTES
            await send(group, A, first, 0, received)
            for start in (0, received, *range(CHUNK_BYTES, len(second), CHUNK_BYTES)):
                await send(group, B, second, start, start + CHUNK_BYTES)
            assert node.machine is not None
            self.assertEqual(node.machine.state.padding, b"y" * 20)

        run_founding(scenario)


if __name__ == "__main__":
    unittest.main()
