"""What the parts of one replica share."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from random import Random
from typing import Protocol

import trio
from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.replication.log import ReplicatedLog
from rhubarbfield.replication.messages import ReplicationMessage
from rhubarbfield.replication.metrics import ELECTIONS_WON, LEADERSHIP_LOST
from rhubarbfield.replication.settings import GroupSettings
from rhubarbfield.replication.signal import Signal
from rhubarbfield.storage import DiskFull, ReplicaId, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, Term

logger = logging.getLogger(__name__)

LONG_AGO = timedelta(days=-365)
MICROSECOND = timedelta(microseconds=1)
RELUCTANCE = 2


class MessageSender(Protocol):
    """The way from a replica to its peers."""

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        """Send without waiting.

        The message may be lost, delayed, repeated or overtaken.
        """


class RunBlocking(Protocol):
    """Calls a function that waits for the disk."""

    async def __call__(
        self, function: Callable[[], Result[None, StoreFailure]], /
    ) -> Result[None, StoreFailure]:
        """Return what ``function`` returns."""


async def run_inline(
    function: Callable[[], Result[None, StoreFailure]], /
) -> Result[None, StoreFailure]:
    """Call ``function`` here, where all else waits for it."""
    return function()


async def run_in_thread(
    function: Callable[[], Result[None, StoreFailure]], /
) -> Result[None, StoreFailure]:
    """Call ``function`` in a thread, while all else goes on."""
    return await trio.to_thread.run_sync(function)


class Role(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Term, role, log and timers of one replica.

    Parameters
    ----------
    group
        The group it belongs to.
    replica_id
        Its name and the incarnation of its store.
    log
        Its log.
    sender
        The way to the peers.
    clock, random, settings, avoid_leadership, run_blocking
        As the replica was given them.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        replica_id: ReplicaId,
        log: ReplicatedLog,
        sender: MessageSender,
        clock: Clock,
        random: Random,
        settings: GroupSettings,
        avoid_leadership: bool = False,
        run_blocking: RunBlocking | None = None,
    ) -> None:
        self.group = group
        self.run_blocking = run_blocking or run_inline
        self.id = replica_id
        self.log = log
        self.clock = clock
        self.random = random
        self.settings = settings
        self.avoid_leadership = avoid_leadership
        self._sender = sender
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self._latest_leader: ReplicaId | None = None
        self._latest_leader_term = Term(0)
        self.last_contact = LONG_AGO
        # A voter that restarts may have answered a leader just before.
        self.refuse_votes_until = clock.monotonic() + settings.lease
        self.election_due = timedelta()
        self.commit_advanced = Signal()
        self.elected = Signal()
        self.is_disk_full = False
        self.halted: StoreFailure | None = None
        self.halt_event = trio.Event()
        self.leading_scope = trio.CancelScope()
        self.postpone_election()

    @property
    def now(self) -> timedelta:
        """The monotonic time."""
        return self.clock.monotonic()

    @property
    def term(self) -> Term:
        """The current term."""
        return self.log.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica may vote, as far as its log tells."""
        return self.id in self.log.quorum.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term; says nothing of its lease."""
        return self.role is Role.LEADER

    def leads(self, term: Term) -> bool:
        """Say whether this replica leads, and leads in ``term``.

        A task of a leader may be running already when the leader is deposed;
        it has to ask before it does anything in the leader's name.
        """
        return self.is_leader and self.term == term

    def send(self, to: InstanceName, message: ReplicationMessage) -> None:
        """Send a message to a peer."""
        if self.halted is None:
            self._sender.send(to, self.group, message)

    def persist(self, result: Result[None, StoreFailure]) -> bool:
        """Return whether a change of the log was made; halt if it never can."""
        if not isinstance(result, Failure):
            self.is_disk_full = False
            return True
        failure = result.failure()
        if not isinstance(failure, DiskFull):
            self.halt(failure)
        elif not self.is_disk_full:
            self.is_disk_full = True
            logger.warning("disk-full group=%s replica=%s", self.group, self.id.name)
        return False

    def halt(self, failure: StoreFailure) -> None:
        """Stop for good: the store can no longer be trusted."""
        logger.error("store-failed group=%s failure=%s", self.group, failure)
        self.halted = failure
        self.step_down()
        self.halt_event.set()

    def observe_term(self, term: Term) -> bool:
        """Enter a higher term, if it is one; return whether all went well."""
        if term <= self.term:
            return True
        if not self.persist(self.log.save_vote(term, None)):
            return False
        self.step_down()
        self.leader = None
        return True

    def follow(self, leader: ReplicaId) -> None:
        """Take ``leader`` as the leader of the current term."""
        self._note_leader(leader)
        self.role = Role.FOLLOWER
        self.last_contact = self.now
        self.postpone_election()

    def _note_leader(self, leader: ReplicaId) -> None:
        check_invariant(
            self._latest_leader_term < self.term or self._latest_leader == leader,
            "one-leader-a-term",
            (self.term, self._latest_leader, leader),
        )
        self._latest_leader_term = self.term
        self._latest_leader = leader
        self.leader = leader

    def promise_leader(self, until: timedelta) -> None:
        """Vote for no other than the current leader before ``until``."""
        self.refuse_votes_until = max(self.refuse_votes_until, until)

    def postpone_election(self) -> None:
        """Wait anew for a random time before asking for votes."""
        low = self.settings.election_min / MICROSECOND
        high = self.settings.election_max / MICROSECOND
        wait = self.random.uniform(low, high) * MICROSECOND
        self.election_due = self.now + (
            wait * RELUCTANCE if self.avoid_leadership else wait
        )

    def lead(self) -> None:
        """Become the leader of the current term."""
        self._note_leader(self.id)
        self.role = Role.LEADER
        ELECTIONS_WON.labels(self.group).inc()
        self.leading_scope = trio.CancelScope()
        self.elected.set()

    def step_down(self) -> None:
        """Become a follower that knows no leader."""
        if self.is_leader:
            LEADERSHIP_LOST.labels(self.group).inc()
            self.leader = None
            self.leading_scope.cancel()
        self.role = Role.FOLLOWER
        self.postpone_election()
