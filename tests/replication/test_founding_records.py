"""Tests that earlier and later versions read the data of a founding."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.replication import Membership, ReplicaId
from rhubarbfield.replication.log import ReplicaLog
from rhubarbfield.replication.messages import Probe, ProbeAnswer
from rhubarbfield.storage import HardState, MemoryStore
from rhubarbfield.storage.logfile import LogRecord
from rhubarbfield.storage.records import IncarnationText, Index, TermNumber
from rhubarbfield.types import Incarnation, InstanceName, LogIndex, Term

A = ReplicaId(InstanceName("a"), Incarnation("1"))
FOUNDERS = (InstanceName("a"), InstanceName("b"), InstanceName("c"))


class EarlierHardState(msgspec.Struct, frozen=True, array_like=True):
    incarnation: IncarnationText
    term: TermNumber
    vote: ReplicaId | None
    commit: Index


class EarlierRecord(msgspec.Struct, frozen=True, array_like=True):
    hard_state: EarlierHardState


class EarlierMessage(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="Probe"
):
    source: ReplicaId
    target: IncarnationText
    term: TermNumber
    empty: bool


class EarlierAnswer(EarlierMessage, frozen=True, kw_only=True, tag="ProbeAnswer"):
    leader: InstanceName | None


EARLIER = EarlierHardState(A.incarnation, Term(2), A, LogIndex(0))
PRESENT = HardState(A.incarnation, Term(2), A, LogIndex(0), FOUNDERS)


def open_log() -> ReplicaLog:
    store = MemoryStore()
    log = ReplicaLog(store, store.load().unwrap())
    log.save_incarnation(HardState(A.incarnation, founders=FOUNDERS)).unwrap()
    return log


class FoundingRecordsTest(unittest.TestCase):
    def test_hard_state_of_an_earlier_version_holds_no_right(self) -> None:
        data = msgspec.msgpack.encode(EarlierRecord(EARLIER))
        read = msgspec.msgpack.decode(data, type=LogRecord).hard_state
        self.assertEqual(read, HardState(A.incarnation, Term(2), A))

    def test_earlier_version_reads_a_hard_state_with_the_right(self) -> None:
        data = msgspec.msgpack.encode(LogRecord(PRESENT))
        read = msgspec.msgpack.decode(data, type=EarlierRecord).hard_state
        self.assertEqual(read, EARLIER)

    def test_probes_are_read_by_both_versions(self) -> None:
        fields = {"source": A, "target": A.incarnation, "term": Term(1)}
        probe = Probe(**fields, empty=True, founders=FOUNDERS)
        answer = ProbeAnswer(**fields, empty=True, leader=None, pledge=A)
        earlier = EarlierMessage(**fields, empty=True)
        earlier_answer = EarlierAnswer(**fields, empty=True, leader=None)
        for sent, expected in (
            (probe, earlier),
            (answer, earlier_answer),
            (earlier, Probe(**fields, empty=True)),
            (earlier_answer, ProbeAnswer(**fields, empty=True, leader=None)),
        ):
            data = msgspec.msgpack.encode(sent)
            read = msgspec.msgpack.decode(data, type=type(expected))
            self.assertEqual(read, expected)

    def test_right_is_kept_by_votes_until_the_first_entry(self) -> None:
        log = open_log()
        log.save_vote(Term(3), None).unwrap()
        log.save_vote(Term(3), A).unwrap()
        self.assertTrue(log.is_empty and log.may_found)
        log.save_first_entry(Membership((A,))).unwrap()
        self.assertEqual(log.hard_state, HardState(A.incarnation, Term(3), A))
        self.assertFalse(log.is_empty or log.may_found)


if __name__ == "__main__":
    unittest.main()
