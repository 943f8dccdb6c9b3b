"""Merge the log lines of several processes about one request into a timeline.

Clocks of processes differ. Lines of one process keep their order. Between
processes, an event that must follow another gives a lower bound for the offset of
their clocks, and the times of the later process are shifted by it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime, timedelta

import msgspec

COMMON_FIELDS = frozenset({"at", "level", "area", "event"})
# Fields with the id of another object on which the request depends.
RELATED_FIELDS = ("worker",)
# Separates the job's id from the rest of a task's id.
TASK_SEPARATOR = "."
NO_OFFSET = timedelta()
# Pairs of an event and an event of another process that always follows it, for
# the same job.
CAUSAL_EVENTS: tuple[tuple[str, str], ...] = (
    ("job-accepted", "request-answered"),
    ("job-cancelled", "request-answered"),
    ("job-not-accepted", "request-undecided"),
)
# Events of workers and leaders that can explain the outcome of a run.
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
    """One log line of one process.

    Attributes
    ----------
    process
        Name of the process, taken from the prefix of the line or from the file.
    position
        Index of the line in its file.
    at
        Time on the clock of the process.
    event
        Event name.
    ids
        All other fields of the event.
    """

    process: str
    position: int
    at: datetime
    event: str
    ids: Mapping[str, object]

    def concerns(self, wanted: str) -> bool:
        """Return whether a field is ``wanted`` or names a task or path of that job."""
        return any(_matches(str(value), wanted) for value in self.ids.values())


def read_lines(name: str, texts: Iterable[str]) -> list[LogLine]:
    """Parse the structured lines of a file; skip all others.

    Parameters
    ----------
    name
        Name of the file, used as the process name of lines without a prefix.
    texts
        The lines. The last word before the JSON object of a line, such as a
        collector's prefix, is used as the process name.
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
        ids = {key: each for key, each in content.items() if key not in COMMON_FIELDS}
        found.append(LogLine(process, position, at, event, ids))
    return found


def format_timeline(wanted: str, lines: Sequence[LogLine]) -> list[str]:
    """Return the lines about an id in order, formatted as text.

    Includes the events of the same period about the workers that these lines
    name and about changes of leadership.
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
    """Return for each process the offset that places effects after their causes."""
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
                current = offsets.get(line.process, NO_OFFSET)
                offsets[line.process] = max(current, needed)
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


def _format_line(line: LogLine, elapsed: timedelta) -> str:
    details = " ".join(f"{name}={value}" for name, value in line.ids.items())
    return f"{elapsed.total_seconds():9.3f} s  {line.process}  {line.event}  {details}"
