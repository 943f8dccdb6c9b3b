"""Which other entry is asked when the own backend servers are full."""

from __future__ import annotations

import random
from collections import deque
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.routing.ports import PeerEntry, PeerEntryPort
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import InstanceName, ServiceName


class PeerSelector:
    """Chooses among the other entries by what they last said of their room.

    Entries of the same failure domain go first. What was passed on lately is
    taken off the room that was heard of, and an entry that had no room is
    left alone for a while.
    """

    def __init__(
        self,
        peer_entries: PeerEntryPort,
        clock: Clock,
        rng: random.Random,
        settings: LiveSettings,
    ) -> None:
        self._peer_entries = peer_entries
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._passed_on: dict[InstanceName, deque[timedelta]] = {}
        self._paused: dict[InstanceName, timedelta] = {}

    def is_known(self, service: ServiceName) -> bool:
        """Say whether any other entry owns backend servers of ``service``."""
        return bool(self._peer_entries.list_peer_entries(service))

    def has_free_slot(self, service: ServiceName) -> bool:
        """Say whether another entry seems to have room."""
        return any(
            self._count_room(each) > 0
            for each in self._peer_entries.list_peer_entries(service)
        )

    def choose(self, service: ServiceName) -> InstanceName | None:
        """Return the entry to pass one request on to, or ``None``."""
        options = [
            each
            for each in self._peer_entries.list_peer_entries(service)
            if self._count_room(each) > 0
        ]
        near = [each for each in options if each.same_domain] or options
        if not near:
            return None
        weights = [self._count_room(each) for each in near]
        chosen = self._rng.choices(near, weights)[0].entry
        self._passed_on.setdefault(chosen, deque()).append(self._clock.monotonic())
        return chosen

    def pause(self, entry: InstanceName) -> None:
        """Leave ``entry`` alone for a while, as it had no room."""
        self._paused[entry] = (
            self._clock.monotonic() + self._settings.current.sibling_pause
        )

    def _count_room(self, candidate: PeerEntry) -> int:
        now = self._clock.monotonic()
        if now < self._paused.get(candidate.entry, now):
            return 0
        return candidate.free_slots - self._count_passed_on(candidate.entry, now)

    def _count_passed_on(self, entry: InstanceName, now: timedelta) -> int:
        times = self._passed_on.get(entry)
        if times is None:
            return 0
        while times and times[0] + self._settings.current.sibling_pause <= now:
            times.popleft()
        return len(times)
