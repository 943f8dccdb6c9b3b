"""Forming a group once and finding an existing group."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from rhubarbfield.replication.groupwait import GroupWait
from rhubarbfield.replication.membership import Membership
from rhubarbfield.replication.messages import MAX_CONTACTS, Probe, ProbeAnswer
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import Incarnation, InstanceName

logger = logging.getLogger(__name__)

PROBE_INTERVAL_HEARTBEATS = 2
ANSWER_VALID_HEARTBEATS = 5
VOTER_SEARCH_DELAY_FACTOR = 10


class PeerAnswer(msgspec.Struct, frozen=True):
    """The latest answer of a peer to a probe."""

    replica_id: ReplicaId
    is_empty: bool
    received_at: timedelta


class Joining:
    """Forms a replica's group or finds an existing one.

    A group is formed only by the first of the bootstrap voters, and only
    after all the others answered recently that their logs are empty. A
    replica that is not a voter of the group it finds stays a learner until
    the leader makes it a voter.

    Parameters
    ----------
    state
        The replica's state.
    bootstrap
        The initial voters of the group.
    may_form_group
        Whether a group may be formed; if False, the replica only searches for
        an existing one.
    """

    def __init__(
        self,
        state: ReplicaState,
        bootstrap: tuple[InstanceName, ...],
        *,
        may_form_group: bool = True,
    ) -> None:
        self._state = state
        self._may_form_group = may_form_group
        self._bootstrap = tuple(sorted(bootstrap))
        self._contacts = set(bootstrap)
        self._invited: set[InstanceName] = set()
        self._answers: dict[InstanceName, PeerAnswer] = {}
        self._wait = GroupWait(state.group)

    async def run(self) -> None:
        """Probe for the group while there is no contact with a leader."""
        state = self._state
        pause = state.settings.heartbeat * PROBE_INTERVAL_HEARTBEATS
        while True:
            if self._should_search():
                self._form_if_all_empty()
                self._report_wait()
                self._probe_contacts()
            await state.clock.sleep(pause)

    def add_contacts(self, names: tuple[InstanceName, ...]) -> None:
        """Add instances to probe when searching for the group."""
        self._contacts.update(names)

    def invite(self, name: InstanceName) -> None:
        """Probe an instance so that its answer makes it a learner."""
        self._invited.add(name)
        self._probe(name)

    def is_invited(self, name: InstanceName) -> bool:
        """Return whether an instance was invited and has not answered yet."""
        return name in self._invited

    def on_probe(self, message: Probe) -> None:
        """Answer with the leader and the contacts of the group."""
        state = self._state
        leader = state.leader.name if state.leader is not None else None
        answer = ProbeAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            empty=state.log.is_empty,
            leader=leader,
            contacts=self._list_contacts(),
        )
        state.send(message.source.name, answer)

    def on_probe_answer(self, message: ProbeAnswer) -> None:
        """Record new contacts and whether the sender's log is empty."""
        known = [*message.contacts]
        if message.leader is not None:
            known.append(message.leader)
        for name in known:
            if len(self._contacts) < MAX_CONTACTS:
                self._contacts.add(name)
        name = message.source.name
        self._invited.discard(name)
        self._answers[name] = PeerAnswer(message.source, message.empty, self._state.now)

    def _should_search(self) -> bool:
        state = self._state
        search_delay = state.settings.election_min
        if state.is_voter:
            # All voters that this one knows may have been replaced meanwhile.
            search_delay *= VOTER_SEARCH_DELAY_FACTOR
        is_overdue = state.now - state.last_contact_at > search_delay
        return is_overdue and not state.is_leader

    def _list_contacts(self) -> tuple[InstanceName, ...]:
        voters = {voter.name for voter in self._state.log.quorum.voters}
        return tuple(sorted(voters | set(self._bootstrap)))[:MAX_CONTACTS]

    def _probe_contacts(self) -> None:
        for name in sorted(self._contacts.union(self._list_contacts())):
            if name != self._state.id.name:
                self._probe(name)

    def _probe(self, name: InstanceName) -> None:
        state = self._state
        probe = Probe(
            source=state.id,
            target=Incarnation(""),
            term=state.term,
            empty=state.log.is_empty,
        )
        state.send(name, probe)

    def _form_if_all_empty(self) -> None:
        state = self._state
        is_first = self._bootstrap[0] == state.id.name
        if not self._may_form_group or not is_first or not state.log.is_empty:
            return
        voters = [state.id]
        for name in self._bootstrap[1:]:
            answer = self._find_recent(name)
            if answer is None or not answer.is_empty:
                return
            voters.append(answer.replica_id)
        self._form(Membership(tuple(sorted(voters))))

    def _find_recent(self, name: InstanceName) -> PeerAnswer | None:
        """Return the answer of a peer unless it is too old."""
        age = self._state.settings.heartbeat * ANSWER_VALID_HEARTBEATS
        answer = self._answers.get(name)
        if answer is None or self._state.now - answer.received_at > age:
            return None
        return answer

    def _report_wait(self) -> None:
        state = self._state
        if state.log.last.index:
            return
        others = [name for name in self._bootstrap if name != state.id.name]
        recent = {name: self._find_recent(name) for name in others}
        found = [answer for answer in recent.values() if answer is not None]
        self._wait.report(
            state.now,
            may_form=self._may_form_group,
            answered=[each.replica_id.name for each in found if each.is_empty],
            silent=[name for name in others if recent[name] is None],
            non_empty=[each.replica_id.name for each in found if not each.is_empty],
        )

    def _form(self, membership: Membership) -> None:
        state = self._state
        if state.persist(state.log.save_first_entry(state.id, membership)):
            logger.info("formed group=%s voters=%s", state.group, membership.voters)
            state.election_due = state.now
