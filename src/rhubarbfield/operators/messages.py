"""What operators' requests and answers carry, as JSON."""

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
    """A query as it is sent.

    Attributes
    ----------
    text
        What was typed.
    """

    text: Text


class CommandRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A command as it is sent.

    Attributes
    ----------
    operator, number
        Who sends it, under which number.
    text
        What was typed.
    """

    operator: Operator
    number: Number
    text: Text


class CommandAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The decision on a command.

    Attributes
    ----------
    record
        The same, however often the command is sent.
    """

    record: CommandRecord


class FailureAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What is answered with every status from 400 up.

    Attributes
    ----------
    failure
        Why.
    """

    failure: OperatorFailure
