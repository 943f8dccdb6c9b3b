"""Settling the voters of a new group before its first command."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rhubarbfield.replication.leader import Leader
from rhubarbfield.replication.state import ReplicaState
from rhubarbfield.storage import EntryKind, ReplicaId
from rhubarbfield.types import LogIndex

MAX_ENTRIES_BEFORE_COMMANDS = 16
MAX_WAIT_LEASES = 3


class Settling:
    """Holds commands back until the voters of a new group can all vote.

    A group may be founded with a voter in an incarnation that no longer exists: the
    voter ended before it could save it, and answers from an empty log. If another voter
    lost its storage before that one is replaced, the group would have no quorum. So the
    leader accepts no command before, as long as the voter is there to replace it.

    Parameters
    ----------
    state
        The leader's state.
    leader
        The leader, which has just been elected.
    list_answered
        Returns the replicas that answered a probe lately.
    """

    def __init__(
        self,
        state: ReplicaState,
        leader: Leader,
        list_answered: Callable[[], Iterable[ReplicaId]],
    ) -> None:
        self._state = state
        self._leader = leader
        self._list_answered = list_answered
        self._until = state.now + state.settings.lease * MAX_WAIT_LEASES
        self._is_settled = self._may_have_commands()

    def is_settled(self) -> bool:
        """Return whether commands are accepted; once true, it stays."""
        if not self._is_settled:
            is_over = self._state.now >= self._until
            is_changing = self._state.log.has_uncommitted_change
            self._is_settled = is_over or not (is_changing or self._has_returned())
        return self._is_settled

    def _has_returned(self) -> bool:
        """Return whether a voter's name answers in another incarnation."""
        membership = self._state.log.membership
        if membership is None:
            return False
        present = {*self._list_answered(), *self._leader.peers}
        names = {each.name for each in present if each not in membership.voters}
        return any(voter.name in names for voter in membership.voters)

    def _may_have_commands(self) -> bool:
        log = self._state.log
        last = log.last.index
        if log.base.index or last > MAX_ENTRIES_BEFORE_COMMANDS:
            return True
        entries = map(log.get_entry, map(LogIndex, range(1, last + 1)))
        return any(entry.kind is EntryKind.COMMAND for entry in entries)
