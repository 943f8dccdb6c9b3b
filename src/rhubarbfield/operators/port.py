"""What the operators' side needs of the controller."""

from __future__ import annotations

from datetime import datetime
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet import (
    CommandAnswered,
    CommandClash,
    CommandRecord,
    NumberRefused,
)
from rhubarbfield.language import AnyCommandStatement, Query, Table
from rhubarbfield.machine import Refused, Reply
from rhubarbfield.operators.failures import FailureKind, OperatorFailure
from rhubarbfield.types import CommandNumber, InstanceName, LogIndex, OperatorName


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A command that was read and checked.

    Attributes
    ----------
    operator, number
        Who sends it, under which number.
    text
        What was typed.
    statement
        What was read from it.
    """

    operator: OperatorName
    number: CommandNumber
    text: str
    statement: AnyCommandStatement


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a controller knows of itself.

    Attributes
    ----------
    instance
        Its name.
    ready
        Whether it can answer queries.
    leader
        Who leads the fleet's log, as far as it knows.
    position
        How far it has applied the fleet's log.
    configuration_version
        The version in force here.
    note
        Anything an operator should know; empty if nothing.
    """

    instance: InstanceName
    ready: bool
    leader: InstanceName | None = None
    position: LogIndex = LogIndex(0)
    configuration_version: int = 0
    note: str = ""


class OperatorsPort(Protocol):
    """The controller, as operators' requests reach it."""

    async def query(self, statement: Query) -> Result[Table, OperatorFailure]:
        """Answer a query.

        For ``Show`` the table holds all rows of the subject;
        :func:`rhubarbfield.language.select_rows` is applied by the caller.
        """

    async def command(
        self, submission: Submission
    ) -> Result[CommandRecord, OperatorFailure]:
        """Have a command decided by the fleet's log."""

    def get_status(self) -> ControllerStatus:
        """Return what the controller knows of itself, without waiting."""


def read_reply(reply: Reply) -> Result[CommandRecord, OperatorFailure]:
    """Turn the answer of the fleet's log to a command into an outcome.

    Parameters
    ----------
    reply
        What applying :class:`rhubarbfield.fleet.SubmitCommand` answered.
    """
    match reply:
        case CommandAnswered():
            return Success(reply.record)
        case CommandClash():
            return Failure(_describe_clash(reply))
        case NumberRefused():
            return Failure(
                OperatorFailure(
                    kind=FailureKind.NUMBER_REFUSED,
                    message=reply.reason,
                    next_number=reply.next_number,
                )
            )
        case Refused():
            failure = OperatorFailure(kind=FailureKind.INVALID, message=reply.reason)
            return Failure(failure)
    check_invariant(False, "command-reply-known", type(reply).__name__)
    raise AssertionError


def _describe_clash(reply: CommandClash) -> OperatorFailure:
    standing = reply.standing
    at = _format_time(standing.decided_at)
    message = (
        f"number {standing.number} is taken: {standing.operator} sent"
        f" “{standing.text}” under it at {at}, and that command stands."
        " Yours had no effect"
    )
    return OperatorFailure(
        kind=FailureKind.CLASH, message=message, next_number=reply.next_number
    )


def _format_time(at: datetime) -> str:
    return at.strftime("%Y-%m-%d %H:%M:%S UTC")
