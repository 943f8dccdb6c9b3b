"""Bounds on what may be spent: retries, and requests of one tenant."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import Tenant


class RetryBudget:
    """Retries as a fraction of successes.

    Parameters
    ----------
    settings
        Say how many retries a success earns, and how many can be saved up.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._balance = settings.current.retry_burst

    def deposit(self) -> None:
        """Earn a fraction of a retry by a success."""
        settings = self._settings.current
        saved = self._balance + settings.retry_ratio
        self._balance = min(settings.retry_burst, saved)

    def withdraw(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class TenantQuotas:
    """Requests of each tenant that wait or run at this entry.

    Parameters
    ----------
    settings
        Holds the limit of each tenant.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._in_flight: Counter[Tenant] = Counter()

    def acquire(self, tenant: Tenant) -> bool:
        """Count one request in; return whether the limit allows it."""
        if (
            self._in_flight[tenant]
            >= self._settings.current.get_tenant(tenant).in_flight
        ):
            return False
        self._in_flight[tenant] += 1
        return True

    def release(self, tenant: Tenant) -> None:
        """Count one request out."""
        check_invariant(self._in_flight[tenant] > 0, "quota-counted", tenant)
        self._in_flight[tenant] -= 1
        if not self._in_flight[tenant]:
            del self._in_flight[tenant]


class DrainRate:
    """How fast the slots of a service come free, from the mean latency.

    The rate is that of a service with all slots busy, so that an idle one
    doesn't look slow.

    Parameters
    ----------
    settings
        Say how much one answer counts in the mean.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._mean: timedelta | None = None

    @property
    def mean_latency(self) -> timedelta | None:
        """The mean time of an answer; ``None`` before the first."""
        return self._mean

    def note_latency(self, latency: timedelta) -> None:
        """Remember how long an answer took."""
        if self._mean is None:
            self._mean = latency
        else:
            weight = self._settings.current.latency_weight
            self._mean += (latency - self._mean) * weight

    def estimate_wait(self, ahead: int, slots: int) -> timedelta:
        """Return how long until ``ahead`` requests and one more got a slot.

        Zero if nothing is known yet.
        """
        if self._mean is None or slots <= 0:
            return timedelta()
        return self._mean * (ahead + 1) / slots
