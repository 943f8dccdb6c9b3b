"""Load balancing among backend servers, with slow start and outlier ejection."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.routing.ledger import SlotLedger
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId

MIN_RAMP_UP = 0.1
MIN_LATENCY_FACTOR = 0.5
MAX_LATENCY_FACTOR = 4.0
TIE_BREAK_SCALE = 1e-6
MAX_EJECTION_FACTOR = 12


class _Health(msgspec.Struct):
    first_seen: timedelta
    latency: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: timedelta | None = None


class ServerChoice:
    """Selects backend servers by load, latency and recent failures.

    Parameters
    ----------
    clock
        Source of monotonic time.
    rng
        Breaks ties.
    settings
        Limits of the request path.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, settings: LiveSettings
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._health: dict[BackendServerId, _Health] = {}

    def choose(
        self,
        ledgers: Iterable[SlotLedger],
        avoid: Collection[BackendServerId] = (),
    ) -> SlotLedger | None:
        """Return the best backend server with a free slot, or ``None``.

        Parameters
        ----------
        ledgers
            All owned backend servers of the service.
        avoid
            Backend servers that failed the request before; they are used only
            if no other has a free slot.
        """
        now = self._clock.monotonic()
        free = self._list_free(ledgers, now)
        untried = [each for each in free if each.grant.server not in avoid]
        options = untried or free
        if not options:
            return None
        mean = self._compute_mean_latency(options)
        return min(options, key=lambda each: self._score(each, mean, now))

    def has_free_slot(self, ledgers: Iterable[SlotLedger]) -> bool:
        """Return whether :meth:`choose` would find a backend server."""
        return bool(self._list_free(ledgers, self._clock.monotonic()))

    def record_success(self, server: BackendServerId, latency: timedelta) -> None:
        """Record an answer and its latency."""
        health = self._get_health(server)
        seconds = latency.total_seconds()
        weight = self._settings.current.latency_weight
        before = health.latency
        health.latency = (
            seconds if before is None else before + weight * (seconds - before)
        )
        health.failures = 0
        health.ejections = 0
        health.ejected_until = None

    def record_failure(self, server: BackendServerId) -> None:
        """Record a failure; too many in a row eject the backend server."""
        health = self._get_health(server)
        health.failures += 1
        if health.failures < self._settings.current.ejection_failures:
            return
        health.failures = 0
        health.ejections = min(health.ejections + 1, MAX_EJECTION_FACTOR)
        duration = self._settings.current.ejection_time * health.ejections
        health.ejected_until = self._clock.monotonic() + duration

    def forget(self, server: BackendServerId) -> None:
        """Discard the recorded health of ``server``."""
        self._health.pop(server, None)

    def _get_health(self, server: BackendServerId) -> _Health:
        health = self._health.get(server)
        if health is None:
            health = _Health(first_seen=self._clock.monotonic())
            self._health[server] = health
        return health

    def _list_free(
        self, ledgers: Iterable[SlotLedger], now: timedelta
    ) -> list[SlotLedger]:
        serving = [each for each in ledgers if each.is_serving(now)]
        allowed = self._drop_ejected(serving, now)
        return [each for each in allowed if each.count_free_slots(now) > 0]

    def _drop_ejected(
        self, ledgers: list[SlotLedger], now: timedelta
    ) -> list[SlotLedger]:
        ejected = [each for each in ledgers if self._is_ejected(each, now)]
        if not ejected:
            return ledgers
        max_ejected = min(
            int(len(ledgers) * self._settings.current.ejection_cap), len(ledgers) - 1
        )
        ejected.sort(key=self._get_ejection_end, reverse=True)
        dropped = {each.grant.server for each in ejected[:max_ejected]}
        return [each for each in ledgers if each.grant.server not in dropped]

    def _is_ejected(self, ledger: SlotLedger, now: timedelta) -> bool:
        until = self._get_health(ledger.grant.server).ejected_until
        return until is not None and now < until

    def _get_ejection_end(self, ledger: SlotLedger) -> timedelta:
        return self._get_health(ledger.grant.server).ejected_until or timedelta()

    def _compute_mean_latency(self, ledgers: list[SlotLedger]) -> float:
        known = [
            health.latency
            for each in ledgers
            if (health := self._get_health(each.grant.server)).latency is not None
        ]
        return math.fsum(known) / len(known) if known else 0.0

    def _score(self, ledger: SlotLedger, mean: float, now: timedelta) -> float:
        health = self._get_health(ledger.grant.server)
        load = (ledger.count_used(now) + 1) / max(1, ledger.limit)
        ramp_up = self._compute_ramp_up(health, now)
        latency_factor = 1.0
        if health.latency is not None and mean > 0:
            latency_factor = math.sqrt(health.latency / mean)
        latency_factor = min(
            MAX_LATENCY_FACTOR, max(MIN_LATENCY_FACTOR, latency_factor)
        )
        return load * latency_factor / ramp_up + self._rng.random() * TIE_BREAK_SCALE

    def _compute_ramp_up(self, health: _Health, now: timedelta) -> float:
        window = self._settings.current.slow_start
        if window <= timedelta():
            return 1.0
        age = (now - health.first_seen) / window
        return min(1.0, max(MIN_RAMP_UP, age))
