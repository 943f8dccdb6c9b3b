"""Tests of leaders and voters that are late, but not as late as an election."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.replication import GroupSettings, Replica
from rhubarbfield.replication.messages import Vote, VoteAnswer
from rhubarbfield.types import GroupId, InstanceName
from tests.replication.group import Group
from tests.replication.test_leader import (
    OLD,
    B,
    ReplicationMessage,
    ScriptedPeers,
    make_entry,
    make_store,
    run_scripted,
)
from tests.replication.test_replica import run_group

SEEDS = range(1, 11)
ANSWER_SECONDS = 0.1
AWAKE_SECONDS = 0.01
FIRST_TERM = 3
LED_SECONDS = 5.0
VOTE_SECONDS = 1.5  # shorter than the lease


class LateLeaderTest(unittest.TestCase):
    def test_a_leader_that_was_late_leads_on_if_no_other_was_elected(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await trio.sleep(LED_SECONDS)
            replica = leader.replica
            assert replica is not None
            term = replica.status().term
            settings = group.settings
            late = (settings.leader_lease + settings.election_min) / 2
            late -= settings.heartbeat / 2
            leader.clock.freeze()
            await trio.sleep(late.total_seconds())
            leader.clock.thaw()
            await trio.sleep(ANSWER_SECONDS)
            self.assertIsNotNone(replica.leadership)
            await trio.sleep(settings.election_max.total_seconds())
            self.assertIsNotNone(replica.leadership)
            self.assertEqual(replica.status().term, term)

        for seed in SEEDS:
            run_group(scenario, seed=seed)

    def test_a_late_leader_steps_down_if_nobody_answers(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await trio.sleep(LED_SECONDS)
            replica = leader.replica
            assert replica is not None
            settings = group.settings
            leader.clock.freeze()
            group.network.isolate(leader.name)
            await trio.sleep(settings.lease.total_seconds())
            leader.clock.thaw()
            allowed = settings.lease + 2 * settings.heartbeat
            await trio.sleep(allowed.total_seconds())
            self.assertIsNone(replica.led_term)

        for seed in SEEDS:
            run_group(scenario, seed=seed)

    def test_a_leader_that_is_always_late_steps_down_if_nobody_answers(self) -> None:
        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            await trio.sleep(LED_SECONDS)
            replica = leader.replica
            assert replica is not None
            settings = group.settings
            group.network.isolate(leader.name)
            late = 3 * settings.heartbeat
            for _ in range(2 + 2 * settings.lease // late):
                leader.clock.freeze()
                await trio.sleep(late.total_seconds())
                leader.clock.thaw()
                await trio.sleep(AWAKE_SECONDS)
            self.assertIsNone(replica.led_term)

        for seed in SEEDS:
            run_group(scenario, seed=seed)


class SlowVoters(ScriptedPeers):
    """Peers that take almost a lease to save a vote."""

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        if isinstance(message, Vote):
            assert self.nursery is not None
            self.nursery.start_soon(self.grant_late, to, group, message)
        else:
            super().send(to, group, message)

    async def grant_late(self, to: InstanceName, group: GroupId, message: Vote) -> None:
        await trio.sleep(VOTE_SECONDS)
        super().send(to, group, message)


class RefusingVoters(ScriptedPeers):
    """One peer that refuses each vote, and one that doesn't answer."""

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        if not isinstance(message, Vote):
            super().send(to, group, message)
        elif to == B.name:
            self.answer(
                VoteAnswer(
                    source=B,
                    target=message.source.incarnation,
                    term=message.term,
                    asked_term=message.term,
                    granted=False,
                )
            )


class LosingVoters(ScriptedPeers):
    """Peers that the first request for a vote does not reach."""

    def __init__(self) -> None:
        super().__init__()
        self.lost: set[InstanceName] = set()

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        if isinstance(message, Vote) and to not in self.lost:
            self.lost.add(to)
        else:
            super().send(to, group, message)


class SlowVoterTest(unittest.TestCase):
    def test_a_lost_request_for_a_vote_does_not_cost_an_election_timeout(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            while replica.status().term == FIRST_TERM:
                await trio.sleep(0.01)
            stood_at = trio.current_time()
            while not peers.appends:
                await trio.sleep(0.01)
            lease = GroupSettings().lease.total_seconds()
            self.assertLess(trio.current_time() - stood_at, lease + ANSWER_SECONDS)
            self.assertEqual(peers.appends[0].term, FIRST_TERM + 1)

        for seed in SEEDS:
            entries = make_entry(1, 1, OLD), make_entry(2, 2)
            store = make_store(*entries, term=FIRST_TERM, commit=1)
            run_scripted(store, scenario, make_peers=LosingVoters, replica_seed=seed)

    def test_a_candidate_waits_for_voters_that_save_their_votes_slowly(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            while not peers.appends:
                await trio.sleep(0.1)
            self.assertEqual(peers.appends[0].term, FIRST_TERM + 1)

        for seed in SEEDS:
            entries = make_entry(1, 1, OLD), make_entry(2, 2)
            store = make_store(*entries, term=FIRST_TERM, commit=1)
            run_scripted(store, scenario, make_peers=SlowVoters, replica_seed=seed)

    def test_a_candidate_that_is_refused_stands_again_within_the_lease(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            while replica.status().term == FIRST_TERM:
                await trio.sleep(0.01)
            stood_at = trio.current_time()
            while replica.status().term == FIRST_TERM + 1:
                await trio.sleep(0.01)
            lease = GroupSettings().lease.total_seconds()
            self.assertLess(trio.current_time() - stood_at, lease + ANSWER_SECONDS)

        for seed in SEEDS:
            entries = make_entry(1, 1, OLD), make_entry(2, 2)
            store = make_store(*entries, term=FIRST_TERM, commit=1)
            run_scripted(store, scenario, make_peers=RefusingVoters, replica_seed=seed)
