"""The file that holds a trace.

A trace is a text file with one JSON object a line: first the fleet, then the
events in order of time. Beside an event may stand its stated outcome.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.replay.events import AnyEvent, Trace, TracedFleet
from rhubarbfield.replay.names import find_misnamed, find_wrong_fleet

MAX_TRACE_BYTES = 64 * 1024 * 1024
MAX_EVENTS = 200_000


class TraceProblem(msgspec.Struct, frozen=True):
    """Why a file is no trace.

    Attributes
    ----------
    file, line
        Where; line 0 is the file as a whole.
    reason
        What is wrong, naming the field.
    """

    file: str
    line: int
    reason: str

    def format(self) -> str:
        """Return the problem for a person."""
        place = f"{self.file}, line {self.line}" if self.line else self.file
        return f"{place}: {self.reason}"


_fleet_decoder = msgspec.json.Decoder(TracedFleet)
_event_decoder = msgspec.json.Decoder(AnyEvent)


def load_trace(path: str | Path) -> Result[Trace, TraceProblem]:
    """Read a trace.

    Parameters
    ----------
    path
        The file.

    Returns
    -------
    Result
        The trace, or the first thing that is wrong with the file.
    """
    try:
        data = Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a usable name"
        return Failure(TraceProblem(str(path), 0, f"cannot be read: {reason}"))
    return parse_trace(data, str(path))


def parse_trace(data: bytes, source: str) -> Result[Trace, TraceProblem]:
    """Read a trace from bytes; see :func:`load_trace`."""
    if len(data) > MAX_TRACE_BYTES:
        return Failure(TraceProblem(source, 0, f"more than {MAX_TRACE_BYTES} bytes"))
    lines = data.splitlines()
    if not lines:
        return Failure(TraceProblem(source, 0, "the file is empty"))
    if len(lines) > MAX_EVENTS:
        return Failure(TraceProblem(source, 0, f"more than {MAX_EVENTS} events"))
    events: list[AnyEvent] = []
    fleet: TracedFleet | None = None
    try:
        fleet = _fleet_decoder.decode(lines[0])
        for line in lines[1:]:
            events.append(_event_decoder.decode(line))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        number = 1 if fleet is None else len(events) + 2
        return Failure(TraceProblem(source, number, str(error)))
    return _check(Trace(fleet, tuple(events)), source)


def _check(trace: Trace, source: str) -> Result[Trace, TraceProblem]:
    wrong = find_wrong_fleet(trace.fleet)
    if wrong:
        return Failure(TraceProblem(source, 1, wrong))
    before = 0.0
    for number, event in enumerate(trace.events, start=2):
        if event.at < before:
            return Failure(TraceProblem(source, number, "`at` is before that above it"))
        before = event.at
        wrong = find_misnamed(trace.fleet, event)
        if wrong:
            return Failure(TraceProblem(source, number, wrong))
    return Success(trace)


def write_trace(path: str | Path, trace: Trace) -> None:
    """Write a trace that :func:`load_trace` reads."""
    lines = [msgspec.json.encode(trace.fleet)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    Path(path).write_bytes(b"\n".join(lines) + b"\n")
