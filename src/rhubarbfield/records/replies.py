"""Translation of record replies for the request path."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from rhubarbfield.machine import Reply
from rhubarbfield.records.state import (
    AlreadyRunning,
    KeyConflict,
    RecordBegun,
    Recorded,
)
from rhubarbfield.routing.ports import (
    BeginReply,
    Begun,
    FirstAnswer,
    KeyMismatch,
    RecordFailure,
    RecordFailureReason,
    StillRunning,
)


def translate_begin_reply(reply: Reply) -> Result[BeginReply, RecordFailure]:
    """Translate the reply to a :class:`BeginRequest` for the request path.

    Shared by the implementations of :class:`~rhubarbfield.routing.ports.RecordPort`.
    """
    match reply:
        case RecordBegun():
            return Success(Begun())
        case AlreadyRunning():
            return Success(StillRunning())
        case Recorded(answer=answer):
            return Success(FirstAnswer(answer))
        case KeyConflict():
            return Success(KeyMismatch())
        case _:
            return Failure(
                RecordFailure(
                    reason=RecordFailureReason.FULL,
                    detail="there are too many records of requests",
                )
            )
