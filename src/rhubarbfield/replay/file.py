"""Reading and writing of trace files.

A trace is a text file with one JSON object per line: first the fleet, then the
events in order of time, each with an optional expected outcome.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.replay.events import AnyEvent, Trace, TracedFleet
from rhubarbfield.replay.names import find_fleet_error, find_unknown_name

MAX_TRACE_BYTES = 64 * 1024 * 1024
MAX_EVENTS = 200_000


class TraceProblem(msgspec.Struct, frozen=True):
    """The reason why a file is not a valid trace.

    Attributes
    ----------
    file, line
        Position of the problem; line 0 means the file as a whole.
    reason
        Description of the problem, with the field if one is at fault.
    """

    file: str
    line: int
    reason: str

    def format(self) -> str:
        """Return the problem as one line of text."""
        position = f"{self.file}, line {self.line}" if self.line else self.file
        return f"{position}: {self.reason}"


_fleet_decoder = msgspec.json.Decoder(TracedFleet)
_event_decoder = msgspec.json.Decoder(AnyEvent)


def load_trace(path: str | Path) -> Result[Trace, TraceProblem]:
    """Read a trace file.

    Parameters
    ----------
    path
        Path of the file.

    Returns
    -------
    Result
        The trace, or the first problem found in the file.
    """
    try:
        data = Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a usable name"
        return Failure(TraceProblem(str(path), 0, f"cannot be read: {reason}"))
    return parse_trace(data, str(path))


def parse_trace(data: bytes, source: str) -> Result[Trace, TraceProblem]:
    """Decode the content of a trace file; see :func:`load_trace`.

    `source` is the file name that a problem is reported with.
    """
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
    return _validate(Trace(fleet, tuple(events)), source)


def _validate(trace: Trace, source: str) -> Result[Trace, TraceProblem]:
    error = find_fleet_error(trace.fleet)
    if error:
        return Failure(TraceProblem(source, 1, error))
    before = 0.0
    for number, event in enumerate(trace.events, start=2):
        if event.at < before:
            return Failure(TraceProblem(source, number, "`at` is before that above it"))
        before = event.at
        error = find_unknown_name(trace.fleet, event)
        if error:
            return Failure(TraceProblem(source, number, error))
    return Success(trace)


def write_trace(path: str | Path, trace: Trace) -> None:
    """Write a trace in the format that :func:`load_trace` reads."""
    lines = [msgspec.json.encode(trace.fleet)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    Path(path).write_bytes(b"\n".join(lines) + b"\n")
