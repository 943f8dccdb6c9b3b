"""Ordering the log lines of several processes about one request.

The clocks of processes differ. Within a process the order of lines is kept;
between processes, what one caused in another shows how far their clocks are
apart at least, and the times of the later process are shifted by as much.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime, timedelta

import msgspec

OWN_FIELDS = frozenset({"at", "level", "area", "event"})
# Fields by which a line names another id that its request depends on.
RELATED_FIELDS = ("worker",)
# What a job's id is followed by in the names of its tasks.
TASK_SEPARATOR = "."
NO_OFFSET = timedelta()
# What happens in one process before what it causes in another, and the fields
# by which the two lines name the same thing.
CAUSAL_EVENTS: tuple[tuple[str, str], ...] = (
    ("job-accepted", "request-answered"),
    ("job-cancelled", "request-answered"),
    ("job-not-accepted", "request-undecided"),
)
# Events of a worker or a leader that explain what happened to a run there.
CONTEXT_EVENTS = frozenset(
    {
        "worker-reported",
        "worker-silent",
        "worker-regained",
        "worker-gone",
        "lease-lapsed",
        "leading-started",
        "elected",
        "quorum-lost",
        "leadership-released",
        "controllers-lost",
        "controllers-regained",
        "lines-left-out",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of one process.

    Attributes
    ----------
    process
        Which process wrote it, as far as the file or the line tells.
    position
        Its place among the lines of its file.
    at
        The time on the process's own clock.
    event
        Its name.
    ids
        What it concerns.
    """

    process: str
    position: int
    at: datetime
    event: str
    ids: Mapping[str, object]

    def concerns(self, wanted: str) -> bool:
        """Say whether the line names an id, or a task or path of a job."""
        return any(_matches(str(value), wanted) for value in self.ids.values())


def read_lines(name: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the structured lines of a file; others are passed over.

    Parameters
    ----------
    name
        Of the file; stands for the process.
    texts
        The lines. What precedes the JSON object of a line, such as the name
        that a collector puts there, stands for the process if it has one.
    """
    found = []
    for position, text in enumerate(texts):
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            content = msgspec.json.decode(text[begin:].strip())
            at = datetime.fromisoformat(content["at"])
            event = str(content["event"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        prefix = text[:begin].split()
        process = prefix[-1] if prefix else name
        ids = {key: each for key, each in content.items() if key not in OWN_FIELDS}
        found.append(LogLine(process, position, at, event, ids))
    return found


def format_timeline(wanted: str, lines: Sequence[LogLine]) -> list[str]:
    """Return the lines about an id in their order, ready to be read.

    Besides the lines that name the id, those are told that say what became,
    meanwhile, of the workers it was on and of who leads.
    """
    matching = [line for line in lines if line.concerns(wanted)]
    if not matching:
        return []
    offsets = estimate_offsets(lines)
    ordered = sorted(
        [*matching, *_find_context(matching, lines, offsets)],
        key=lambda line: (_adjust_time(line, offsets), line.process, line.position),
    )
    started_at = _adjust_time(ordered[0], offsets)
    return [
        _format_line(line, _adjust_time(line, offsets) - started_at) for line in ordered
    ]


def estimate_offsets(lines: Iterable[LogLine]) -> dict[str, timedelta]:
    """Return by how much each process's times are moved so that causes come first."""
    caused = {effect for _, effect in CAUSAL_EVENTS}
    causes: dict[tuple[str, str], list[LogLine]] = {}
    effects = []
    for line in lines:
        for cause, effect in CAUSAL_EVENTS:
            if line.event == cause:
                key = (effect, _get_job(line))
                causes.setdefault(key, []).append(line)
        if line.event in caused:
            effects.append(line)
    offsets: dict[str, timedelta] = {}
    for line in effects:
        for earlier in causes.get((line.event, _get_job(line)), ()):
            if earlier.process != line.process:
                needed = earlier.at - line.at
                matching_ids = offsets.get(line.process, NO_OFFSET)
                offsets[line.process] = max(matching_ids, needed)
    return offsets


def _find_context(
    matching: Sequence[LogLine],
    lines: Iterable[LogLine],
    offsets: Mapping[str, timedelta],
) -> list[LogLine]:
    times = [_adjust_time(line, offsets) for line in matching]
    related = {
        str(line.ids[field])
        for line in matching
        for field in RELATED_FIELDS
        if field in line.ids
    }
    matching_ids = set(map(id, matching))
    return [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and id(line) not in matching_ids
        and min(times) <= _adjust_time(line, offsets) <= max(times)
        and ("worker" not in line.ids or str(line.ids["worker"]) in related)
    ]


def _matches(value: str, wanted: str) -> bool:
    return (
        value == wanted
        or value.startswith(wanted + TASK_SEPARATOR)
        or value.endswith("/" + wanted)
    )


def _get_job(line: LogLine) -> str:
    if "job" in line.ids:
        return str(line.ids["job"])
    return str(line.ids.get("path", "")).rpartition("/")[2]


def _adjust_time(line: LogLine, offsets: Mapping[str, timedelta]) -> datetime:
    return line.at + offsets.get(line.process, NO_OFFSET)


def _format_line(line: LogLine, since: timedelta) -> str:
    details = " ".join(f"{name}={value}" for name, value in line.ids.items())
    return f"{since.total_seconds():9.3f} s  {line.process}  {line.event}  {details}"
