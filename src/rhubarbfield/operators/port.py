"""Interface of the controller that the operators' HTTP server uses."""

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
    """A command that was parsed and validated.

    Attributes
    ----------
    operator, number
        Name of the operator, and number of the command.
    text
        Text of the command.
    statement
        The parsed command.
    """

    operator: OperatorName
    number: CommandNumber
    text: str
    statement: AnyCommandStatement


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a controller.

    Attributes
    ----------
    instance
        Name of its instance.
    ready
        Whether it can answer queries.
    leader
        Leader of the fleet's log, if known to this controller.
    position
        Position of the last entry of the fleet's log that it has applied.
    configuration_version
        Version of the configuration in force here.
    note
        Additional remark for the operator; empty for none.
    """

    instance: InstanceName
    ready: bool
    leader: InstanceName | None = None
    position: LogIndex = LogIndex(0)
    configuration_version: int = 0
    note: str = ""


class OperatorsPort(Protocol):
    """Operations of the controller for operators."""

    async def query(self, statement: Query) -> Result[Table, OperatorFailure]:
        """Answer a query.

        For ``Show`` the table holds all rows of the subject; the caller applies
        :func:`rhubarbfield.language.select_rows`.
        """

    async def command(
        self, submission: Submission
    ) -> Result[CommandRecord, OperatorFailure]:
        """Submit a command to the fleet's log and return the decision."""

    def get_status(self) -> ControllerStatus:
        """Return the status of the controller, without waiting."""


def read_reply(reply: Reply) -> Result[CommandRecord, OperatorFailure]:
    """Convert the fleet log's reply to a command into a result.

    Parameters
    ----------
    reply
        Reply to :class:`rhubarbfield.fleet.SubmitCommand`.
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
