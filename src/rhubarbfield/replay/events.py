"""What can happen in a trace, and the file that holds one.

A trace is a text file with one JSON object a line: first the fleet, then the
events in order of time. Beside an event may stand its stated outcome.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

MAX_TRACE_BYTES = 64 * 1024 * 1024
MAX_EVENTS = 200_000


class TracedFleet(msgspec.Struct, frozen=True, kw_only=True, tag="fleet"):
    """The fleet that a trace is played on.

    Attributes
    ----------
    name
        What the trace is about.
    domains
        For each failure domain, its instances.
    diskless
        Instances that keep nothing when their processes end.
    workers_each, servers_each
        How many of them each failure domain has.
    seed
        Of all that is left to chance.
    settle_seconds
        How long to go on after the last event, with all faults mended.
    """

    name: str
    domains: dict[str, tuple[str, ...]]
    diskless: tuple[str, ...] = ()
    workers_each: int = 2
    servers_each: int = 2
    seed: int = 0
    settle_seconds: float = 120.0


class TraceEvent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of what happens.

    Attributes
    ----------
    at
        Seconds from the moment at which all processes serve.
    outcome
        What has to come of it; alternatives are joined by ``|``. Empty if
        nothing is stated.
    """

    at: float
    outcome: str = ""


class Ask(TraceEvent, frozen=True):
    """A caller asks an entry.

    Its outcome is ``answered``, ``not-run`` or ``unknown``; that of an entry
    whose process is down is ``refused``.
    """

    entry: str
    tenant: str = "house-a"
    key: str = ""
    timeout_seconds: float = 5.0


class Command(TraceEvent, frozen=True):
    """An operator sends a command to a controller.

    Its outcome is ``accepted``, ``declined`` or the kind of the failure,
    such as ``clash`` or ``no-quorum``.
    """

    controller: str
    operator: str
    number: int
    text: str


class Kill(TraceEvent, frozen=True):
    """A process dies: ``controller a1``, ``entry a1``, ``worker w-north-0``."""

    process: str


class Start(TraceEvent, frozen=True):
    """A process that had died is started again."""

    process: str


class LoseDisk(TraceEvent, frozen=True):
    """A controller dies and its data folder is lost."""

    instance: str


class Cut(TraceEvent, frozen=True):
    """What some instances or failure domains send to others is lost.

    Attributes
    ----------
    sources, targets
        Instances, workers or backend servers; a failure domain stands for
        all that is in it.
    one_way
        Whether the other way still works.
    """

    sources: tuple[str, ...]
    targets: tuple[str, ...]
    one_way: bool = False


class HealAll(TraceEvent, frozen=True):
    """New connections work again everywhere."""


class Silence(TraceEvent, frozen=True):
    """Open connections between two hosts go silent for good."""

    one: str
    other: str


class Slow(TraceEvent, frozen=True):
    """All messages take this many times as long."""

    factor: float


class Leave(TraceEvent, frozen=True):
    """A backend server says that it leaves."""

    server: str


class CheckJob(TraceEvent, frozen=True):
    """Look at a job; the outcome is its state, or ``unknown``."""

    controller: str
    job: str


class CheckConfiguration(TraceEvent, frozen=True):
    """Look at the version in force; the outcome is the lowest of all processes."""


AnyEvent = (
    Ask
    | Command
    | Kill
    | Start
    | LoseDisk
    | Cut
    | HealAll
    | Silence
    | Slow
    | Leave
    | CheckJob
    | CheckConfiguration
)


class Trace(msgspec.Struct, frozen=True):
    """A fleet and what happens to it."""

    fleet: TracedFleet
    events: tuple[AnyEvent, ...]


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
    if len(data) > MAX_TRACE_BYTES:
        return Failure(TraceProblem(str(path), 0, f"more than {MAX_TRACE_BYTES} bytes"))
    return parse_trace(data, str(path))


def parse_trace(data: bytes, source: str) -> Result[Trace, TraceProblem]:
    """Read a trace from bytes; see :func:`load_trace`."""
    lines = data.splitlines()
    if not lines:
        return Failure(TraceProblem(source, 0, "the file is empty"))
    if len(lines) > MAX_EVENTS:
        return Failure(TraceProblem(source, 0, f"more than {MAX_EVENTS} events"))
    events: list[AnyEvent] = []
    try:
        fleet = _fleet_decoder.decode(lines[0])
        while len(events) + 1 < len(lines):
            events.append(_event_decoder.decode(lines[len(events) + 1]))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(TraceProblem(source, len(events) + 2, str(error)))
    late = next(
        (i for i in range(1, len(events)) if events[i].at < events[i - 1].at), 0
    )
    if late:
        return Failure(TraceProblem(source, late + 2, "`at` is before that above it"))
    return Success(Trace(fleet, tuple(events)))


def write_trace(path: str | Path, trace: Trace) -> None:
    """Write a trace that :func:`load_trace` reads."""
    lines = [msgspec.json.encode(trace.fleet)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    Path(path).write_bytes(b"\n".join(lines) + b"\n")
