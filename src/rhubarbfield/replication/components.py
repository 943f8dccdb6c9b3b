"""The components of a running replica and the dispatch of messages to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from rhubarbfield.replication.applier import Applier, StateMachine
from rhubarbfield.replication.changes import MembershipChanges
from rhubarbfield.replication.election import Election
from rhubarbfield.replication.follower import Follower
from rhubarbfield.replication.joining import Joining
from rhubarbfield.replication.leader import Leader
from rhubarbfield.replication.leadership import Leadership
from rhubarbfield.replication.messages import (
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
    PreVote,
    PreVoteAnswer,
    Probe,
    ProbeAnswer,
    Release,
    ReplicationMessage,
    Vote,
    VoteAnswer,
)
from rhubarbfield.replication.proposals import Proposals
from rhubarbfield.replication.settling import Settling
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.types import InstanceName


class ReplicaComponents:
    """The components of one running replica.

    Parameters
    ----------
    state
        The state that the components share.
    machine
        The state machine that committed commands are applied to.
    proposals
        The replica's unfinished proposals.
    bootstrap
        The initial voters of the group.

    Attributes
    ----------
    leader, changes
        Set only while this replica leads.
    """

    def __init__(
        self,
        state: ReplicaState,
        machine: StateMachine,
        proposals: Proposals,
        bootstrap: tuple[InstanceName, ...],
    ) -> None:
        self.state = state
        self.proposals = proposals
        self.applier = Applier(state, machine, proposals)
        self.follower = Follower(state, self.applier)
        self.election = Election(state)
        self.joining = Joining(state, bootstrap)
        self.leader: Leader | None = None
        self.changes: MembershipChanges | None = None
        self._settling: Settling | None = None
        self._handlers: dict[type[ReplicationMessage], Callable[[Any], None]] = {
            PreVote: self._on_pre_vote,
            PreVoteAnswer: self.election.on_pre_vote_answer,
            Vote: self.election.on_vote,
            VoteAnswer: self.election.on_vote_answer,
            Append: self.follower.on_append,
            InstallSnapshot: self.follower.on_install_snapshot,
            AppendAnswer: self._on_append_answer,
            InstallSnapshotAnswer: self._on_install_answer,
            Release: self.election.on_release,
            Probe: self._on_probe,
            ProbeAnswer: self._on_probe_answer,
        }

    def get_leadership(self) -> Leadership | None:
        """Return the leadership as of now, or None if commands can't be accepted."""
        leadership = self.leader.get_leadership() if self.leader is not None else None
        if leadership is None or self._settling is None:
            return None
        return leadership if self._settling.is_settled() else None

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.applier.run)
            nursery.start_soon(self.election.run)
            nursery.start_soon(self.joining.run)
            nursery.start_soon(self._run_leader)

    def handle(self, message: ReplicationMessage) -> None:
        """Dispatch a message to the component that handles its type."""
        state = self.state
        is_probe = isinstance(message, Probe)
        is_addressed_here = is_probe or message.target == state.id.incarnation
        if is_addressed_here and state.halted is None:
            self._handlers[type(message)](message)

    async def _run_leader(self) -> None:
        state = self.state
        while True:
            await state.elected.wait()
            if not state.is_leader:
                continue
            leader = self.leader = Leader(state, self.applier, self.proposals)
            changes = self.changes = MembershipChanges(state, leader)
            self._settling = Settling(state, leader, self.joining.list_answered)
            try:
                with state.leading_scope:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(leader.run)
                        nursery.start_soon(changes.run)
            finally:
                self.leader = None
                self.changes = None
                self._settling = None
                self.proposals.fail_all(state.leader.name if state.leader else None)

    def _on_append_answer(self, message: AppendAnswer) -> None:
        self.state.observe_term(message.term)
        if self.leader is not None:
            self.leader.on_append_answer(message)

    def _on_install_answer(self, message: InstallSnapshotAnswer) -> None:
        self.state.observe_term(message.term)
        if self.leader is not None:
            self.leader.on_install_answer(message)

    def _on_pre_vote(self, message: PreVote) -> None:
        # The sender may be a former voter that has not yet learnt of its
        # replacement; it rejoins as a learner.
        self._add_learner(message)
        self.election.on_pre_vote(message)

    def _on_probe(self, message: Probe) -> None:
        self._add_learner(message)
        self.joining.on_probe(message)

    def _on_probe_answer(self, message: ProbeAnswer) -> None:
        if self.joining.is_invited(message.source.name):
            self._add_learner(message)
        self.joining.on_probe_answer(message)

    def _add_learner(self, message: PreVote | Probe | ProbeAnswer) -> None:
        if self.leader is not None and self.leader.is_active:
            self.leader.add_learner(message.source)
