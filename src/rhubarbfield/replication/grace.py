"""The time that a leader without a valid lease has to get one."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.replication.state import ReplicaState

MAX_LATE_HEARTBEATS = 2


class Grace:
    """Decides when a leader whose lease has lapsed steps down.

    The voters get one lease duration to answer a leader after its election, and
    again after it was late itself: its lease then lapsed because it didn't ask them,
    and unless they elect another leader they still follow it.

    Parameters
    ----------
    state
        The leader's state; it has just been elected.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._until = state.now + state.settings.lease
        self._asked_at = state.now
        self._had_lease = False

    def record_heartbeat(self, lease_end: timedelta) -> None:
        """Record that the voters are asked now, and whether the lease is valid."""
        self._asked_at = self._state.now
        self._had_lease = self._state.now <= lease_end

    def is_over(self, lease_end: timedelta) -> bool:
        """Return whether neither the lease nor the time to get one lasts."""
        return self._state.now > max(self._until, lease_end)

    def extend_if_late(self) -> bool:
        """Give the voters more time if the leader was late; return whether it was.

        Only once until the lease is valid again.
        """
        state = self._state
        lateness_limit = state.settings.heartbeat * MAX_LATE_HEARTBEATS
        if not self._had_lease or state.now - self._asked_at <= lateness_limit:
            return False
        self._until = state.now + state.settings.lease
        return True
