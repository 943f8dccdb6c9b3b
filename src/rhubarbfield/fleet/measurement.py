"""Costs of operators' commands and jobs, by the number of commands kept.

``python -m rhubarbfield.fleet.measurement`` prints a table with one row for each
number of commands, half of which create jobs: the processor time of parsing and
of applying one command, the memory it adds, and the size and times of a snapshot.
"""

from __future__ import annotations

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from typing import TypeVar, cast

import msgspec
from absl import flags

from rhubarbfield.exceptions import UsageError
from rhubarbfield.fleet import (
    FLEET_REPLY_TYPES,
    FleetState,
    SubmitCommand,
    fleet_commands,
)
from rhubarbfield.language import AnyCommandStatement, parse
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.types import CommandNumber, LogIndex, OperatorName

START = datetime(2026, 1, 1, tzinfo=UTC)
COMMAND_INTERVAL = timedelta(seconds=12)
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000
TEXTS = (
    "create batch weekly for tenant team{team} tasks 40 cores 2 memory 4gb kind render",
    "configure routing.slow_start_seconds = {team}",
)
TENANTS = 350
ValueT = TypeVar("ValueT")


class Sections(msgspec.Struct):
    """State of a log that has only the fleet's section."""

    fleet: FleetState = msgspec.field(default_factory=FleetState)


class Costs(msgspec.Struct, frozen=True):
    """Costs measured with one number of commands.

    Attributes
    ----------
    commands
        Number of commands applied.
    parse_us, apply_us
        Processor time in µs of parsing and of applying one command.
    last_apply_us
        Processor time in µs of applying one of the last tenth of the commands,
        when the state is largest.
    bytes_each
        Memory in bytes added by each command.
    snapshot_kb
        Size of a snapshot in KiB.
    snapshot_ms, restore_ms
        Processor time in ms of taking and of restoring a snapshot.
    """

    commands: int
    parse_us: float
    apply_us: float
    last_apply_us: float
    bytes_each: float
    snapshot_kb: float
    snapshot_ms: float
    restore_ms: float


def make_machine() -> SectionedMachine[Sections]:
    """Return an empty state machine with the fleet's section."""
    return SectionedMachine(Sections, {"fleet": fleet_commands}, FLEET_REPLY_TYPES)


def make_commands(count: int) -> list[SubmitCommand]:
    """Return commands that alternately create jobs and set configuration."""
    commands = []
    for number in range(1, count + 1):
        text = TEXTS[number % len(TEXTS)].format(team=number % TENANTS)
        statement = parse(text).unwrap()
        command = SubmitCommand(
            operator=OperatorName(f"operator{number % 3}"),
            number=CommandNumber(number),
            text=text,
            statement=cast(AnyCommandStatement, statement),
            at=START + number * COMMAND_INTERVAL,
        )
        commands.append(command)
    return commands


def measure(count: int) -> Costs:
    """Measure the costs of ``count`` commands."""
    parse_seconds, commands = _time(lambda: make_commands(count))
    machine = make_machine()
    encoded = [machine.encode_command(command) for command in commands]
    del commands
    last = count - count // 10
    first_seconds, _ = _time(lambda: _apply(machine, encoded[:last]))
    last_seconds, _ = _time(lambda: _apply(machine, encoded[last:]))
    snapshot_seconds, snapshot = _time(machine.take_snapshot)
    restore_seconds, _ = _time(lambda: machine.restore(snapshot))
    return Costs(
        commands=count,
        parse_us=parse_seconds / count * MICROSECONDS_PER_SECOND,
        apply_us=(first_seconds + last_seconds) / count * MICROSECONDS_PER_SECOND,
        last_apply_us=last_seconds / (count - last) * MICROSECONDS_PER_SECOND,
        bytes_each=_measure_memory(snapshot) / count,
        snapshot_kb=len(snapshot) / 1024,
        snapshot_ms=snapshot_seconds * MILLISECONDS_PER_SECOND,
        restore_ms=restore_seconds * MILLISECONDS_PER_SECOND,
    )


def main(arguments: Sequence[str]) -> int:
    """Print the table for the flags in ``arguments`` and return the exit code.

    Raises
    ------
    UsageError
        If a flag is unknown or has a wrong value.
    """
    values = flags.FlagValues()
    flags.DEFINE_integer("runs", 3, "Runs of each row.", 1, flag_values=values)
    flags.DEFINE_multi_integer(
        "commands", [1_000, 5_000, 20_000], "Commands.", 10, flag_values=values
    )
    try:
        values(["fleet", *arguments])
    except flags.Error as error:
        raise UsageError(str(error)) from error
    names = Costs.__struct_fields__
    sys.stdout.write(" | ".join(names) + "\n")
    for count in values.commands:
        runs = [measure(count) for _ in range(values.runs)]
        cells = [_format_spread([getattr(run, name) for run in runs]) for name in names]
        sys.stdout.write(" | ".join(cells) + "\n")
    return 0


def _apply(machine: SectionedMachine[Sections], encoded: Sequence[bytes]) -> None:
    for index, command in enumerate(encoded):
        machine.apply(LogIndex(index), command)


def _time(work: Callable[[], ValueT]) -> tuple[float, ValueT]:
    gc.collect()
    start = time.process_time()
    value = work()
    return time.process_time() - start, value


def _measure_memory(snapshot: bytes) -> int:
    gc.collect()
    tracemalloc.start()
    machine = make_machine()
    machine.restore(snapshot)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _format_spread(values: Sequence[float]) -> str:
    median = statistics.median(values)
    return f"{median:.4g} [{min(values):.4g}, {max(values):.4g}]"


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
