"""Membership changes, one at a time and through the log."""

from __future__ import annotations

import logging
from datetime import timedelta

from returns.result import Failure, Result, Success

from rhubarbfield.replication.failures import (
    ChangeError,
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    Unsafe,
)
from rhubarbfield.replication.leader import Leader
from rhubarbfield.replication.log import encode_membership
from rhubarbfield.replication.membership import MAX_VOTERS, Membership, Quorum
from rhubarbfield.replication.proposals import Proposal
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import EntryKind, ReplicaId
from rhubarbfield.types import InstanceName

logger = logging.getLogger(__name__)

MIN_VOTERS = 1
CATCH_UP_CHECKS_PER_HEARTBEAT = 4


class MembershipChanges:
    """Changes the voters of a group, at its leader.

    A change is one log entry. Committing it takes majorities of both the old
    and the new voters; until then elections need both as well.

    Parameters
    ----------
    state
        The leader's state.
    leader
        The leader of the group.
    """

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self._state = state
        self._leader = leader

    async def run(self) -> None:
        """Replace lost voters and promote learners until cancelled."""
        while True:
            await self._state.clock.sleep(self._state.settings.heartbeat)
            self._state.save_committed_change()
            self._replace_returned_voter()
            self._replace_unreachable_voter()
            self._promote_learner()

    async def replace_voter(
        self, old: InstanceName, new: InstanceName
    ) -> Result[None, ChangeError]:
        """Replace the voter called ``old`` by the learner called ``new``.

        A learner that lags gets one lease duration to catch up.
        """
        voter = self._find_voter(old)
        learner = self._find_learner(new)
        if voter is None:
            return Failure(Unsafe(f"{old} is not a voter"))
        if learner is None:
            return Failure(Unsafe(f"{new} is not a learner"))
        await self._wait_caught_up(learner)
        return await self._change(voter, learner)

    async def add_voter(self, name: InstanceName) -> Result[None, ChangeError]:
        """Promote a learner to an additional voter."""
        learner = self._find_learner(name)
        if learner is None:
            return Failure(Unsafe(f"{name} is not a learner"))
        await self._wait_caught_up(learner)
        return await self._change(None, learner)

    async def remove_member(self, name: InstanceName) -> Result[None, ChangeError]:
        """Remove a voter or a learner."""
        voter = self._find_voter(name)
        if voter is not None:
            return await self._change(voter, None)
        if self._leader.drop_learner(name):
            return Success(None)
        return Failure(Unsafe(f"{name} is not a member"))

    def _find_voter(self, name: InstanceName) -> ReplicaId | None:
        membership = self._state.log.membership
        return membership.find_voter(name) if membership is not None else None

    def _find_learner(self, name: InstanceName) -> ReplicaId | None:
        voters = self._state.log.quorum.voters
        learners = (peer for peer in self._leader.peers if peer not in voters)
        return next((peer for peer in learners if peer.name == name), None)

    async def _wait_caught_up(self, learner: ReplicaId) -> None:
        state = self._state
        deadline = state.now + state.settings.lease
        pause = state.settings.heartbeat / CATCH_UP_CHECKS_PER_HEARTBEAT
        while not self._leader.is_caught_up(learner) and state.now < deadline:
            await state.clock.sleep(pause)

    async def _change(
        self, old: ReplicaId | None, new: ReplicaId | None
    ) -> Result[None, ChangeError]:
        started = self._start_change(old, new)
        if isinstance(started, Failure):
            return started
        outcome = await started.unwrap().wait()
        if isinstance(outcome, Success):
            return Success(None)
        failure = outcome.failure()
        if isinstance(failure, Overloaded):
            return Failure(Unsafe(failure.reason))
        return Failure(failure)

    def _start_change(
        self, old: ReplicaId | None, new: ReplicaId | None
    ) -> Result[Proposal, ChangeError]:
        state = self._state
        before = state.log.membership
        if before is None or not self._leader.is_active:
            return Failure(NotLeader(None))
        after = before.replace(old, new)
        refusal = self._find_refusal(before, after, new)
        if refusal is not None:
            return Failure(refusal)
        deadline = state.now + state.settings.propose_timeout
        data = encode_membership(after)
        proposal = Proposal(EntryKind.MEMBERSHIP, data, deadline)
        if not self._leader.append([proposal]):
            if self._leader.is_active:
                state.step_down()
            may_be_stored = state.halted is not None
            return Failure(OutcomeUnknown() if may_be_stored else NotLeader(None))
        logger.info("voters-changed group=%s voters=%s", state.group, after.voters)
        return Success(proposal)

    def _find_refusal(
        self, before: Membership, after: Membership, new: ReplicaId | None
    ) -> ChangeError | None:
        leader = self._leader
        if leader.get_leadership() is None:
            return NoQuorum()
        rules = (
            (
                not self._state.log.has_uncommitted_change,
                "another change of voters is not committed yet",
            ),
            (
                MIN_VOTERS <= len(after.voters) <= MAX_VOTERS,
                f"a group has {MIN_VOTERS} to {MAX_VOTERS} voters",
            ),
            (
                new is None or leader.is_caught_up(new),
                "the new voter has not caught up with the log",
            ),
            (
                Quorum((before,)).is_reached(leader.is_in_contact),
                "too few of the present voters answer",
            ),
            (
                Quorum((after,)).is_reached(leader.is_caught_up),
                "too few of the new voters answer and have caught up",
            ),
        )
        broken = (reason for holds, reason in rules if not holds)
        return next((Unsafe(reason) for reason in broken), None)

    def _replace_returned_voter(self) -> None:
        """Replace the first voter that came back with another incarnation."""
        state = self._state
        membership = state.log.membership
        if membership is None:
            return
        for voter in membership.voters:
            learner = self._find_learner(voter.name)
            if learner is None or self._is_reachable(voter):
                continue
            result = self._start_change(voter, learner)
            if isinstance(result, Success):
                return
            logger.info(
                "swap-refused group=%s name=%s reason=%s",
                state.group,
                voter.name,
                result.failure(),
            )

    def _replace_unreachable_voter(self) -> None:
        """Replace a voter without contact for ``replace_after`` by a learner."""
        replace_after = self._state.settings.replace_after
        membership = self._state.log.membership
        if replace_after is None or membership is None:
            return
        learner = self._find_promotable_learner(membership)
        if learner is None:
            return
        for voter in membership.voters:
            if not self._is_reachable(voter, replace_after):
                self._start_change(voter, learner)
                return

    def _promote_learner(self) -> None:
        """Promote a learner while the group has fewer voters than wanted."""
        membership = self._state.log.membership
        wanted = self._state.settings.wanted_voters
        if membership is None or len(membership.voters) >= wanted:
            return
        learner = self._find_promotable_learner(membership)
        if learner is not None:
            self._start_change(None, learner)

    def _find_promotable_learner(self, membership: Membership) -> ReplicaId | None:
        """Return a caught-up learner whose name is not that of a voter."""
        names = {voter.name for voter in membership.voters}
        return next(
            (
                peer
                for peer in self._leader.peers
                if peer.name not in names and self._leader.is_caught_up(peer)
            ),
            None,
        )

    def _is_reachable(
        self, voter: ReplicaId, contact_timeout: timedelta | None = None
    ) -> bool:
        peer = self._leader.peers.get(voter)
        contact_timeout = (
            self._state.settings.lease if contact_timeout is None else contact_timeout
        )
        return voter == self._state.id or (
            peer is not None
            and self._state.now - peer.last_contact_at <= contact_timeout
        )
