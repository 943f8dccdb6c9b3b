"""Implementation of the ``replay`` subcommand."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from functools import partial
from typing import TextIO

import msgspec
from returns.result import Failure, Success

from rhubarbfield.exceptions import EXIT_FAILURE, UsageError
from rhubarbfield.replay.events import Trace
from rhubarbfield.replay.file import load_trace, write_trace
from rhubarbfield.replay.player import ReplayResult, play_trace
from rhubarbfield.testing.determinism import run_seeded


def replay_traces(
    files: Sequence[str], output: TextIO, *, record: str | None = None
) -> int:
    """Replay each trace and print the differences from its expected outcomes.

    Equal traces give equal outcomes: a trace's seed decides the order of tasks, too.

    Parameters
    ----------
    files
        Paths of the traces.
    output
        Stream that the report is written to.
    record
        File to which the trace is written with the observed outcomes;
        only valid with a single trace.

    Returns
    -------
    int
        The exit code: 1 if any trace showed a difference or a violation.

    Raises
    ------
    UsageError
        If a file is not a valid trace, or if `record` is given with several
        files.
    """
    if record is not None and len(files) != 1:
        raise UsageError("only one trace can be recorded", "name a single file")
    logging.getLogger("rhubarbfield").setLevel(logging.CRITICAL)
    traces = [(file, _load(file)) for file in files]
    all_passed = True
    for file, trace in traces:
        result = run_seeded(partial(play_trace, trace), trace.fleet.seed)
        _print_result(file, trace, result, output)
        all_passed = all_passed and result.passed
        if record is not None:
            write_trace(record, _set_outcomes(trace, result))
    return 0 if all_passed else EXIT_FAILURE


def _load(file: str) -> Trace:
    match load_trace(file):
        case Success(trace):
            return trace
        case Failure(problem):
            raise UsageError(problem.format())
    raise AssertionError


def _print_result(
    file: str, trace: Trace, result: ReplayResult, output: TextIO
) -> None:
    count = len(trace.events)
    differences = len(result.differences) + len(result.violations)
    summary = f"{differences} differences" if differences else "as stated"
    output.write(f"{file}: {trace.fleet.name}: {count} events, {summary}\n")
    for event_result in result.differences:
        event = msgspec.json.encode(event_result.event).decode()
        output.write(f"  {event}\n    came out as {event_result.outcome}\n")
    for violation in result.violations:
        output.write(f"  promise broken: {violation}\n")


def _set_outcomes(trace: Trace, result: ReplayResult) -> Trace:
    events = tuple(
        msgspec.structs.replace(event_result.event, outcome=event_result.outcome)
        for event_result in result.event_results
    )
    return Trace(trace.fleet, events)
