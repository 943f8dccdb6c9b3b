"""Why an operator's request was not answered as asked."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.types import CommandNumber, InstanceName


class FailureKind(StrEnum):
    """What kept the request from its answer."""

    UNAUTHORIZED = "unauthorized"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    SYNTAX = "syntax"
    INVALID = "invalid"
    NOT_FOUND = "not-found"
    CLASH = "clash"
    NUMBER_REFUSED = "number-refused"
    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    UNKNOWN_OUTCOME = "unknown-outcome"
    BUSY = "busy"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


class OperatorFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was not answered as asked.

    Attributes
    ----------
    kind
        What kept it. Only after ``unknown-outcome`` and ``internal`` may a
        command have had its effect; sending it again under its number is
        always safe.
    message
        What to tell the operator.
    leader
        Which instance to ask instead, if that is known.
    next_number
        A number that was free, if the number was the trouble.
    """

    kind: FailureKind
    message: str
    leader: InstanceName | None = None
    next_number: CommandNumber | None = None
