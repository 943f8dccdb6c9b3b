"""Finding a replica's group."""

from __future__ import annotations

from rhubarbfield.replication.founding import Founding
from rhubarbfield.replication.messages import MAX_CONTACTS, Probe, ProbeAnswer
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import Incarnation, InstanceName

PROBE_INTERVAL_HEARTBEATS = 2
VOTER_SEARCH_DELAY_FACTOR = 10


class Joining:
    """Finds a replica's group, or founds it with the other initial voters.

    A replica that is not a voter of the group it finds stays a learner until
    the leader makes it a voter.

    Parameters
    ----------
    state
        The replica's state.
    bootstrap
        The initial voters of the group.
    """

    def __init__(
        self, state: ReplicaState, bootstrap: tuple[InstanceName, ...]
    ) -> None:
        self._state = state
        self._founding = Founding(state, bootstrap)
        self._bootstrap = tuple(sorted({*bootstrap, *self._founding.voters}))
        self._contacts = set(self._bootstrap)
        self._invited: set[InstanceName] = set()

    async def run(self) -> None:
        """Probe for the group while there is no contact with a leader."""
        state = self._state
        pause = state.settings.heartbeat * PROBE_INTERVAL_HEARTBEATS
        while True:
            if self._should_search():
                self._probe_contacts(self._founding.ask())
            else:
                self._founding.restart_wait()
            await state.clock.sleep(pause)

    def list_answered(self) -> list[ReplicaId]:
        """Return the founding voters that answered a probe lately."""
        return self._founding.list_answered()

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
        """Answer with the leader, the contacts of the group and a pledge."""
        self._founding.on_probe(message)
        state = self._state
        may_found = state.log.may_found
        leader = state.leader.name if state.leader is not None else None
        answer = ProbeAnswer(
            source=state.id,
            target=message.source.incarnation,
            term=state.term,
            empty=state.log.is_empty,
            leader=leader,
            contacts=self._list_contacts(),
            may_found=may_found,
            pledge=state.log.hard_state.vote if may_found else None,
            asked_term=message.term,
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
        self._invited.discard(message.source.name)
        self._founding.on_probe_answer(message)

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

    def _probe_contacts(self, founders: tuple[InstanceName, ...]) -> None:
        for name in sorted(self._contacts.union(self._list_contacts())):
            if name != self._state.id.name:
                self._probe(name, founders)

    def _probe(
        self, name: InstanceName, founders: tuple[InstanceName, ...] = ()
    ) -> None:
        state = self._state
        probe = Probe(
            source=state.id,
            target=Incarnation(""),
            term=state.term,
            empty=state.log.is_empty,
            founders=founders,
        )
        state.send(name, probe)
