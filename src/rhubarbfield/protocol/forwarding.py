"""Forwarding of requests from one entry to another."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering import CallMethod
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal


class ForwardAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Reply of an entry to a request forwarded to it.

    Attributes
    ----------
    answer, refusal
        Exactly one of them is set.
    free_slots
        Slots that the replying entry still has free for the service.
    """

    answer: BackendAnswer | None = None
    refusal: Refusal | None = None
    free_slots: int = msgspec.field(default=0, name="room")


FORWARD_CALL = CallMethod("/rhubarbfield.Entry/Forward", CallerRequest, ForwardAnswer)
