"""Lease settings and messages shared by grantor and holder."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import Epoch


class LeaseTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one kind of lease, equal at grantor and holder.

    Attributes
    ----------
    duration
        Nominal duration of a lease.
    drift
        Largest fraction by which the rate of any clock differs from that of
        true time, for example 0.01 for one second in a hundred.
    """

    duration: timedelta
    drift: float

    def __post_init__(self) -> None:
        """Reject a duration or drift under which no lease is safe or useful."""
        if self.duration <= timedelta():
            raise ValueError("lease duration must be above zero")
        if not 0 <= self.drift < 1:
            raise ValueError("clock drift must be at least 0 and below 1")

    @property
    def holder_duration(self) -> timedelta:
        """Time for which a holder relies on a lease, by its own clock."""
        return self.duration * (1 - self.drift)

    @property
    def grantor_duration(self) -> timedelta:
        """Time for which a grantor reserves a lease, by its own clock."""
        return self.duration * (1 + self.drift)


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor's answer to a holder's request.

    Attributes
    ----------
    number
        Number of the request that is answered.
    epoch
        Epoch of the holder's session, to be attached to every effect.
    duration
        Duration of the lease, measured from the time its request was sent.
    """

    number: int
    epoch: Epoch
    duration: timedelta
