"""Operators' commands: each number is decided once and keeps its answer."""

from __future__ import annotations

import hashlib
from datetime import datetime, timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.effects import apply_statement
from rhubarbfield.fleet.registry import fleet_commands
from rhubarbfield.fleet.state import (
    CommandOrigin,
    CommandRecord,
    CommandTable,
    FleetState,
)
from rhubarbfield.language import AnyCommandStatement
from rhubarbfield.machine import Command, Reply
from rhubarbfield.types import CommandNumber, OperatorName

COMMAND_RETENTION = timedelta(days=3)
MAX_RECORDS = 50_000
MAX_NUMBER_GAP = 10_000_000
MAX_TEXT_CHARACTERS = 240


class SubmitCommand(Command, frozen=True):
    """An operator's command, as parsed by the leader.

    Attributes
    ----------
    operator, number
        The operator who sent it, and its number, unique among all operators.
    text
        The text as typed.
    statement
        The statement parsed from the text.
    at
        Wall time of the leader.
    """

    operator: OperatorName
    number: CommandNumber
    text: str
    statement: AnyCommandStatement
    at: datetime


class CommandAnswered(Reply, frozen=True):
    """The command is decided, now or when it was first sent.

    Attributes
    ----------
    record
        The decision, which is the same each time the command is sent.
    """

    record: CommandRecord


class CommandClash(Reply, frozen=True):
    """Another command has the number; this one had no effect.

    Attributes
    ----------
    standing
        The command that has the number.
    next_number
        A number that was free at the time of the answer.
    """

    standing: CommandRecord
    next_number: CommandNumber


class NumberRefused(Reply, frozen=True):
    """The number can't be taken; the command had no effect.

    Attributes
    ----------
    reason
        The reason, as shown to the operator.
    next_number
        A number that was free at the time of the answer.
    """

    reason: str
    next_number: CommandNumber


@fleet_commands.applies(SubmitCommand)
def _apply_submit(state: FleetState, command: SubmitCommand) -> Reply:
    table = state.table
    _drop_old_records(table, command.at)
    existing = table.records.get(str(command.number))
    if existing is not None:
        return _answer_repeated(table, existing, command)
    refusal = _refuse_number(table, command.number)
    if refusal:
        return NumberRefused(reason=refusal, next_number=find_next_number(table))
    check_invariant(
        command.number > table.forgotten_number,
        "command-decided-once",
        f"number {command.number} may be that of a decided, dropped command",
    )
    record = _record(state, command)
    table.records[str(command.number)] = record
    table.highest_number = max(table.highest_number, command.number)
    return CommandAnswered(record=record)


def find_next_number(table: CommandTable) -> CommandNumber:
    """Return the lowest number above all numbers that were ever taken."""
    return CommandNumber(max(table.highest_number, table.forgotten_number) + 1)


def digest_text(text: str) -> str:
    """Return the digest by which a record distinguishes texts."""
    return hashlib.sha256(text.encode()).hexdigest()


def _drop_old_records(table: CommandTable, now: datetime) -> None:
    # A wrong clock may make records appear too old or from the future. They are
    # dropped in either case, and their numbers stay taken.
    while table.records:
        key = next(iter(table.records))
        record = table.records[key]
        if abs(now - record.decided_at) <= COMMAND_RETENTION:
            return
        del table.records[key]
        table.forgotten_number = max(table.forgotten_number, record.number)


def _answer_repeated(
    table: CommandTable, existing: CommandRecord, command: SubmitCommand
) -> Reply:
    same = existing.operator == command.operator and existing.digest == digest_text(
        command.text
    )
    if same:
        return CommandAnswered(record=existing)
    return CommandClash(standing=existing, next_number=find_next_number(table))


def _refuse_number(table: CommandTable, number: CommandNumber) -> str:
    if number <= table.forgotten_number:
        return (
            f"number {number} may have been used before the "
            f"{COMMAND_RETENTION.days} days that are remembered"
        )
    if 0 < table.highest_number < number - MAX_NUMBER_GAP:
        return (
            f"number {number} is more than {MAX_NUMBER_GAP} above the highest"
            f" so far, {table.highest_number}; was it mistyped?"
        )
    if len(table.records) >= MAX_RECORDS:
        return (
            f"{MAX_RECORDS} commands of the last {COMMAND_RETENTION.days} days "
            "are remembered already, and none may be forgotten earlier"
        )
    return ""


def _record(state: FleetState, command: SubmitCommand) -> CommandRecord:
    origin = CommandOrigin(
        operator=command.operator, number=command.number, at=command.at
    )
    effect = apply_statement(state, command.statement, origin)
    return CommandRecord(
        operator=command.operator,
        number=command.number,
        text=command.text[:MAX_TEXT_CHARACTERS],
        digest=digest_text(command.text),
        decided_at=command.at,
        accepted=effect.accepted,
        answer=effect.answer,
        jobs=effect.jobs,
    )
