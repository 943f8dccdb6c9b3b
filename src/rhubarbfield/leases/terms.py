"""What grantor and holder agree on."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import Epoch


class LeaseTerms(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one kind of lease, equal at grantor and holder.

    Attributes
    ----------
    duration
        How long a lease lasts.
    drift
        The largest fraction by which the rate of any clock differs from that
        of true time, for example 0.01 for one second in a hundred.
    """

    duration: timedelta
    drift: float

    def __post_init__(self) -> None:
        """Refuse terms under which no lease is safe or useful."""
        if self.duration <= timedelta():
            raise ValueError("duration must be above zero")
        if not 0 <= self.drift < 1:
            raise ValueError("drift must be at least 0 and below 1")

    @property
    def holder_duration(self) -> timedelta:
        """How long a holder relies on a lease, by its own clock."""
        return self.duration * (1 - self.drift)

    @property
    def grantor_duration(self) -> timedelta:
        """How long a grantor keeps a lease from others, by its own clock."""
        return self.duration * (1 + self.drift)


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A grantor's answer to one request of a holder.

    Attributes
    ----------
    number
        The number of the request that is answered.
    epoch
        The epoch of the holder's session, to be put on every effect.
    duration
        How long the lease lasts from the moment its request was sent.
    """

    number: int
    epoch: Epoch
    duration: timedelta
