"""How a group is formed once, and how a replica finds it later."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from rhubarbfield.replication.membership import Membership
from rhubarbfield.replication.messages import MAX_CONTACTS, Probe, ProbeAnswer
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import Incarnation, InstanceName

logger = logging.getLogger(__name__)

BEATS_BETWEEN_PROBES = 2
BEATS_AN_ANSWER_LASTS = 5
VOTER_PATIENCE = 10


class EmptyPeer(msgspec.Struct, frozen=True):
    """A bootstrap voter that said it knows of no group."""

    replica_id: ReplicaId
    heard: timedelta


class Joining:
    """The part of a replica that looks for its group.

    A group is formed only by the first of the bootstrap voters, and only
    when every one of them is there and says that it never heard of a group.
    A replica that is no voter of the group it hears of stays a learner until
    the leader makes it one.

    Parameters
    ----------
    state
        The replica's state.
    bootstrap
        The voters that form the group.
    may_form_group
        Whether a group may be formed at all; if not, the replica only looks
        for one that exists.
    """

    def __init__(
        self,
        state: ReplicaState,
        bootstrap: tuple[InstanceName, ...],
        *,
        may_form_group: bool = True,
    ) -> None:
        self._state = state
        self._may_form = may_form_group
        self._bootstrap = tuple(sorted(bootstrap))
        self._contacts = set(bootstrap)
        self._invited: set[InstanceName] = set()
        self._empty: dict[InstanceName, EmptyPeer] = {}

    async def run(self) -> None:
        """Ask around whenever no leader is heard, until cancelled."""
        state = self._state
        pause = state.settings.heartbeat * BEATS_BETWEEN_PROBES
        while True:
            if self._is_astray():
                self._form_if_all_empty()
                self._probe_contacts()
            await state.clock.sleep(pause)

    def add_contacts(self, names: tuple[InstanceName, ...]) -> None:
        """Ask these instances too when the group has to be found."""
        self._contacts.update(names)

    def invite(self, name: InstanceName) -> None:
        """Ask one instance who it is, so that it can be taken as learner."""
        self._invited.add(name)
        self._probe(name)

    def is_invited(self, name: InstanceName) -> bool:
        """Say whether an instance was invited and has not answered yet."""
        return name in self._invited

    def on_probe(self, message: Probe) -> None:
        """Tell what is known of the group."""
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
        """Learn who else may know, and who is as empty."""
        known = [*message.contacts]
        if message.leader is not None:
            known.append(message.leader)
        for name in known:
            if len(self._contacts) < MAX_CONTACTS:
                self._contacts.add(name)
        name = message.source.name
        self._invited.discard(name)
        if message.empty:
            self._empty[name] = EmptyPeer(message.source, self._state.now)
        else:
            self._empty.pop(name, None)

    def _is_astray(self) -> bool:
        state = self._state
        patience = state.settings.election_min
        if state.is_voter:
            # All the voters it knows may have been replaced meanwhile.
            patience *= VOTER_PATIENCE
        is_lost = state.now - state.last_contact > patience
        return is_lost and not state.is_leader

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
        if not self._may_form or not is_first or not state.log.is_empty:
            return
        oldest = state.now - state.settings.heartbeat * BEATS_AN_ANSWER_LASTS
        voters = [state.id]
        for name in self._bootstrap[1:]:
            peer = self._empty.get(name)
            if peer is None or peer.heard < oldest:
                return
            voters.append(peer.replica_id)
        self._form(Membership(tuple(sorted(voters))))

    def _form(self, membership: Membership) -> None:
        state = self._state
        if state.persist(state.log.save_first(state.id, membership)):
            logger.info("formed group=%s voters=%s", state.group, membership.voters)
            state.election_due = state.now
