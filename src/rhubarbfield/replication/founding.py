"""Founding a group: which of its initial voters writes the first entry."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from rhubarbfield.logs import log_event
from rhubarbfield.replication.groupwait import GroupWait
from rhubarbfield.replication.membership import Membership
from rhubarbfield.replication.messages import Probe, ProbeAnswer
from rhubarbfield.replication.opening import FIRST_INCARNATION
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import Incarnation, InstanceName, Term

logger = logging.getLogger(__name__)

ANSWER_VALID_HEARTBEATS = 5
ABSENT = Incarnation("")  # no replica has it, so it never votes


class PeerAnswer(msgspec.Struct, frozen=True):
    """The latest answer of a peer to a probe."""

    replica_id: ReplicaId
    is_empty: bool
    may_found: bool
    term: Term
    received_at: timedelta


class Founding:
    """Takes part in founding a replica's group.

    A replica that holds the names of the founding voters in its hard state may
    take part while its log has no entry. A pledge to a founder is a vote in the
    founder's term. The founder that a majority of the names has pledged to in
    one term, itself included, writes the first entry, in that term: the voters
    with their incarnations. One that has not answered is named by the incarnation of
    a first start, where the founder has that too, and votes once it appears; or else
    by :data:`ABSENT`, and is replaced. So founding is an election whose voters
    are known by name, and the terms and logs decide between two founders.

    A voter that ended before it could save the right has an empty log like one
    that lost its storage. If a majority has not pledged, but every voter that
    has the right has, and all others answer that their logs are empty, they are
    counted: a group with a committed entry would have lost a majority.

    The first voter by name asks for pledges once all others have answered that
    their logs are empty; the others, and the first if some don't answer, ask
    one after another, ``replace_after`` apart.

    Parameters
    ----------
    state
        The replica's state.
    bootstrap
        The initial voters, for a replica that may not take part.
    """

    def __init__(
        self, state: ReplicaState, bootstrap: tuple[InstanceName, ...]
    ) -> None:
        self._state = state
        self.voters = state.log.hard_state.founders or tuple(sorted(set(bootstrap)))
        self._answers: dict[InstanceName, PeerAnswer] = {}
        self._waiting_since = state.now
        self._asked_term: Term | None = None
        self._pledges: dict[InstanceName, ReplicaId] = {}
        self._lacking: dict[InstanceName, ReplicaId] = {}
        self._wait = GroupWait(state.group)

    def restart_wait(self) -> None:
        """Let the others go first again, as there is contact with a leader."""
        self._waiting_since = self._state.now

    def list_answered(self) -> list[ReplicaId]:
        """Return the founding voters that answered lately, as they are now."""
        return [answer.replica_id for answer in self._list_recent()]

    def ask(self) -> tuple[InstanceName, ...]:
        """Return the founding voters if pledges are to be asked for now, or ``()``."""
        log = self._state.log
        if not log.last.index:
            self._report_wait()
        if not log.may_found or not self._is_turn() or not self._open_term():
            return ()
        self._form_if_pledged()
        return self.voters if log.may_found else ()

    def on_probe(self, message: Probe) -> None:
        """Pledge durably to a founder that asks, unless pledged in its term."""
        state = self._state
        name = message.source.name
        asks_here = message.founders == self.voters and name in self.voters
        if not asks_here or not state.log.may_found or name == state.id.name:
            return
        # Without a term, no leader can have been answered.
        if state.term and state.now < state.refuse_votes_until:
            return
        if message.term < state.term or not state.observe_term(message.term):
            return
        if state.log.hard_state.vote is None and state.persist(
            state.log.save_vote(message.term, message.source)
        ):
            self._waiting_since = state.now

    def on_probe_answer(self, message: ProbeAnswer) -> None:
        """Record what a founding voter answered, and form the group if pledged."""
        state = self._state
        name = message.source.name
        if name not in self.voters:
            return
        self._answers[name] = PeerAnswer(
            message.source, message.empty, message.may_found, message.term, state.now
        )
        self._lacking.pop(name, None)
        if message.may_found:
            if message.pledge == state.id and message.term == self._asked_term:
                self._pledges[name] = message.source
        elif message.empty and message.asked_term == self._asked_term:
            self._lacking[name] = message.source
        self._form_if_pledged()

    def _is_turn(self) -> bool:
        state = self._state
        recent = self._list_recent()
        if not all(answer.is_empty for answer in recent):
            return False
        able = [answer.replica_id.name for answer in recent if answer.may_found]
        if any(name < state.id.name for name in able):
            return False
        have_all_answered = len(recent) == len(self.voters) - 1
        has_pledged = state.log.hard_state.vote not in {None, state.id}
        if have_all_answered and not has_pledged:
            return True
        patience = state.settings.replace_after
        rank = self.voters.index(state.id.name)
        if patience is None or state.now - self._waiting_since < patience * (rank + 1):
            return False
        return have_all_answered or self._is_majority(len(able) + 1)

    def _open_term(self) -> bool:
        """Pledge to itself in a term that no other has been seen in."""
        state = self._state
        terms = [answer.term for answer in self._list_recent()]
        highest = max([state.term, *terms])
        if state.log.hard_state.vote != state.id or state.term < highest:
            term = Term(highest + 1)
            if not state.persist(state.log.save_vote(term, state.id)):
                return False
            state.leader = None
        if self._asked_term != state.term:
            self._asked_term = state.term
            self._pledges = {}
            self._lacking = {}
        return True

    def _form_if_pledged(self) -> None:
        state = self._state
        log = state.log
        is_asking = state.term == self._asked_term and log.hard_state.vote == state.id
        if not log.may_found or not is_asking:
            return
        is_majority = self._is_majority(len(self._pledges) + 1)
        recent = {answer.replica_id.name for answer in self._list_recent()}
        known = {state.id.name, *self._pledges, *(recent & self._lacking.keys())}
        if not is_majority and len(known) < len(self.voters):
            return
        membership = Membership(tuple(sorted(map(self._identify, self.voters))))
        if state.persist(log.save_first_entry(membership)):
            log_event(
                logger,
                logging.INFO,
                "group-formed",
                group=state.group,
                term=state.term,
                voters=" ".join(self.voters),
                pledged=" ".join(sorted((state.id.name, *self._pledges))),
            )
            state.election_due = state.now

    def _identify(self, name: InstanceName) -> ReplicaId:
        """Return the voter called ``name`` in the incarnation that may found."""
        if name == self._state.id.name:
            return self._state.id
        answer = self._answers.get(name)
        if name in self._pledges:
            return self._pledges[name]
        if not self._is_majority(len(self._pledges) + 1):
            return self._lacking[name]
        if answer is not None and answer.may_found:
            return answer.replica_id
        is_known = self._state.id.incarnation == FIRST_INCARNATION
        return ReplicaId(name, FIRST_INCARNATION if is_known else ABSENT)

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    def _list_recent(self) -> list[PeerAnswer]:
        """Return the answers that are not too old."""
        state = self._state
        oldest = state.now - state.settings.heartbeat * ANSWER_VALID_HEARTBEATS
        answers = self._answers.values()
        return [answer for answer in answers if answer.received_at >= oldest]

    def _report_wait(self) -> None:
        state = self._state
        recent = self._list_recent()
        heard = {answer.replica_id.name for answer in recent}
        vote = state.log.hard_state.vote
        self._wait.report(
            state.now,
            may_form=state.log.may_found,
            answered=[each.replica_id.name for each in recent if each.is_empty],
            silent=set(self.voters) - heard - {state.id.name},
            non_empty=[each.replica_id.name for each in recent if not each.is_empty],
            term=state.term,
            pledge=None if vote is None else vote.name,
        )
