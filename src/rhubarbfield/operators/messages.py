"""JSON bodies of operators' requests and answers."""

from __future__ import annotations

from typing import Annotated

import msgspec

from rhubarbfield.fleet import CommandRecord
from rhubarbfield.operators.failures import OperatorFailure

MAX_BODY_BYTES = 64 * 1024
MAX_TEXT_CHARACTERS = 8_000
MAX_COMMAND_NUMBER = 2**53

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
Operator = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.@-]{1,64}\Z")]
Number = Annotated[int, msgspec.Meta(ge=1, le=MAX_COMMAND_NUMBER)]


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a query request.

    Attributes
    ----------
    text
        Text of the query.
    """

    text: Text


class CommandRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a command request.

    Attributes
    ----------
    operator, number
        Name of the operator, and number of the command.
    text
        Text of the command.
    """

    operator: Operator
    number: Number
    text: Text


class CommandAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a command that was decided.

    Attributes
    ----------
    record
        Decision on the command; the same each time the command is sent.
    """

    record: CommandRecord


class FailureAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every answer with a status of 400 or above.

    Attributes
    ----------
    failure
        Why the request failed.
    """

    failure: OperatorFailure
