"""The lease under which runs continue on a worker."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.settings import SchedulingSettings

LATENCY_SLACK = timedelta(milliseconds=200)  # for an order in flight at a power loss


class WorkerLease:
    """The lease that the leader extends in terms of the worker's clock.

    Parameters
    ----------
    clock
        Source of the leader's time.
    settings
        Timeouts and limits.

    Attributes
    ----------
    clock_read_at
        Monotonic time at which the worker's clock was last received.
    lapses_at
        Monotonic time from which the lease has certainly lapsed.
    """

    def __init__(self, clock: Clock, settings: SchedulingSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._worker_clock: timedelta | None = None
        self._lease_end = timedelta()
        self.clock_read_at = timedelta()
        # An earlier leader may have extended the lease until just now.
        longest = settings.longest_lease / self._slowest_rate
        self.lapses_at = clock.monotonic() + longest + LATENCY_SLACK

    @property
    def has_clock(self) -> bool:
        """Whether the worker's clock is known."""
        return self._worker_clock is not None

    @property
    def offered_end(self) -> timedelta:
        """The latest lease end that was offered, on the worker's clock."""
        return self._lease_end

    def update_clock(self, worker_clock: timedelta) -> None:
        """Record the worker's clock from a reply or report; it may be outdated."""
        self._worker_clock = worker_clock
        self.clock_read_at = self._clock.monotonic()

    def extend(self) -> timedelta:
        """Return a new lease end on the worker's clock.

        The lease counts as extended at once, since the order that carries it may
        arrive although no reply comes.
        """
        assert self._worker_clock is not None
        passed = self._clock.monotonic() - self.clock_read_at
        offered = self._worker_clock + passed + self._settings.lease
        self._lease_end = max(self._lease_end, offered)
        left = (self._lease_end - self._worker_clock) / self._slowest_rate
        self.lapses_at = max(self.lapses_at, self.clock_read_at + left + LATENCY_SLACK)
        return self._lease_end

    @property
    def _slowest_rate(self) -> float:
        return 1 - self._settings.clock_drift
