"""The lease under which runs continue on a worker."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.ranges import MAX_WORKER_MS
from rhubarbfield.scheduling.settings import SchedulingSettings

# A lease end rests on a reading of the worker's clock of this age at most, or is
# shorter: a clock may be slow, and the next leader does not know when it was read.
MAX_CLOCK_AGE = timedelta(seconds=10)
# By how much a clock in a report may exceed the one expected from the last reading.
CLOCK_TOLERANCE = timedelta(seconds=1)
# Another controller, of an earlier version, may pass on readings that are larger.
MAX_CLOCK = timedelta(milliseconds=MAX_WORKER_MS)
LATENCY_SLACK = timedelta(milliseconds=200)  # for an order in flight at a power loss


class WorkerLease:
    """The lease that the leader extends in terms of the worker's clock.

    Parameters
    ----------
    clock
        Source of the leader's time.
    settings
        Timeouts and limits.
    unextended_since
        Monotonic time since which no leader has extended the lease; by default now.

    Attributes
    ----------
    clock_read_at
        Monotonic time at which the worker's clock was last received.
    lapses_at
        Monotonic time from which the lease has certainly lapsed.
    unextended_since
        Monotonic time since which no leader has extended the lease.
    saved
        By how much :meth:`shorten` has moved ``lapses_at``.
    """

    def __init__(
        self,
        clock: Clock,
        settings: SchedulingSettings,
        unextended_since: timedelta | None = None,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._worker_clock: timedelta | None = None
        self._lease_end: timedelta | None = None
        self.clock_read_at = timedelta()
        # An earlier leader may have extended the lease until then.
        since = clock.monotonic() if unextended_since is None else unextended_since
        self.unextended_since = since
        self.lapses_at = self._find_lapse(since)
        self.saved = timedelta()
        self._lapsed_at: timedelta | None = None

    @property
    def has_clock(self) -> bool:
        """Whether the worker's clock is known."""
        return self._worker_clock is not None

    @property
    def offered_end(self) -> timedelta | None:
        """The latest lease end that was offered, on the worker's clock, if any."""
        return self._lease_end

    @property
    def is_former(self) -> bool:
        """Whether the lease was not extended here, but perhaps by earlier leaders."""
        return self._lease_end is None

    def shorten(self, since: timedelta) -> None:
        """Count from an earlier time, unless the lease was extended here.

        Parameters
        ----------
        since
            Monotonic time since which no leader has extended the lease.
        """
        if not self.is_former or since >= self.unextended_since:
            return
        lapses_at = min(self.lapses_at, self._find_lapse(since))
        self.saved += self.lapses_at - lapses_at
        self.unextended_since, self.lapses_at = since, lapses_at

    def record_lapse(self) -> None:
        """Record that the lease counts as lapsed now."""
        self._lapsed_at = self._clock.monotonic()

    def check_lapse(self, worker_clock: timedelta) -> timedelta | None:
        """Compare a recorded lapse with the worker's clock, once.

        Returns
        -------
        timedelta | None
            For how long the lease had been over on the worker's clock, at least, when
            it was recorded as lapsed; None if no lapse was recorded since the last
            call, or if the lease was not extended here. Less than zero: it may have
            lasted longer.
        """
        lapsed_at, self._lapsed_at = self._lapsed_at, None
        if lapsed_at is None or self._lease_end is None:
            return None
        passed = self._clock.monotonic() - lapsed_at
        return worker_clock - passed - self._lease_end

    def update_clock(self, worker_clock: timedelta) -> None:
        """Record the worker's clock from a reply or report; it may be outdated.

        A reading that is out of range is ignored.
        """
        if abs(worker_clock) > MAX_CLOCK:
            return
        self._worker_clock = worker_clock
        self.clock_read_at = self._clock.monotonic()

    def update_reported_clock(self, worker_clock: timedelta, age: timedelta) -> None:
        """Record the worker's clock from a report, unless it was delayed.

        A reading that is out of range is ignored.

        Parameters
        ----------
        worker_clock
            The worker's clock in the report.
        age
            Time since the report was received.
        """
        if abs(worker_clock) > MAX_CLOCK:
            return
        read_at = self._clock.monotonic() - age
        if self._worker_clock is not None:
            passed = read_at - self.clock_read_at
            earliest = self._worker_clock + passed * self._slowest_rate
            latest = self._worker_clock + passed + CLOCK_TOLERANCE
            if passed <= timedelta() or not earliest <= worker_clock <= latest:
                return
        self._worker_clock = worker_clock
        self.clock_read_at = read_at

    def extend(self, now: timedelta, duration: timedelta | None = None) -> timedelta:
        """Return a new lease end on the worker's clock, or the present one if later.

        The lease counts as extended at once, since the order that carries it may
        arrive although no reply comes.

        Parameters
        ----------
        now
            Monotonic time at which the leader may certainly act; the process may have
            been stopped since.
        duration
            Duration of the lease from now on, no longer than that of the settings,
            which is the default.
        """
        wanted = self._settings.lease
        if duration is not None:
            wanted = min(duration, wanted)
        assert self._worker_clock is not None
        self.unextended_since = max(self.unextended_since, now)
        passed = now - self.clock_read_at
        slow_time = max(passed - MAX_CLOCK_AGE, timedelta())
        passed -= slow_time * self._settings.clock_drift
        offered = self._worker_clock + passed + wanted
        self._lease_end = max(self._lease_end or offered, offered)
        left = (self._lease_end - self._worker_clock) / self._slowest_rate
        self.lapses_at = max(self.lapses_at, self.clock_read_at + left + LATENCY_SLACK)
        return self._lease_end

    def _find_lapse(self, since: timedelta) -> timedelta:
        """Return when a lease has lapsed that any leader extended until ``since``."""
        longest = min(
            self._settings.longest_lease,
            self._settings.lease + MAX_CLOCK_AGE * self._settings.clock_drift,
        )
        return since + longest / self._slowest_rate + LATENCY_SLACK

    @property
    def _slowest_rate(self) -> float:
        return 1 - self._settings.clock_drift
