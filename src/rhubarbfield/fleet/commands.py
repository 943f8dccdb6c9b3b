"""Operators' commands: each number once, and the same answer for ever after."""

from __future__ import annotations

import hashlib
from datetime import datetime, timedelta

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.effects import apply_statement
from rhubarbfield.fleet.registry import fleet_commands
from rhubarbfield.fleet.state import CommandRecord, CommandTable, FleetState, Mark
from rhubarbfield.language import AnyCommandStatement
from rhubarbfield.machine import Command, Reply
from rhubarbfield.types import CommandNumber, OperatorName

RETENTION = timedelta(days=3)
MOST_RECORDS = 50_000
MOST_NUMBERS_AHEAD = 10_000_000
LONGEST_KEPT_TEXT_CHARACTERS = 240


class SubmitCommand(Command, frozen=True):
    """An operator's command, as the leader read it.

    Attributes
    ----------
    operator, number
        Who sends it, under which number. Numbers are shared by all operators.
    text
        What was typed.
    statement
        What the leader read from the text.
    at
        Wall time of the leader.
    """

    operator: OperatorName
    number: CommandNumber
    text: str
    statement: AnyCommandStatement
    at: datetime


class CommandAnswered(Reply, frozen=True):
    """The command was decided, now or when it was first sent.

    Attributes
    ----------
    record
        The decision; equal for every time the command is sent.
    """

    record: CommandRecord


class CommandClash(Reply, frozen=True):
    """Another command stands under the number; this one had no effect.

    Attributes
    ----------
    standing
        The command that stands.
    next_number
        A number that was free when this was answered.
    """

    standing: CommandRecord
    next_number: CommandNumber


class NumberRefused(Reply, frozen=True):
    """The number can't be taken; the command had no effect.

    Attributes
    ----------
    reason
        Why, for a person.
    next_number
        A number that was free when this was answered.
    """

    reason: str
    next_number: CommandNumber


@fleet_commands.applies(SubmitCommand)
def _apply_submit(state: FleetState, command: SubmitCommand) -> Reply:
    table = state.table
    _forget_old_records(table, command.at)
    standing = table.records.get(str(command.number))
    if standing is not None:
        return _answer_again(table, standing, command)
    refusal = _refuse_number(table, command.number)
    if refusal:
        return NumberRefused(reason=refusal, next_number=find_next_number(table))
    check_invariant(
        command.number > table.forgotten_number,
        "command-decided-once",
        f"number {command.number} may have been decided and forgotten",
    )
    record = _record(state, command)
    table.records[str(command.number)] = record
    table.highest_number = max(table.highest_number, command.number)
    return CommandAnswered(record=record)


def find_next_number(table: CommandTable) -> CommandNumber:
    """Return the lowest number above every number ever taken."""
    return CommandNumber(max(table.highest_number, table.forgotten_number) + 1)


def digest_text(text: str) -> str:
    """Return what a record keeps to tell texts apart."""
    return hashlib.sha256(text.encode()).hexdigest()


def _forget_old_records(table: CommandTable, now: datetime) -> None:
    # A clock that was set wrong may make records look too old, or as if they
    # came from the future. Either way they go, and their numbers stay taken.
    while table.records:
        key = next(iter(table.records))
        record = table.records[key]
        if abs(now - record.decided_at) <= RETENTION:
            return
        del table.records[key]
        table.forgotten_number = max(table.forgotten_number, record.number)


def _answer_again(
    table: CommandTable, standing: CommandRecord, command: SubmitCommand
) -> Reply:
    same = standing.operator == command.operator and standing.digest == digest_text(
        command.text
    )
    if same:
        return CommandAnswered(record=standing)
    return CommandClash(standing=standing, next_number=find_next_number(table))


def _refuse_number(table: CommandTable, number: CommandNumber) -> str:
    if number <= table.forgotten_number:
        return (
            f"number {number} may have been used before the "
            f"{RETENTION.days} days that are remembered"
        )
    if 0 < table.highest_number < number - MOST_NUMBERS_AHEAD:
        return (
            f"number {number} is more than {MOST_NUMBERS_AHEAD} above the highest"
            f" so far, {table.highest_number}; was it mistyped?"
        )
    if len(table.records) >= MOST_RECORDS:
        return (
            f"{MOST_RECORDS} commands of the last {RETENTION.days} days "
            "are remembered already, and none may be forgotten earlier"
        )
    return ""


def _record(state: FleetState, command: SubmitCommand) -> CommandRecord:
    mark = Mark(operator=command.operator, number=command.number, at=command.at)
    effect = apply_statement(state, command.statement, mark)
    return CommandRecord(
        operator=command.operator,
        number=command.number,
        text=command.text[:LONGEST_KEPT_TEXT_CHARACTERS],
        digest=digest_text(command.text),
        decided_at=command.at,
        accepted=effect.accepted,
        answer=effect.answer,
        jobs=effect.jobs,
    )
