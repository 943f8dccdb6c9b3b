"""Leader election: requesting and granting votes."""

from __future__ import annotations

import logging
from datetime import timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.messages import (
    PreVote,
    PreVoteAnswer,
    Release,
    Vote,
    VoteAnswer,
)
from rhubarbfield.replication.state import MICROSECOND, ReplicaState, Role
from rhubarbfield.storage import LogPosition, ReplicaId
from rhubarbfield.types import Term

logger = logging.getLogger(__name__)


class Election:
    """Takes part in leader elections for a replica.

    When its election timer expires, a voter first requests pre-votes. It enters
    a new term only with a quorum of them, so a replica that was cut off does
    not depose a healthy leader when it returns.

    Parameters
    ----------
    state
        The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._granted: set[ReplicaId] = set()
        self._promised_until = timedelta()
        self._candidate_until = timedelta()
        self._is_withdrawn = False

    async def run(self) -> None:
        """Start an election whenever the election timer expires, until cancelled."""
        state = self._state
        while True:
            # A leader's release brings election_due forward during the sleep, so
            # sleep for one heartbeat at most.
            wait = min(state.election_due - state.now, state.settings.heartbeat)
            await state.clock.sleep(max(wait, timedelta()))
            if state.now < state.election_due:
                continue
            if state.now < state.refuse_votes_until:
                state.election_due = state.refuse_votes_until
            elif state.is_leader or not state.is_voter or self._is_withdrawn:
                state.reset_election_timer()
            elif state.is_disk_full:
                # Another voter may have disk space, so let it request votes first.
                state.is_disk_full = False
                state.reset_election_timer()
            elif state.role is Role.CANDIDATE and state.now < self._candidate_until:
                self._send_vote_requests()
            else:
                self._request_pre_votes()

    def _request_pre_votes(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._granted = {state.id}
        self._schedule_retry()
        for voter in self._list_other_voters():
            request = PreVote(
                source=state.id,
                target=voter.incarnation,
                term=state.term,
                last=state.log.last,
            )
            state.send(voter.name, request)
        self._count_votes()

    def _schedule_retry(self) -> None:
        state = self._state
        wait = state.settings.heartbeat * state.random.uniform(1, 4)
        state.election_due = state.now + wait

    def _list_other_voters(self) -> list[ReplicaId]:
        voters = self._state.log.quorum.voters
        return [voter for voter in voters if voter != self._state.id]

    def _count_votes(self) -> None:
        state = self._state
        if not state.log.quorum.is_reached(self._granted.__contains__):
            return
        if state.role is Role.PRE_CANDIDATE:
            self._request_votes()
        else:
            check_invariant(
                state.role is Role.CANDIDATE, "only-candidates-win", state.role
            )
            former_until = min(self._promised_until, state.now)
            logger.info(
                "elected group=%s term=%d former=%s silence=%s unled=%s",
                state.group,
                state.term,
                state.latest_leader and state.latest_leader.name,
                state.find_leader_silence(),
                state.now - former_until,
            )
            state.become_leader(former_until)

    def _request_votes(self) -> None:
        state = self._state
        term = Term(state.term + 1)
        if not state.persist(state.log.save_vote(term, state.id)):
            state.step_down()
            return
        state.role = Role.CANDIDATE
        self._granted = {state.id}
        self._promised_until = state.refuse_votes_until
        # A voter whose disk is slow needs the time to save its vote.
        state.reset_election_timer()
        self._candidate_until = state.election_due
        self._send_vote_requests()
        self._count_votes()

    def _send_vote_requests(self) -> None:
        """Ask the voters that have not granted their vote; a request may be lost."""
        state = self._state
        self._schedule_retry()
        state.election_due = min(state.election_due, self._candidate_until)
        for voter in self._list_other_voters():
            if voter in self._granted:
                continue
            request = Vote(
                source=state.id,
                target=voter.incarnation,
                term=state.term,
                last=state.log.last,
            )
            state.send(voter.name, request)

    def on_pre_vote(self, message: PreVote) -> None:
        """Answer whether a vote would be granted, without granting it."""
        state = self._state
        granted = (
            not self._must_refuse_votes()
            and message.term >= state.term
            and self._is_up_to_date(message.last)
        )
        answer = PreVoteAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            asked_term=message.term,
            granted=granted,
            commit=state.log.commit_position,
        )
        state.send(message.source.name, answer)

    def on_pre_vote_answer(self, message: PreVoteAnswer) -> None:
        """Count a pre-vote."""
        state = self._state
        self._learn_commit(message.commit)
        if state.role is not Role.PRE_CANDIDATE or message.asked_term != state.term:
            return
        if message.term > state.term:
            state.observe_term(message.term)
        elif message.granted:
            self._granted.add(message.source)
            self._count_votes()

    def _learn_commit(self, position: LogPosition) -> None:
        """Mark entries as committed that another replica knows to be.

        The latest membership may be among them, and the former voters lost or unable
        to vote for this replica.
        """
        state = self._state
        is_kept = state.log.find_term(position.index) == position.term
        if is_kept and position.index > state.log.commit and not state.is_leader:
            state.log.advance_commit(position.index)
            state.commit_advanced.set()
            state.save_committed_change()

    def on_vote(self, message: Vote) -> None:
        """Grant or refuse a vote."""
        state = self._state
        granted = not self._must_refuse_votes() and self._grant(message)
        answer = VoteAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            asked_term=message.term,
            granted=granted,
            unpromised=self._measure_unpromised() if granted else 0,
        )
        state.send(message.source.name, answer)

    def _measure_unpromised(self) -> int:
        """Return the microseconds since the promise to an earlier leader ended."""
        state = self._state
        return max(0, (state.now - state.refuse_votes_until) // MICROSECOND)

    def on_vote_answer(self, message: VoteAnswer) -> None:
        """Count a vote."""
        state = self._state
        if state.role is not Role.CANDIDATE or message.asked_term != state.term:
            return
        if message.granted:
            self._granted.add(message.source)
            self._record_promise(message.unpromised * MICROSECOND)
            self._count_votes()
        elif message.term > state.term:
            state.observe_term(message.term)
        else:
            self._candidate_until = state.now
            self._schedule_retry()

    def _record_promise(self, unpromised: timedelta) -> None:
        """Record until when a voter may have been bound to an earlier leader.

        Each earlier leader was answered by one of the voters that grant their vote
        now, and none knows by which, so that the latest end of a promise counts.
        """
        state = self._state
        promised_until = state.now - unpromised * state.settings.rate_ratio
        self._promised_until = max(self._promised_until, promised_until)

    def on_release(self, message: Release) -> None:
        """Schedule an early election because the leader has released its lease."""
        state = self._state
        if message.term != state.term or message.source != state.leader:
            return
        state.leader = None
        state.refuse_votes_until = state.now
        wait = state.settings.heartbeat * state.random.random()
        if state.avoid_leadership:
            # Or it yields to one that released as it stops.
            wait += state.settings.heartbeat
        state.election_due = state.now + wait

    def withdraw(self) -> None:
        """Stand in no election any more; a leader goes on until it steps down."""
        self._is_withdrawn = True
        if self._state.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self._state.step_down()

    def release_leadership(self) -> None:
        """Step down and notify the other voters, so that one is elected at once."""
        state = self._state
        if not state.is_leader:
            return
        term = state.term
        state.step_down()
        state.refuse_votes_until = state.now
        logger.info("leadership-released group=%s term=%d", state.group, term)
        for voter in self._list_other_voters():
            release = Release(source=state.id, target=voter.incarnation, term=term)
            state.send(voter.name, release)

    def _must_refuse_votes(self) -> bool:
        state = self._state
        return state.is_leader or state.now < state.refuse_votes_until

    def _is_up_to_date(self, last: LogPosition) -> bool:
        own = self._state.log.last
        return (last.term, last.index) >= (own.term, own.index)

    def _grant(self, message: Vote) -> bool:
        state = self._state
        if message.term < state.term or not state.observe_term(message.term):
            return False
        if state.log.hard_state.vote not in {None, message.source}:
            return False
        if not self._is_up_to_date(message.last):
            return False
        is_saved = state.log.hard_state.vote == message.source  # asked again
        if not is_saved and not state.persist(
            state.log.save_vote(message.term, message.source)
        ):
            return False
        state.step_down()
        return True
