"""Requests that one entry passes on to another."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering import CallMethod
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal


class ForwardAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What came of a request that was passed on.

    Attributes
    ----------
    answer, refusal
        One of the two.
    room
        How much room the entry has left for the service.
    """

    answer: BackendAnswer | None = None
    refusal: Refusal | None = None
    room: int = 0


FORWARD_CALL = CallMethod("/rhubarbfield.Entry/Forward", CallerRequest, ForwardAnswer)
