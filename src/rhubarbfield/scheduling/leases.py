"""When the lease of all that runs on a worker has surely lapsed."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.settings import SchedulingSettings

LATENCY_SLACK = timedelta(milliseconds=200)  # an order on its way when power goes


class WorkerLease:
    """The lease that a leader extends on a worker's own clock.

    Parameters
    ----------
    clock
        The leader's time.
    settings
        Times and limits.
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

    def note_clock(self, worker_clock: timedelta) -> None:
        """Learn the worker's clock, as it told just now or earlier."""
        self._worker_clock = worker_clock
        self.clock_read_at = self._clock.monotonic()

    def extend(self) -> timedelta:
        """Return a new lease end on the worker's clock, and count on it.

        The order that carries it may arrive though no reply comes.
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
