"""State shared by the components of one replica."""

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
from rhubarbfield.replication.log import ReplicaLog
from rhubarbfield.replication.messages import ReplicationMessage
from rhubarbfield.replication.metrics import ELECTIONS_WON, LEADERSHIP_LOST
from rhubarbfield.replication.settings import GroupSettings
from rhubarbfield.replication.signal import Signal
from rhubarbfield.storage import DiskFull, ReplicaId, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, Term

logger = logging.getLogger(__name__)

# Earlier than any reading of a monotonic clock.
NEVER = timedelta(days=-365)
MICROSECOND = timedelta(microseconds=1)
AVOID_LEADERSHIP_WAIT_FACTOR = 2


class MessageSender(Protocol):
    """Sends messages from a replica to its peers."""

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        """Send a message without waiting.

        The message may be lost, delayed, duplicated or reordered.
        """


class RunBlocking(Protocol):
    """Runs a function that blocks on the disk."""

    async def __call__(
        self, function: Callable[[], Result[None, StoreFailure]], /
    ) -> Result[None, StoreFailure]:
        """Run ``function`` and return its result."""


async def run_inline(
    function: Callable[[], Result[None, StoreFailure]], /
) -> Result[None, StoreFailure]:
    """Call ``function`` in the event loop, which it blocks."""
    return function()


async def run_in_thread(
    function: Callable[[], Result[None, StoreFailure]], /
) -> Result[None, StoreFailure]:
    """Call ``function`` in a worker thread without blocking the event loop.

    It blocks the loop if the system has no room for a thread.
    """
    began = False

    def run() -> Result[None, StoreFailure]:
        nonlocal began
        began = True
        return function()

    try:
        return await trio.to_thread.run_sync(run)
    except RuntimeError:
        if began:
            raise
        return function()


class Role(Enum):
    """The role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Term, role, log and timers of one replica.

    Parameters
    ----------
    group
        The group that the replica belongs to.
    replica_id
        The replica's name and the incarnation of its store.
    log
        The replica's log.
    sender
        Sends messages to the peers.
    clock, random, settings, avoid_leadership, run_blocking
        The arguments of :class:`Replica` of the same names.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        replica_id: ReplicaId,
        log: ReplicaLog,
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
        self.latest_leader: ReplicaId | None = None
        self._latest_leader_term = Term(0)
        self.last_contact_at = NEVER
        # A voter may have answered a leader just before it restarted.
        self.refuse_votes_until = clock.monotonic() + settings.lease
        self.former_until: timedelta | None = None  # see Leadership
        self.election_due = timedelta()
        self.commit_advanced = Signal()
        self.elected = Signal()
        self.is_disk_full = False
        self.halted: StoreFailure | None = None
        self.halt_event = trio.Event()
        self.leading_scope = trio.CancelScope()
        self.reset_election_timer()

    @property
    def now(self) -> timedelta:
        """The current monotonic time."""
        return self.clock.monotonic()

    @property
    def term(self) -> Term:
        """The current term."""
        return self.log.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter according to its log."""
        return self.id in self.log.quorum.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term, with or without a lease."""
        return self.role is Role.LEADER

    def is_leader_in(self, term: Term) -> bool:
        """Return whether this replica is the leader in ``term``.

        A task of the leader may already be scheduled when the leader is
        deposed, so it must check this before it acts for the leader.
        """
        return self.is_leader and self.term == term

    def send(self, to: InstanceName, message: ReplicationMessage) -> None:
        """Send a message to a peer."""
        if self.halted is None:
            self._sender.send(to, self.group, message)

    def persist(self, result: Result[None, StoreFailure]) -> bool:
        """Return whether a log change succeeded; halt on errors except a full disk."""
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

    def save_committed_change(self) -> None:
        """Save that a membership change is committed, if that isn't durable yet.

        After a restart, elections would need the former voters too, of which one may
        be lost for good.
        """
        if self.log.has_unsaved_change:
            self.persist(self.log.save_commit())

    def halt(self, failure: StoreFailure) -> None:
        """Stop this replica permanently because its store failed."""
        logger.error("store-failed group=%s failure=%s", self.group, failure)
        self.halted = failure
        self.step_down()
        self.halt_event.set()

    def observe_term(self, term: Term) -> bool:
        """Enter ``term`` if it is higher; return False if it cannot be stored."""
        if term <= self.term:
            return True
        if not self.persist(self.log.save_vote(term, None)):
            return False
        self.step_down()
        self.leader = None
        return True

    def follow(self, leader: ReplicaId) -> None:
        """Accept ``leader`` as the leader of the current term."""
        self._record_leader(leader)
        self.role = Role.FOLLOWER
        self.last_contact_at = self.now
        self.reset_election_timer()

    def find_leader_silence(self) -> timedelta | None:
        """Return the time since the latest leader's last message.

        None if there was no leader, or if it was this replica.
        """
        if self.latest_leader in {None, self.id}:
            return None
        return self.now - self.last_contact_at

    def _record_leader(self, leader: ReplicaId) -> None:
        check_invariant(
            self._latest_leader_term < self.term or self.latest_leader == leader,
            "one-leader-a-term",
            (self.term, self.latest_leader, leader),
        )
        self._latest_leader_term = self.term
        self.latest_leader = leader
        self.leader = leader

    def refuse_votes_before(self, until: timedelta) -> None:
        """Refuse to vote for any replica but the current leader before ``until``."""
        self.refuse_votes_until = max(self.refuse_votes_until, until)

    def reset_election_timer(self) -> None:
        """Restart the election timer with a new random timeout."""
        low = self.settings.election_min / MICROSECOND
        high = self.settings.election_max / MICROSECOND
        wait = self.random.uniform(low, high) * MICROSECOND
        self.election_due = self.now + (
            wait * AVOID_LEADERSHIP_WAIT_FACTOR if self.avoid_leadership else wait
        )

    def become_leader(self, former_until: timedelta) -> None:
        """Become the leader of the current term.

        Parameters
        ----------
        former_until
            Time by which the leases of all earlier leaders had ended.
        """
        self.former_until = former_until
        self._record_leader(self.id)
        self.role = Role.LEADER
        ELECTIONS_WON.labels(self.group).inc()
        self.leading_scope = trio.CancelScope()
        self.elected.set()

    def step_down(self) -> None:
        """Become a follower and restart the election timer."""
        if self.is_leader:
            LEADERSHIP_LOST.labels(self.group).inc()
            self.leader = None
            self.leading_scope.cancel()
        self.role = Role.FOLLOWER
        self.reset_election_timer()
