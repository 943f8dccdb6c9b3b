"""One replica of a group, assembled from its components."""

from __future__ import annotations

import logging
import time
from random import Random

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import UsageError
from rhubarbfield.replication.applier import StateMachine
from rhubarbfield.replication.changes import MembershipChanges
from rhubarbfield.replication.components import ReplicaComponents
from rhubarbfield.replication.failures import (
    ChangeError,
    NoQuorum,
    NotLeader,
    ProposeError,
    Unsafe,
)
from rhubarbfield.replication.lateopening import may_open_later, open_later
from rhubarbfield.replication.leader import Leader
from rhubarbfield.replication.leadership import Leadership
from rhubarbfield.replication.log import ReplicaLog
from rhubarbfield.replication.measuredstore import MeasuredStore
from rhubarbfield.replication.messages import ReplicationMessage
from rhubarbfield.replication.opening import open_log
from rhubarbfield.replication.proposals import Proposals
from rhubarbfield.replication.settings import GroupSettings
from rhubarbfield.replication.state import MessageSender, ReplicaState, RunBlocking
from rhubarbfield.replication.status import ReplicaStatus, describe_status
from rhubarbfield.storage import LogStore, ReplicaId, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, LogIndex, Term

logger = logging.getLogger(__name__)

INBOX_MESSAGES = 1024
READ_CHECKS_PER_HEARTBEAT = 4


class Replica:
    """One member of a group that keeps a replicated log.

    Parameters
    ----------
    group
        The group.
    name
        The instance that this replica runs on.
    bootstrap
        The instances whose replicas are the initial voters. Any other replica
        asks these to be added as a learner.
    machine
        The state machine that committed commands are applied to.
    store
        The storage of the log.
    sender
        Sends messages to the other replicas.
    clock
        A clock whose monotonic time advances while the process is stopped.
    random
        A source that must differ between processes and runs, since the
        incarnation of an empty store is drawn from it.
    settings
        The settings of the group, the same on all its replicas.
    avoid_leadership
        Whether to lead only if no other voter can, and only until another one
        has caught up, as a witness outside the failure domain does.
    may_form_group
        Whether a new group may be formed. An initial voter with an empty log
        then saves the right to take part in it, and keeps it in later starts.
        False for any start but the first one: with an empty store the replica
        searches for its group.
    is_first_start
        Whether ``may_form_group`` is true at the first start alone, so that a replica
        whose storage was lost never has it.
    run_blocking
        Runs the blocking syncs of a leader's disk; by default they block the
        event loop.

    Raises
    ------
    UsageError
        If ``bootstrap`` is empty.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        name: InstanceName,
        bootstrap: tuple[InstanceName, ...],
        machine: StateMachine,
        store: LogStore,
        sender: MessageSender,
        clock: Clock,
        random: Random,
        settings: GroupSettings,
        avoid_leadership: bool = False,
        may_form_group: bool = True,
        is_first_start: bool = False,
        run_blocking: RunBlocking | None = None,
    ) -> None:
        if not bootstrap:
            raise UsageError(f"group {group} has no bootstrap instances")
        self.group = group
        self.name = name
        self._bootstrap = bootstrap
        self._machine = machine
        # The clock of the event loop can't be read in the thread of a sync.
        self._store = MeasuredStore(store, group, time.monotonic)
        self._sender = sender
        self._clock = clock
        self._random = random
        self._settings = settings
        self._avoid_leadership = avoid_leadership
        takes_part = may_form_group and name in bootstrap
        self._founders = tuple(sorted(set(bootstrap))) if takes_part else ()
        self._is_first_start = is_first_start
        self._run_blocking = run_blocking
        self._proposals = Proposals(settings.max_pending, settings.max_pending_bytes)
        self._components: ReplicaComponents | None = None
        self._opened = trio.Event()
        self._store_note: StoreFailure | None = None
        self._halted: StoreFailure | None = None
        self._inbox_sender, self._inbox = trio.open_memory_channel[ReplicationMessage](
            INBOX_MESSAGES
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> Result[None, StoreFailure]:
        """Take part in the group until cancelled.

        Returns
        -------
        Result[None, StoreFailure]
            A failure once the store has failed. The process should then be
            restarted.
        """
        opened = self._open_log()
        if may_open_later(opened):
            task_status.started()
            opened = await open_later(self._open_log, opened, self.group, self._clock)
            task_status = trio.TASK_STATUS_IGNORED
        if isinstance(opened, Failure):
            self._halted = opened.failure()
            task_status.started()
            return opened
        components = self._components = self._build_components(opened.unwrap())
        self._opened.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, components)
                nursery.start_soon(components.run)
                task_status.started()
                await components.state.halt_event.wait()
                nursery.cancel_scope.cancel()
        finally:
            self._halted = components.state.halted
            self._components = None
            self._proposals.fail_all(None)
        failure = self._halted
        return Success(None) if failure is None else Failure(failure)

    def deliver(self, sender: InstanceName, message: ReplicationMessage) -> None:
        """Queue a message received from ``sender`` without waiting.

        A message that claims another source is dropped, as is one that
        arrives while the inbox is full.
        """
        if message.source.name != sender or sender == self.name:
            return
        try:
            self._inbox_sender.send_nowait(message)
        except trio.WouldBlock:
            logger.warning("inbox-full group=%s replica=%s", self.group, self.name)

    async def propose(
        self, command: bytes, term: Term | None = None
    ) -> Result[bytes, ProposeError]:
        """Append a command and wait until it is applied here.

        Parameters
        ----------
        command
            The command.
        term
            The only term in which it may be appended, by default any.

        Returns
        -------
        Result[bytes, ProposeError]
            The state machine's reply, or the failure. After
            :class:`OutcomeUnknown` the command may still be applied; after any
            other failure it will not be.
        """
        leader = self._leader
        if self._components is None or leader is None or not leader.is_active:
            return Failure(NotLeader(self.leader_hint))
        if term not in {None, leader.term}:
            return Failure(NotLeader(self.leader_hint))
        if self.leadership is None:
            return Failure(NoQuorum())
        deadline = self._clock.monotonic() + self._settings.propose_timeout
        appended = self._components.state.log.uncommitted_bytes
        return await self._proposals.enqueue(command, deadline, appended).wait()

    @property
    def leadership(self) -> Leadership | None:
        """The leadership that this replica holds at this moment, or None.

        Check it again just before each effect, since the process may have been
        stopped after the previous check.
        """
        return self._components.get_leadership() if self._components else None

    @property
    def led_term(self) -> Term | None:
        """The term that this replica leads, whether or not its lease is valid.

        A lease that lapses may be regained in the same term; :attr:`leadership` is
        None in between.
        """
        leader = self._leader
        return leader.term if leader is not None and leader.is_active else None

    async def confirm_read(self) -> Result[LogIndex, NotLeader]:
        """Return an index that covers every command acknowledged before the call.

        Wait for it with :meth:`wait_applied` before reading.
        """
        pause = self._settings.heartbeat / READ_CHECKS_PER_HEARTBEAT
        deadline = self._clock.monotonic() + self._settings.lease
        while self._leader is not None and self._clock.monotonic() < deadline:
            if self.leadership is not None and self._components is not None:
                return Success(self._components.state.log.commit)
            await self._clock.sleep(pause)
        return Failure(NotLeader(self.leader_hint))

    @property
    def applied(self) -> LogIndex:
        """The last index applied to the state machine."""
        return self._components.applier.applied if self._components else LogIndex(0)

    @property
    def leader_hint(self) -> InstanceName | None:
        """The instance that leads, as far as this replica knows."""
        components = self._components
        if components is None or components.state.leader is None:
            return None
        return components.state.leader.name

    @property
    def is_current(self) -> bool:
        """Whether this replica has caught up since it started.

        It has then applied all that any replica had applied before.
        """
        return self._components is not None and self._components.applier.is_current

    async def wait_current(self) -> None:
        """Wait until this replica has caught up since it started."""
        await self._opened.wait()
        if self._components is not None:
            await self._components.applier.became_current.wait()

    async def wait_applied(self, index: LogIndex) -> None:
        """Wait until the entry at ``index`` is applied here."""
        await self._opened.wait()
        if self._components is not None:
            await self._components.applier.wait_applied(index)

    def withdraw(self) -> None:
        """Stand in no election any more, as the process is about to end."""
        if self._components is not None:
            self._components.election.withdraw()

    def release_leadership(self) -> None:
        """Release leadership before a planned stop, so another voter leads at once."""
        if self._components is not None:
            self._components.election.release_leadership()

    def add_contacts(self, names: tuple[InstanceName, ...]) -> None:
        """Add instances to probe when searching for the group."""
        self._bootstrap = tuple(dict.fromkeys((*self._bootstrap, *names)))
        if self._components is not None:
            self._components.joining.add_contacts(names)

    async def replace_voter(
        self, old: InstanceName, new: InstanceName
    ) -> Result[None, ChangeError]:
        """Replace the voter ``old`` by the learner ``new``, at the leader."""
        if self._changes is None:
            return Failure(NotLeader(self.leader_hint))
        return await self._changes.replace_voter(old, new)

    async def add_voter(self, name: InstanceName) -> Result[None, ChangeError]:
        """Promote a learner to an additional voter, at the leader."""
        if self._changes is None:
            return Failure(NotLeader(self.leader_hint))
        return await self._changes.add_voter(name)

    async def add_learner(self, name: InstanceName) -> Result[None, ChangeError]:
        """Invite an instance to become a learner, at the leader.

        Instances that know a contact of the group ask on their own.
        """
        if self._leader is None or self._components is None:
            return Failure(NotLeader(self.leader_hint))
        self._components.joining.invite(name)
        await self._clock.sleep(self._settings.heartbeat)
        leader = self._leader
        if leader is None or all(peer.name != name for peer in leader.peers):
            return Failure(Unsafe(f"{name} does not answer, or there is no room"))
        return Success(None)

    async def remove_member(self, name: InstanceName) -> Result[None, ChangeError]:
        """Remove a voter or a learner, at the leader."""
        if self._changes is None:
            return Failure(NotLeader(self.leader_hint))
        return await self._changes.remove_member(name)

    def status(self) -> ReplicaStatus:
        """Return the current status."""
        if self._components is None:
            return ReplicaStatus(
                self.group, halted=self._halted, store_note=self._store_note
            )
        return describe_status(self._components, self._store_note)

    @property
    def _leader(self) -> Leader | None:
        return self._components.leader if self._components is not None else None

    @property
    def _changes(self) -> MembershipChanges | None:
        return self._components.changes if self._components is not None else None

    async def _receive(self, components: ReplicaComponents) -> None:
        async for message in self._inbox:
            components.handle(message)

    def _open_log(self) -> Result[ReplicaLog, StoreFailure]:
        outcome = open_log(
            self._store,
            self.group,
            self._random,
            self._founders,
            # An earlier attempt may have discarded the contents of the store.
            is_first_start=self._is_first_start and self._store_note is None,
        )
        self._store_note = outcome.damage or self._store_note
        return outcome.log

    def _build_components(self, log: ReplicaLog) -> ReplicaComponents:
        state = ReplicaState(
            group=self.group,
            replica_id=ReplicaId(self.name, log.hard_state.incarnation),
            log=log,
            sender=self._sender,
            clock=self._clock,
            random=self._random,
            settings=self._settings,
            avoid_leadership=self._avoid_leadership,
            run_blocking=self._run_blocking,
        )
        return ReplicaComponents(
            state,
            self._machine,
            self._proposals,
            self._bootstrap,
        )
