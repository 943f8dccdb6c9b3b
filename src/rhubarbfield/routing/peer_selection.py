"""Selection of the peer entry that a request is forwarded to."""

from __future__ import annotations

import random
from collections import deque
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.routing.ports import PeerEntry, PeerEntryPort
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import InstanceName, ServiceName


class PeerSelector:
    """Selects peer entries by the free slots that they last reported.

    Entries of the same failure domain are preferred. Recently forwarded
    requests are subtracted from the reported free slots, and an entry that
    had no free slot is not selected again for ``peer_entry_pause``.
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
        self._forwarded_at: dict[InstanceName, deque[timedelta]] = {}
        self._paused: dict[InstanceName, timedelta] = {}

    def is_known(self, service: ServiceName) -> bool:
        """Return whether any peer entry owns backend servers of ``service``."""
        return bool(self._peer_entries.list_peer_entries(service))

    def has_free_slot(self, service: ServiceName) -> bool:
        """Return whether a peer entry probably has a free slot."""
        return any(
            self._count_free_slots(each) > 0
            for each in self._peer_entries.list_peer_entries(service)
        )

    def choose(self, service: ServiceName) -> InstanceName | None:
        """Return the entry to forward one request to, or ``None``."""
        options = [
            each
            for each in self._peer_entries.list_peer_entries(service)
            if self._count_free_slots(each) > 0
        ]
        preferred = [each for each in options if each.same_domain] or options
        if not preferred:
            return None
        weights = [self._count_free_slots(each) for each in preferred]
        chosen = self._rng.choices(preferred, weights)[0].entry
        self._forwarded_at.setdefault(chosen, deque()).append(self._clock.monotonic())
        return chosen

    def pause(self, entry: InstanceName) -> None:
        """Stop selecting ``entry`` for ``peer_entry_pause``, as it had no free slot."""
        self._paused[entry] = (
            self._clock.monotonic() + self._settings.current.peer_entry_pause
        )

    def _count_free_slots(self, peer: PeerEntry) -> int:
        now = self._clock.monotonic()
        if now < self._paused.get(peer.entry, now):
            return 0
        return peer.free_slots - self._count_recently_forwarded(peer.entry, now)

    def _count_recently_forwarded(self, entry: InstanceName, now: timedelta) -> int:
        times = self._forwarded_at.get(entry)
        if times is None:
            return 0
        while times and times[0] + self._settings.current.peer_entry_pause <= now:
            times.popleft()
        return len(times)
