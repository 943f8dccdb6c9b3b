"""Tests of one replica with scripted peers."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.replication import (
    GroupSettings,
    Membership,
    Replica,
    ReplicaId,
    ReplicationMessage,
)
from rhubarbfield.replication.log import ReplicaLog, encode_membership
from rhubarbfield.replication.messages import (
    Append,
    AppendAnswer,
    PreVote,
    PreVoteAnswer,
    Vote,
    VoteAnswer,
)
from rhubarbfield.replication.state import MICROSECOND
from rhubarbfield.storage import (
    Entry,
    EntryKind,
    HardState,
    LogPosition,
    MemoryStore,
)
from rhubarbfield.types import GroupId, Incarnation, InstanceName, LogIndex, Term
from tests.replication.determinism import run_deterministic
from tests.replication.group import ChainMachine, Observer

A, B, C, D = (ReplicaId(InstanceName(name), Incarnation("1")) for name in "abcd")
OLD = Membership((A, B, C))
NEW = Membership((A, B, D))


def make_entry(index: int, term: int, membership: Membership | None = None) -> Entry:
    kind = EntryKind.MEMBERSHIP if membership else EntryKind.COMMAND
    data = encode_membership(membership) if membership else b"command"
    return Entry(LogIndex(index), Term(term), kind, data)


def make_store(*entries: Entry, term: int, commit: int) -> MemoryStore:
    store = MemoryStore()
    hard_state = HardState(A.incarnation, Term(term), None, LogIndex(commit))
    store.append(hard_state, entries)
    return store


def make_append(previous: int, commit: int) -> Append:
    return Append(
        source=B,
        target=A.incarnation,
        term=Term(1),
        previous=LogPosition(LogIndex(previous), Term(1)),
        entries=(),
        commit=LogIndex(commit),
        confirmed=True,
        sent=0,
    )


class ScriptedPeers:
    """Grants every vote to one replica and records the appends that it sends."""

    def __init__(self) -> None:
        self.replica: Replica | None = None
        self.nursery: trio.Nursery | None = None
        self.appends: list[Append] = []
        self.votes: list[bool] = []
        self.unpromised: dict[InstanceName, timedelta] = {}

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        source = ReplicaId(to, Incarnation("1"))
        common = {"source": source, "target": A.incarnation, "term": message.term}
        if isinstance(message, PreVote):
            self.answer(PreVoteAnswer(asked_term=message.term, granted=True, **common))
        elif isinstance(message, Vote):
            unpromised = self.unpromised.get(to, timedelta()) // MICROSECOND
            self.answer(
                VoteAnswer(
                    asked_term=message.term,
                    granted=True,
                    unpromised=unpromised,
                    **common,
                )
            )
        elif isinstance(message, VoteAnswer):
            self.votes.append(message.granted)
        elif isinstance(message, Append) and to == B.name:
            self.appends.append(message)

    def answer(self, message: ReplicationMessage) -> None:
        assert self.replica is not None
        self.replica.deliver(message.source.name, message)

    def acknowledge(self, index: int, term: int = 0) -> None:
        latest = self.appends[-1]
        self.answer(
            AppendAnswer(
                source=B,
                target=A.incarnation,
                term=Term(term or latest.term),
                asked_term=latest.term,
                matched=True,
                index=LogIndex(index),
                sent=latest.sent,
            )
        )


def run_scripted(
    store: MemoryStore,
    scenario: Callable[[Replica, ScriptedPeers], Awaitable[None]],
    seed: int = 1,
    *,
    make_peers: Callable[[], ScriptedPeers] = ScriptedPeers,
    replica_seed: int = 1,
) -> None:
    async def run() -> None:
        peers = make_peers()
        replica = peers.replica = Replica(
            group=GroupId("fleet"),
            name=A.name,
            bootstrap=(A.name, B.name, C.name),
            machine=ChainMachine(Observer()),
            store=store,
            sender=peers,
            clock=TrioClock(),
            random=Random(replica_seed),
            settings=GroupSettings(),
        )
        async with trio.open_nursery() as nursery:
            peers.nursery = nursery
            await nursery.start(replica.run)
            await scenario(replica, peers)
            nursery.cancel_scope.cancel()

    run_deterministic(run, seed)


class LeaderTest(unittest.TestCase):
    def test_counting_replicas_commits_no_entry_of_an_earlier_term(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            while not peers.appends:
                await trio.sleep(0.1)
            peers.acknowledge(2)
            await trio.sleep(0.01)
            self.assertEqual(replica.status().commit, 1)
            self.assertIsNone(replica.leadership)
            peers.acknowledge(3)
            await trio.sleep(0.01)
            self.assertEqual(replica.status().commit, 3)
            self.assertIsNotNone(replica.leadership)

        entries = make_entry(1, 1, OLD), make_entry(2, 2)
        run_scripted(make_store(*entries, term=3, commit=1), scenario)

    def test_promise_of_a_voter_counts_by_the_slowest_clock(self) -> None:
        """A voter of an earlier version does not tell, and counts as bound so far."""
        ratio = GroupSettings().rate_ratio
        for age in (timedelta(), timedelta(seconds=0.25)):

            async def scenario(
                replica: Replica, peers: ScriptedPeers, age: timedelta = age
            ) -> None:
                peers.unpromised = {B.name: age, C.name: age}
                while not peers.appends:
                    await trio.sleep(0.001)
                elected_at = trio.current_time()
                peers.acknowledge(3)
                await trio.sleep(0.01)
                leadership = replica.leadership
                assert leadership is not None and leadership.former_until is not None
                counted = elected_at - leadership.former_until.total_seconds()
                self.assertAlmostEqual(
                    counted, age.total_seconds() * ratio, delta=0.002
                )

            entries = make_entry(1, 1, OLD), make_entry(2, 2)
            run_scripted(make_store(*entries, term=3, commit=1), scenario)

    def test_a_deposed_leader_sends_nothing_in_the_new_term(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            while not peers.appends:
                await trio.sleep(0.1)
            term = peers.appends[-1].term
            peers.acknowledge(3)
            await trio.sleep(0.01)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replica.propose, b"late")
                for _ in range(seed % 5):
                    await trio.lowlevel.checkpoint()
                peers.acknowledge(3, term=term + 5)
            await trio.sleep(0.1)
            self.assertEqual({append.term for append in peers.appends}, {term})
            self.assertEqual(replica.status().term, term + 5)

        for seed in range(1, 41):
            entries = make_entry(1, 1, OLD), make_entry(2, 2)
            run_scripted(make_store(*entries, term=3, commit=1), scenario, seed)


class FollowerTest(unittest.TestCase):
    def test_a_vote_is_granted_once_a_term_and_not_to_a_lagging_log(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            for wait, source, index in ((0.1, B, 2), (1.7, B, 1), (0, B, 2), (0, C, 2)):
                await trio.sleep(wait)
                vote = Vote(
                    source=source,
                    target=A.incarnation,
                    term=Term(9),
                    last=LogPosition(LogIndex(index), Term(index)),
                )
                peers.answer(vote)
                await trio.sleep(0.01)
            self.assertEqual(peers.votes, [False, False, True, False])
            stored = store.load().unwrap().hard_state
            self.assertEqual((stored.term, stored.vote), (9, B))

        store = make_store(make_entry(1, 1, OLD), make_entry(2, 2), term=3, commit=1)
        run_scripted(store, scenario)

    def test_entries_beyond_the_matched_index_are_not_committed(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            peers.answer(make_append(previous=2, commit=4))
            await trio.sleep(0.01)
            self.assertEqual(replica.status().commit, 2)

        commands = [make_entry(index, 1) for index in range(2, 6)]
        store = make_store(make_entry(1, 1, OLD), *commands, term=1, commit=1)
        run_scripted(store, scenario)

    def test_a_restarted_replica_is_current_once_its_recovered_log_is_applied(
        self,
    ) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            for commit, is_current in ((3, False), (4, False), (5, True)):
                peers.answer(make_append(previous=commit, commit=commit))
                await trio.sleep(0.01)
                self.assertEqual(replica.applied, commit)
                self.assertEqual(replica.is_current, is_current)

        commands = [make_entry(index, 1) for index in range(2, 6)]
        store = make_store(make_entry(1, 1, OLD), *commands, term=1, commit=1)
        run_scripted(store, scenario)


class QuorumTest(unittest.TestCase):
    def test_an_uncommitted_change_needs_both_majorities(self) -> None:
        entries = make_entry(1, 1, OLD), make_entry(2, 1, NEW)
        store = make_store(*entries, term=1, commit=1)
        log = ReplicaLog(store, store.load().unwrap())
        for agreeing, reached in (({A, B}, True), ({A, C}, False), ({A, D}, False)):
            self.assertEqual(log.quorum.is_reached(agreeing.__contains__), reached)
        log.advance_commit(LogIndex(2))
        self.assertTrue(log.quorum.is_reached({A, D}.__contains__))
        self.assertFalse(log.quorum.is_reached({A, C}.__contains__))

    def test_an_overwritten_change_is_dropped(self) -> None:
        entries = make_entry(1, 1, OLD), make_entry(2, 1, NEW)
        store = make_store(*entries, term=1, commit=1)
        log = ReplicaLog(store, store.load().unwrap())
        log.append([make_entry(2, 2)])
        self.assertEqual(log.membership, OLD)
        self.assertEqual(log.recovered, 1)
