"""The holder's side of a lease."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.leases.terms import Lease
from rhubarbfield.types import Epoch

MAX_OPEN_REQUESTS = 16


class HeldLease:
    """Holder's view of a lease.

    Call :meth:`holds` directly before each effect, without waiting in between,
    so that a process that was frozen detects that its lease has lapsed.

    Parameters
    ----------
    drift
        Clock drift as in :class:`~rhubarbfield.leases.LeaseTerms`.
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
        """Epoch of the last accepted lease; zero before the first."""
        return self._epoch

    def request(self) -> int:
        """Record that a request is being sent and return its number.

        Must be called before the request is handed to a connection, since the
        lease is measured from this call.
        """
        self._last_number += 1
        self._sent[self._last_number] = self._clock.monotonic()
        if len(self._sent) > MAX_OPEN_REQUESTS:
            del self._sent[min(self._sent)]
        return self._last_number

    def accept(self, lease: Lease) -> bool:
        """Process the answer to a request.

        Parameters
        ----------
        lease
            The grantor's answer.

        Returns
        -------
        bool
            False if the answer matches no open request or its epoch has been
            superseded; the lease is unchanged then.
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
        """Treat the lease as lapsed from now on and discard open requests."""
        self._sent.clear()
        self._ends = self._clock.monotonic()

    def holds(self) -> bool:
        """Return whether the lease is valid now."""
        return self._clock.monotonic() < self._ends

    def remaining(self) -> timedelta:
        """Return the remaining validity of the lease; zero once it has lapsed."""
        return max(timedelta(), self._ends - self._clock.monotonic())
