"""The leader of a group during one term."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta

import trio
from returns.result import Failure, Result

from rhubarbfield.logs import log_event
from rhubarbfield.replication.applier import Applier
from rhubarbfield.replication.contacts import describe_quorum, find_unreachable
from rhubarbfield.replication.failures import NotLeader, OutcomeUnknown, ProposeError
from rhubarbfield.replication.grace import Grace
from rhubarbfield.replication.leadership import Leadership
from rhubarbfield.replication.messages import AppendAnswer, InstallSnapshotAnswer
from rhubarbfield.replication.metrics import LAG_ENTRIES, SYNC_SECONDS
from rhubarbfield.replication.peer import Peer
from rhubarbfield.replication.proposals import Proposal, Proposals
from rhubarbfield.replication.signal import Signal
from rhubarbfield.replication.state import NEVER, ReplicaState
from rhubarbfield.storage import Entry, EntryKind, ReplicaId, StoreFailure
from rhubarbfield.types import InstanceName, LogIndex, Term

logger = logging.getLogger(__name__)


class Leader:
    """Appends proposals, replicates them to the peers and keeps the lease.

    Parameters
    ----------
    state
        The state of the replica, which has just been elected.
    applier
        The replica's applier.
    proposals
        The replica's proposals.
    """

    def __init__(
        self, state: ReplicaState, applier: Applier, proposals: Proposals
    ) -> None:
        self._state = state
        self._applier = applier
        self._proposals = proposals
        self._term = state.term
        self._first_index = LogIndex(state.log.last.index + 1)
        self._written = Signal()
        self._scopes: dict[ReplicaId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self.peers: dict[ReplicaId, Peer] = {}

    async def run(self) -> None:
        """Act as the leader until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            no_operation = Proposal(EntryKind.NO_OPERATION, b"", timedelta.max)
            if not self.append([no_operation]):
                self._step_down()
                return
            nursery.start_soon(self._append_proposals)
            nursery.start_soon(self._sync_written)
            nursery.start_soon(self._run_heartbeats)

    @property
    def term(self) -> Term:
        """The term in which the replica was elected."""
        return self._term

    @property
    def is_active(self) -> bool:
        """Whether the replica is still the leader of this term."""
        return self._state.is_leader_in(self._term)

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.log.commit >= self._first_index

    def get_leadership(self) -> Leadership | None:
        """Return the leadership as of now, or None without a valid lease."""
        state = self._state
        if not self.is_active or self._applier.applied < self._first_index:
            return None
        until = self._find_lease_end()
        if state.now >= until:
            return None
        # The caller may rely on the lease until then, so this replica must not
        # vote for another one before.
        state.refuse_votes_before(until)
        return Leadership(state.term, until, state.former_until)

    def _has_lease(self) -> bool:
        return self.get_leadership() is not None

    def append(self, proposals: Sequence[Proposal]) -> bool:
        """Append proposals to the log durably, then start to replicate them."""
        return self._store_proposals(proposals, self._state.log.append)

    def write(self, proposals: Sequence[Proposal]) -> bool:
        """Append proposals, and replicate them while they become durable here."""
        if not self._store_proposals(proposals, self._state.log.write):
            return False
        self._written.set()
        return True

    def _store_proposals(
        self,
        proposals: Sequence[Proposal],
        store: Callable[[Sequence[Entry]], Result[None, StoreFailure]],
    ) -> bool:
        state = self._state
        if not self.is_active:
            return False
        first = state.log.last.index + 1
        entries = [
            Entry(LogIndex(index), state.term, proposal.kind, proposal.data)
            for index, proposal in enumerate(proposals, first)
        ]
        if not state.persist(store(entries)):
            return False
        for entry, proposal in zip(entries, proposals, strict=True):
            self._proposals.track(entry, proposal)
        self._start_peers()
        self._advance_commit()
        for peer in self.peers.values():
            peer.wake()
        return True

    def add_learner(self, learner: ReplicaId) -> bool:
        """Start to replicate to a replica that does not vote.

        Returns False if there are too many learners already.
        """
        if learner in self.peers:
            return True
        voters = self._state.log.quorum.voters
        learners = [peer for peer in self.peers if peer not in voters]
        for other in learners:
            if other.name == learner.name:
                self._stop_peer(other)
        if len(learners) >= self._state.settings.max_learners:
            return False
        self._start_peer(learner)
        return True

    def drop_learner(self, name: InstanceName) -> bool:
        """Stop replicating to the learner called ``name``; return if there was one."""
        voters = self._state.log.quorum.voters
        found = [peer for peer in self.peers if peer.name == name]
        dropped = [peer for peer in found if peer not in voters]
        for peer in dropped:
            self._stop_peer(peer)
        return bool(dropped)

    def is_in_contact(self, replica_id: ReplicaId) -> bool:
        """Return whether a replica answered within the last lease duration."""
        state = self._state
        if replica_id == state.id:
            return True
        peer = self.peers.get(replica_id)
        return peer is not None and (
            state.now - peer.last_contact_at <= state.settings.lease
        )

    def is_caught_up(self, replica_id: ReplicaId) -> bool:
        """Return whether a replica is in contact and has all committed entries."""
        if replica_id == self._state.id:
            return True
        peer = self.peers.get(replica_id)
        return (
            peer is not None
            and self.is_in_contact(replica_id)
            and peer.match_index >= self._state.log.commit
        )

    def on_append_answer(self, message: AppendAnswer) -> None:
        """Process a peer's answer to entries or a heartbeat."""
        peer = self.peers.get(message.source)
        if peer is not None and self._is_from_this_term(message):
            peer.on_append_answer(message)
            self._advance_commit()

    def on_install_answer(self, message: InstallSnapshotAnswer) -> None:
        """Process a peer's answer to a snapshot chunk."""
        peer = self.peers.get(message.source)
        if peer is not None and self._is_from_this_term(message):
            peer.on_install_answer(message)
            self._advance_commit()

    def _is_from_this_term(self, message: AppendAnswer | InstallSnapshotAnswer) -> bool:
        return self.is_active and message.asked_term == message.term == self._term

    async def _append_proposals(self) -> None:
        state = self._state
        next_append_at = state.now
        while True:
            await self._proposals.queued.wait()
            if next_append_at > state.now:
                await state.clock.sleep(next_append_at - state.now)
            next_append_at = state.now + state.settings.append_interval
            taken = self._proposals.take()
            if taken and not self.write(taken):
                self._fail(taken)
                self._step_down()

    async def _sync_written(self) -> None:
        """Sync written entries; entries written during a sync share the next one."""
        state = self._state
        while True:
            await self._written.wait()
            # Let the entries be sent to peers first: the sync may block this
            # thread.
            await trio.lowlevel.checkpoint()
            until = state.log.last.index
            started_at = state.now
            if not state.persist(await state.run_blocking(state.log.sync)):
                return
            SYNC_SECONDS.labels(state.group).observe(
                (state.now - started_at).total_seconds()
            )
            state.log.mark_synced(until)
            if self.is_active:
                self._advance_commit()

    def _step_down(self) -> None:
        if self.is_active:
            self._state.step_down()

    def _fail(self, proposals: Sequence[Proposal]) -> None:
        """Fail proposals that could not be stored."""
        failure: ProposeError = NotLeader(None)
        if self._state.halted is not None:
            # The entries may be found in the store when it is next opened.
            failure = OutcomeUnknown()
        for proposal in proposals:
            proposal.finish(Failure(failure))

    async def _run_heartbeats(self) -> None:
        state = self._state
        grace = Grace(state)
        while self.is_active:
            for peer in self.peers.values():
                peer.request_heartbeat()
            self._proposals.expire(state.now)
            self._step_down_if_removed()
            self._drop_unreachable_learners()
            LAG_ENTRIES.labels(state.group).set(self._find_lag())
            if (
                state.avoid_leadership
                and self.has_committed_in_term
                and self._find_successor()
            ):
                logger.info("leadership-yielded group=%s", state.group)
                state.step_down()
            # Align heartbeats to multiples of the interval, so that groups that
            # share links send them at the same time in one message.
            interval = state.settings.heartbeat
            grace.record_heartbeat(self._find_lease_end())
            await state.clock.sleep(interval - state.now % interval)
            if self.is_active and grace.is_over(self._find_lease_end()):
                fields = describe_quorum(state, self.peers)
                fields["stepped_down"] = not grace.extend_if_late()
                log_event(logger, logging.WARNING, "quorum-lost", **fields)
                if fields["stepped_down"]:
                    state.step_down()

    def _find_lag(self) -> int:
        """Return how many entries the voter furthest behind lacks."""
        log = self._state.log
        return max(log.last.index - self._get_match_index(v) for v in log.quorum.voters)

    def _find_successor(self) -> ReplicaId | None:
        """Return another voter that has all committed entries, if any."""
        others = [peer for peer in self.peers if peer in self._state.log.quorum.voters]
        return next((peer for peer in others if self.is_caught_up(peer)), None)

    def _step_down_if_removed(self) -> None:
        state = self._state
        is_applied = self._applier.applied >= state.log.commit
        if is_applied and not state.is_voter:
            self._step_down()

    def _find_lease_end(self) -> timedelta:
        state = self._state
        acknowledged = state.log.quorum.find_quorum_rank(self._get_acknowledged_sent_at)
        return acknowledged + state.settings.leader_lease

    def _get_acknowledged_sent_at(self, voter: ReplicaId) -> timedelta:
        if voter == self._state.id:
            return self._state.now
        peer = self.peers.get(voter)
        return NEVER if peer is None else peer.acknowledged_sent_at

    def _get_match_index(self, voter: ReplicaId) -> LogIndex:
        if voter == self._state.id:
            return self._state.log.synced
        peer = self.peers.get(voter)
        return LogIndex(0) if peer is None else peer.match_index

    def _advance_commit(self) -> None:
        state = self._state
        log = state.log
        agreed = log.quorum.find_quorum_rank(self._get_match_index)
        if agreed <= log.commit or log.find_term(agreed) != state.term:
            return
        former = log.quorum.voters if log.has_uncommitted_change else ()
        log.advance_commit(agreed)
        state.commit_advanced.set()
        if self.has_committed_in_term:
            self._applier.record_leader_commit(log.commit)
        if former and not log.has_uncommitted_change:
            self._finish_change(former)

    def _finish_change(self, former: Sequence[ReplicaId]) -> None:
        """Save a committed membership change and notify the peers at once."""
        state = self._state
        state.save_committed_change()
        voters = state.log.quorum.voters
        replaced = {voter.name for voter in former if voter not in voters}
        replaced &= {voter.name for voter in voters}
        for replica_id in list(self.peers):
            if replica_id not in voters and replica_id.name in replaced:
                self._stop_peer(replica_id)
        for peer in self.peers.values():
            peer.request_heartbeat()

    def _start_peers(self) -> None:
        for voter in self._state.log.quorum.voters:
            if voter != self._state.id and voter not in self.peers:
                self._start_peer(voter)

    def _start_peer(self, replica_id: ReplicaId) -> None:
        peer = Peer(self._state, replica_id, self._has_lease)
        self.peers[replica_id] = peer
        scope = self._scopes[replica_id] = trio.CancelScope()
        if self._nursery is not None:
            self._nursery.start_soon(self._run_peer, peer, scope)

    async def _run_peer(self, peer: Peer, scope: trio.CancelScope) -> None:
        with scope:
            await peer.run()

    def _stop_peer(self, replica_id: ReplicaId) -> None:
        del self.peers[replica_id]
        self._scopes.pop(replica_id).cancel()

    def _drop_unreachable_learners(self) -> None:
        for replica_id in find_unreachable(self._state, self.peers):
            self._stop_peer(replica_id)
