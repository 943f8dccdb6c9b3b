"""The lease under which a leader may act."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import Term

# After a release: covers an election and the calls in flight.
LEADERSHIP_RELEASE_DELAY = timedelta(milliseconds=700)


class Leadership(msgspec.Struct, frozen=True):
    """A leader's lease: the right to act as leader for a limited time.

    Attributes
    ----------
    term
        The leader's term, which serves as the epoch of every effect.
    valid_until
        The monotonic time at which the lease ends unless it is renewed.
    former_until
        The monotonic time by which the leases of all earlier leaders had ended, if
        known; it is before the election.
    """

    term: Term
    valid_until: timedelta
    former_until: timedelta | None = None
