"""Failures of operators' requests."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.types import CommandNumber, InstanceName


class FailureKind(StrEnum):
    """Why a request failed."""

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
    """Failure of an operator's request.

    Attributes
    ----------
    kind
        Why the request failed. A command may have taken effect only if this is
        ``unknown-outcome`` or ``internal``; sending it again under the same
        number is always safe.
    message
        Text for the operator.
    leader
        Instance to send the request to instead, if known.
    next_number
        A free number, if the command's number was rejected.
    """

    kind: FailureKind
    message: str
    leader: InstanceName | None = None
    next_number: CommandNumber | None = None
