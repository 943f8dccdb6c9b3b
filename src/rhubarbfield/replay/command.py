"""The subcommand that replays traces."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TextIO

import msgspec
import trio
from returns.result import Failure, Success
from trio.testing import MockClock

from rhubarbfield.exceptions import EXIT_FAILURE, UsageError
from rhubarbfield.replay.events import Trace
from rhubarbfield.replay.file import load_trace, write_trace
from rhubarbfield.replay.player import Verdict, play_trace


def replay_traces(
    files: Sequence[str], output: TextIO, *, record: str | None = None
) -> int:
    """Replay each trace and print what differs.

    Parameters
    ----------
    files
        The traces.
    output
        Where to print.
    record
        A file to which to write the trace with the outcomes that were seen;
        for a single trace.

    Returns
    -------
    int
        The exit code: 1 if anything differed.

    Raises
    ------
    UsageError
        If a file is no trace.
    """
    if record is not None and len(files) != 1:
        raise UsageError("only one trace can be recorded", "name a single file")
    logging.getLogger("rhubarbfield").setLevel(logging.CRITICAL)
    traces = [(file, _read(file)) for file in files]
    held = True
    for file, trace in traces:
        verdict = trio.run(play_trace, trace, clock=MockClock(autojump_threshold=0))
        _print_verdict(file, trace, verdict, output)
        held = held and verdict.holds
        if record is not None:
            write_trace(record, _state_outcomes(trace, verdict))
    return 0 if held else EXIT_FAILURE


def _read(file: str) -> Trace:
    match load_trace(file):
        case Success(trace):
            return trace
        case Failure(problem):
            raise UsageError(problem.format())
    raise AssertionError


def _print_verdict(file: str, trace: Trace, verdict: Verdict, output: TextIO) -> None:
    count = len(trace.events)
    differences = len(verdict.differences) + len(verdict.violations)
    told = f"{differences} differences" if differences else "as stated"
    output.write(f"{file}: {trace.fleet.name}: {count} events, {told}\n")
    for played in verdict.differences:
        event = msgspec.json.encode(played.event).decode()
        output.write(f"  {event}\n    came out as {played.seen}\n")
    for violation in verdict.violations:
        output.write(f"  promise broken: {violation}\n")


def _state_outcomes(trace: Trace, verdict: Verdict) -> Trace:
    events = tuple(
        msgspec.structs.replace(played.event, outcome=played.seen)
        for played in verdict.played
    )
    return Trace(trace.fleet, events)
