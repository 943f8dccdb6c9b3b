"""The holder's side of a lease."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.leases.terms import Lease
from rhubarbfield.types import Epoch

MAX_OPEN_REQUESTS = 16


class HeldLease:
    """A lease as its holder sees it.

    It is asked just before each effect, with no wait between question and
    effect; a process that was frozen then finds it lapsed by itself.

    Parameters
    ----------
    drift
        The drift of :class:`~rhubarbfield.leases.LeaseTerms`.
    clock
        The holder's clock; only its monotonic readings are used.
    """

    def __init__(self, *, drift: float, clock: Clock) -> None:
        self._drift = drift
        self._clock = clock
        self._sent: dict[int, timedelta] = {}
        self._last_number = 0
        self._epoch = Epoch(0)
        self._ends = clock.monotonic()

    @property
    def epoch(self) -> Epoch:
        """The epoch of the last accepted lease; zero before the first."""
        return self._epoch

    def request(self) -> int:
        """Note that a request is sent now and return its number.

        Call it before the request is handed to a connection, never after.
        """
        self._last_number += 1
        self._sent[self._last_number] = self._clock.monotonic()
        if len(self._sent) > MAX_OPEN_REQUESTS:
            del self._sent[min(self._sent)]
        return self._last_number

    def accept(self, lease: Lease) -> bool:
        """Take in the answer to a request.

        Parameters
        ----------
        lease
            The grantor's answer.

        Returns
        -------
        bool
            False when it answers no open request or comes from an epoch that
            has been superseded; nothing changes then.
        """
        sent = self._sent.pop(lease.number, None)
        if sent is None or lease.epoch < self._epoch:
            return False
        ends = sent + lease.duration * (1 - self._drift)
        if lease.epoch > self._epoch:
            self._epoch, self._ends = lease.epoch, ends
        self._ends = max(self._ends, ends)
        return True

    def invalidate(self) -> None:
        """Treat the lease as lapsed from now on, and forget open requests."""
        self._sent.clear()
        self._ends = self._clock.monotonic()

    def holds(self) -> bool:
        """Return whether an effect under this lease may happen now."""
        return self._clock.monotonic() < self._ends

    def remaining(self) -> timedelta:
        """Return how long the lease still holds; zero once it has lapsed."""
        return max(timedelta(), self._ends - self._clock.monotonic())
