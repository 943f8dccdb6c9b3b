"""Retry budget, tenant quotas and estimates of queueing time."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import Tenant


class RetryBudget:
    """Limits retries to a fraction of successful requests.

    Parameters
    ----------
    settings
        Current settings, with ``retry_ratio`` and ``retry_burst``.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._balance = settings.current.retry_burst

    def deposit(self) -> None:
        """Credit one success to the balance."""
        settings = self._settings.current
        saved = self._balance + settings.retry_ratio
        self._balance = min(settings.retry_burst, saved)

    def withdraw(self) -> bool:
        """Take one retry from the balance; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class TenantQuotas:
    """Limits the queued and running requests of each tenant at this entry.

    Parameters
    ----------
    settings
        Current settings, with the limit of each tenant.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._in_flight: Counter[Tenant] = Counter()

    def acquire(self, tenant: Tenant) -> bool:
        """Count one more request if the limit allows it; return whether it does."""
        if (
            self._in_flight[tenant]
            >= self._settings.current.get_tenant(tenant).in_flight
        ):
            return False
        self._in_flight[tenant] += 1
        return True

    def release(self, tenant: Tenant) -> None:
        """Stop counting one request."""
        check_invariant(self._in_flight[tenant] > 0, "quota-counted", tenant)
        self._in_flight[tenant] -= 1
        if not self._in_flight[tenant]:
            del self._in_flight[tenant]


class DrainRate:
    """Estimate of how fast slots of a service become free.

    The rate is computed from the mean latency with all slots busy, so that an
    idle service doesn't appear slow.

    Parameters
    ----------
    settings
        Current settings, with ``latency_weight``.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._mean: timedelta | None = None

    @property
    def mean_latency(self) -> timedelta | None:
        """The mean latency of answers; ``None`` before the first answer."""
        return self._mean

    def record_latency(self, latency: timedelta) -> None:
        """Include the latency of one answer in the mean."""
        if self._mean is None:
            self._mean = latency
        else:
            weight = self._settings.current.latency_weight
            self._mean += (latency - self._mean) * weight

    def estimate_wait(self, ahead: int, slots: int) -> timedelta:
        """Return the time until a request behind ``ahead`` others gets a slot.

        Zero before the first answer and if there are no slots.
        """
        if self._mean is None or slots <= 0:
            return timedelta()
        return self._mean * (ahead + 1) / slots
