"""Readings of other workers' clocks, which tell how long a lease is not extended."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.types import WorkerId

MAX_WITNESSES = 5  # some of them may be lost together with the controllers
# One clock that has jumped ahead must not shorten the wait for a lease.
MIN_WITNESSES = 2


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """A worker's clock after the lease of another worker was extended last.

    Attributes
    ----------
    worker
        The worker whose clock was read.
    clock
        Its clock, from the reply to a call that was sent after the last extension.
    age
        Time from the last extension until that call was sent, on a controller's clock.
    """

    worker: WorkerId
    clock: timedelta
    age: timedelta


class ClockReading(msgspec.Struct, frozen=True):
    """A worker's clock in the reply to a call of this term.

    Attributes
    ----------
    sent_at, received_at
        Monotonic times of the call and of its reply.
    clock
        The worker's clock.
    """

    sent_at: timedelta
    received_at: timedelta
    clock: timedelta

    def follows(self, witness: Witness) -> bool:
        """Return whether the clock has not run backwards since it was recorded."""
        return witness.clock <= self.clock and witness.age >= timedelta()


def find_unextended_since(
    witnesses: Iterable[Witness],
    readings: Mapping[WorkerId, ClockReading],
    drift: float,
) -> timedelta | None:
    """Return since when a lease was certainly not extended, by other workers' clocks.

    Of the times that they tell it is the second earliest, so that a single wrong clock
    does not count; None if fewer than two tell one.

    Parameters
    ----------
    witnesses
        What was recorded with the mark of the worker.
    readings
        What was read in this term from the same lives of these workers.
    drift
        Fraction by which a clock may be fast.

    Returns
    -------
    timedelta | None
        A monotonic time of the clock that ``readings`` are of.
    """
    times = []
    for witness in witnesses:
        reading = readings.get(witness.worker)
        if reading is not None and reading.follows(witness):
            passed = witness.age + reading.clock - witness.clock
            times.append(reading.received_at - passed / (1 + drift))
    if len(times) < MIN_WITNESSES:
        return None
    return sorted(times)[MIN_WITNESSES - 1]
