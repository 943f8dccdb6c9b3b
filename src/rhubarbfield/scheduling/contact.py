"""Contact of the leader with one worker: address, lease and silence."""

from __future__ import annotations

import logging
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.leases import MAX_CLOCK, WorkerLease
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.ports import CallFailure, WorkerAddress
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.witnesses import ClockReading
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.session")

REJECTION_BACKOFF = timedelta(milliseconds=400)  # by then a view shows actual headroom
# Longer than a view that waits for an end, and its reply.
RECENT_REPLY = timedelta(seconds=3)
# Covers an order and the view after it, which extends the lease.
FIRST_LEASE = timedelta(seconds=3)


class WorkerContact:
    """What the leader knows from a worker's reports and replies.

    Parameters
    ----------
    address
        Id and address of the worker.
    ledger
        The orders that the worker was given.
    clock
        Source of time.
    settings
        Timeouts and limits.
    marked_at
        Monotonic time since which the worker is marked as silent; None if it isn't.
    former_until
        Monotonic time by which all earlier leaders had ended, if known, and if this
        one has not extended the lease.

    Attributes
    ----------
    lease
        The lease of the worker's runs.
    is_suspended
        Whether the lease is not extended, since the worker is marked as silent or
        about to be.
    exit_announced_at
        Monotonic time at which the worker announced its exit, or None.
    reported_at
        Monotonic time of the latest report, or None.
    created_at
        Monotonic time at which the contact began.
    reading
        The worker's clock in the latest view, or None.
    lease_basis
        What the lease counts from at first: ``mark``, ``former-term`` or ``session``.
    """

    def __init__(
        self,
        address: WorkerAddress,
        ledger: OrderLedger,
        *,
        clock: Clock,
        settings: SchedulingSettings,
        marked_at: timedelta | None = None,
        former_until: timedelta | None = None,
    ) -> None:
        self.address = address
        times = {"mark": marked_at, "former-term": former_until}
        known = {name: each for name, each in times.items() if each is not None}
        self.lease_basis = min(known, key=known.__getitem__, default="session")
        self.lease = WorkerLease(clock, settings, known.get(self.lease_basis))
        self.reading: ClockReading | None = None
        self.is_suspended = marked_at is not None
        self.exit_announced_at: timedelta | None = None
        self._ledger = ledger
        self._clock = clock
        self._settings = settings
        self._unresponsive_since: timedelta | None = None
        self._replied_at: timedelta | None = None
        self._no_starts_until = timedelta()
        self.reported_at: timedelta | None = None
        self.created_at = clock.monotonic()

    @property
    def worker(self) -> WorkerId:
        """Id of the worker."""
        return self.address.worker

    @property
    def is_responsive(self) -> bool:
        """Whether the latest call got a reply."""
        return self._unresponsive_since is None

    @property
    def has_replied(self) -> bool:
        """Whether the latest call got a reply, and there was one in this term."""
        return self._replied_at is not None and self.is_responsive

    @property
    def has_replied_lately(self) -> bool:
        """Whether the latest call got a reply a short time ago."""
        if self._replied_at is None or not self.is_responsive:
            return False
        return self._clock.monotonic() - self._replied_at <= RECENT_REPLY

    @property
    def is_untried(self) -> bool:
        """Whether no call to the worker has ended in this term."""
        return self.is_responsive and self._replied_at is None

    def is_usable_at(self, now: timedelta) -> bool:
        """Return whether new runs may be started on the worker at this time.

        A worker that only reports may not be reached by calls. A start that is lost
        on the way holds its task until the lease that it offered has lapsed.
        """
        if self.exit_announced_at is not None or not self.may_extend_lease:
            return False
        if not self.has_replied:
            return False
        if now < self._no_starts_until:
            return False
        return now - self.last_contact_at <= self._settings.silence_timeout

    @property
    def last_contact_at(self) -> timedelta:
        """Monotonic time of the last report or reply of the worker."""
        reported_at = self.reported_at or self.created_at
        return max(reported_at, self.created_at, self.lease.clock_read_at)

    @property
    def worked(self) -> timedelta:
        """For how long the worker is known to have worked since the contact began."""
        return self.last_contact_at - self.created_at

    @property
    def unresponsive_since(self) -> timedelta | None:
        """Time of the first call without a reply; None if the latest one got one."""
        return self._unresponsive_since

    @property
    def may_extend_lease(self) -> bool:
        """Whether an order should extend the lease.

        A call without a reply may still have extended the lease. If repeated
        calls to an unresponsive worker did so, its lease would never be known to
        have lapsed.
        """
        may_offer = self.is_responsive and not self.is_lease_withheld
        return self.lease.has_clock and may_offer

    @property
    def is_lease_withheld(self) -> bool:
        """Whether no lease is offered although the worker may be responsive."""
        return self.is_suspended or bool(self._ledger.doubtful)

    def offer_lease(self, now: timedelta) -> timedelta | None:
        """Return the lease end for an order; None if none was offered in this term.

        It is a new one only if the lease may be extended. The latest one may be
        offered again: it counts as given, and its order may have been lost. A new
        one is short until the worker has replied, since an order without a reply
        holds its task until the lease has lapsed.

        Parameters
        ----------
        now
            Monotonic time read before it was checked that the leader may act.
        """
        if self.may_extend_lease:
            duration = None if self.has_replied_lately else FIRST_LEASE
            return self.lease.extend(now, duration)
        return self.lease.offered_end

    def handle_report(self, worker_clock: timedelta | None, age: timedelta) -> None:
        """Record that the worker reported itself; the report may be late.

        Parameters
        ----------
        worker_clock
            The worker's clock in the report, if it has one.
        age
            Time since the report was received.
        """
        reported_at = self._clock.monotonic() - age
        self.reported_at = max(self.reported_at or reported_at, reported_at)
        if worker_clock is not None:
            # The worker's clock has advanced since. A lease counted from the
            # reading ends earlier on the worker, and counts as lapsed later here.
            self.lease.update_reported_clock(worker_clock, age)

    def handle_exit_announcement(self) -> None:
        """Record that the worker announced its exit."""
        if self.exit_announced_at is None:
            self.exit_announced_at = self._clock.monotonic()

    def handle_reply(self, worker_clock: timedelta) -> None:
        """Record a reply of the worker."""
        if self._unresponsive_since is not None:
            log_event(logger, logging.INFO, "worker-regained", worker=self.worker)
        self._unresponsive_since = None
        self._replied_at = self._clock.monotonic()
        self._check_lapse(worker_clock)
        self.lease.update_clock(worker_clock)

    def _check_lapse(self, worker_clock: timedelta) -> None:
        """Log whether the lease was over on the worker when it counted as lapsed."""
        margin = self.lease.check_lapse(worker_clock)
        if margin is not None:
            log_event(
                logger,
                logging.INFO,
                "lapse-checked",
                worker=self.worker,
                margin=margin,
            )

    def handle_view(self, worker_clock: timedelta, sent_at: timedelta) -> None:
        """Record the reply to a request for a view, which was sent then or later."""
        self.handle_reply(worker_clock)
        if abs(worker_clock) <= MAX_CLOCK:
            received_at = self._clock.monotonic()
            self.reading = ClockReading(sent_at, received_at, worker_clock)

    def handle_no_reply(self) -> None:
        """Record that a call got no reply."""
        if self._unresponsive_since is None:
            self._unresponsive_since = self._clock.monotonic()
            log_event(logger, logging.WARNING, "worker-silent", worker=self.worker)

    def handle_rejection(self) -> None:
        """Record that the worker rejected a start."""
        self._no_starts_until = self._clock.monotonic() + REJECTION_BACKOFF

    def log_failure(self, event: str, key: RunKey | None, failure: CallFailure) -> None:
        """Log an unsuccessful call to the worker."""
        log_event(
            logger,
            logging.INFO,
            event,
            worker=self.worker,
            task=key.task if key else None,
            run=key.run if key else None,
            failure=str(failure),
        )
