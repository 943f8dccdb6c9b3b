"""Dimensions of input that the random days of scheduling draw from.

Each has a range and a source, a sentence of the users' pages. Values at which the
behaviour may change are drawn more often than others. What was drawn is counted.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from enum import Enum

import msgspec

BOUNDARY_SHARE = 0.4  # of the draws from a range that has boundary values


class Dimension(msgspec.Struct, frozen=True):
    """One dimension of input.

    Attributes
    ----------
    name, source
        What is drawn, and the sentence that allows it.
    boundaries
        Values that are drawn by themselves; all values, if there is no range.
    low, high
        Range of the other values, if there is one.
    """

    name: str
    source: str
    boundaries: tuple[float | str, ...] = ()
    low: float = 0.0
    high: float = 0.0

    @property
    def has_range(self) -> bool:
        """Whether values beside the boundaries are drawn."""
        return self.high > self.low

    def list_labels(self) -> list[str]:
        """Return what the draws are counted by."""
        between = [f"{self.low:g} to {self.high:g}"] if self.has_range else []
        return [format_value(each) for each in self.boundaries] + between


class Call(Enum):
    """A kind of call to a worker."""

    START = "start"
    STOP = "stop"
    VIEW = "view"
    PACE = "pace"


WIDTH = Dimension(
    "tasks of a step",
    '"A step has `Count` tasks." "The others are returned again (500 at a time)."',
    (1, 8, 48, 49, 501),  # a worker, all workers, and more ends than a list holds
    1,
    4,
)
CORES = Dimension(
    "millicores of a task",
    '"Each task requests `Cpu`." "Fields whose value is 0 [...] are omitted."',
    (0, 10, 1000, 8000),
    100,
    2000,
)
STEP_KIND = Dimension(
    "kind of step",
    '"`Gang` means that the tasks work only together", "`SavesProgress` means that it'
    ' checkpoints its progress", "`LongRunning`: the tasks run until the job is'
    ' cancelled"',
    ("plain", "gang", "gang that saves", "standing"),
)
GANG_WIDTH = Dimension(
    "members of a gang",
    '"starting from the moment when all tasks of one run are present"',
    (1, 2, 6, 9),  # 6: one for each worker
    2,
    6,
)
STEPS = Dimension(
    "steps of a job",
    '"`StartAfter` lists the numbers of earlier steps whose tasks must all be done"',
    (1, 2, 3),
)
RUN_SECONDS = Dimension(
    "seconds of a run",
    '"`EstimatedMs` is a rough estimate of a task\'s duration."',
    (0.001, 3.0, 9.0),  # the first lease, and a whole one
    0.1,
    4.0,
)
RUN_END = Dimension(
    "end of a run",
    '"one of `done`, `failed` (through its own fault or the runner\'s)"',
    ("done", "failed"),
)
IS_CANCELLED = Dimension(
    "whether a job is cancelled",
    '"DELETE cancels the job and returns 2xx or 410."',
    ("no", "yes"),
)
CANCEL_SECONDS = Dimension(
    "seconds from a submission to its cancel",
    '"DELETE cancels the job and returns 2xx or 410."',
    (0.0,),
    0.0,
    5.0,
)
LEASE_READING = Dimension(
    "lease by which a worker judges a start",
    "\"`DeadlineMs` is a time on the runner's clock. It applies to everything that runs"
    ' on that runner. It never shortens."',
    ("in the order", "of the worker"),
)
CLOCK_RATE = Dimension(
    "rate of a worker's clock",
    '"the runner\'s own steady clock, which may be 2% slow"',
    (1.0, 0.98),
    0.98,
    1.0,
)
DISTURBED_CALL = Dimension(
    "calls that are disturbed",
    '"A call that receives no response may have been executed."',
    ("all", *(call.value for call in Call)),
)
DISTURBANCE = Dimension(
    "disturbances by the calls that they are for",
    DISTURBED_CALL.source,
    tuple(
        f"{disturbance} {calls}"
        for disturbance in ("late", "deaf", "mute", "lossy")
        for calls in DISTURBED_CALL.boundaries
    ),
)
LATE_SECONDS = Dimension(
    "seconds until a late call is carried out",
    '"It may also be executed seconds later, after newer calls."',
    (0.8, 3.0, 9.4, 11.0, 12.0),  # after a time-out, and around the leases
    2.0,
    12.0,
)
TROUBLE_SECONDS = Dimension(
    "seconds of a disturbance of a worker",
    '"Workers are cut off and run on."',
    (0.7, 9.0, 9.4),
    0.5,
    13.0,
)
PAIR_SECONDS = Dimension(
    "seconds from late starts to silence",
    '"A call that receives no response may have been executed." "Workers are cut off'
    ' and run on."',
    (0.0, 1.0),
    0.0,
    1.0,
)
PAIR_SILENCE = Dimension(
    "silence after late starts",
    "cuts are in one direction, too",
    ("deaf", "mute"),
)
SILENCE_SECONDS = Dimension(
    "seconds of silence after late starts",
    '"When the lease expires, everything is killed."',
    (3.4, 9.4, 10.0),  # after the leases
    2.0,
    13.0,
)
EXIT_SECONDS = Dimension(
    "seconds from an announced exit to the end",
    '"If it receives no acknowledgement, it ends anyway, some seconds later."',
    (0.0, 3.0, 9.4, 20.0),  # after the lease: it registers again, under the same id
    0.0,
    8.0,
)
EXIT_TROUBLE = Dimension(
    "disturbance beside an announced exit",
    '"at times many seconds"; cuts are in one direction, too',
    ("none", "late", "deaf", "mute", "lossy"),
)
TERM_SECONDS = Dimension(
    "seconds of a term",
    '"the core is cut in two or cut off"',
    (0.2, 1.0, 3.5, 9.5),
    8.0,
    35.0,
)
UNLED_SECONDS = Dimension(
    "seconds without a leader",
    '"the core is cut in two or cut off"',
    (0.0, 9.5),
    0.0,
    4.0,
)
DIMENSIONS = (
    *(WIDTH, CORES, STEP_KIND, GANG_WIDTH, STEPS, RUN_SECONDS, RUN_END),
    *(IS_CANCELLED, CANCEL_SECONDS, LEASE_READING, CLOCK_RATE),
    *(DISTURBED_CALL, DISTURBANCE, LATE_SECONDS),
    *(PAIR_SECONDS, PAIR_SILENCE, SILENCE_SECONDS),
    *(TROUBLE_SECONDS, EXIT_SECONDS, EXIT_TROUBLE, TERM_SECONDS, UNLED_SECONDS),
)


class Inputs:
    """Draws from dimensions, and counts what was drawn.

    Parameters
    ----------
    rng
        Source of luck.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self.counts: Counter[tuple[str, str]] = Counter()

    def draw(self, dimension: Dimension, weights: Iterable[float] = ()) -> float:
        """Return a number of a dimension.

        Parameters
        ----------
        dimension
            The dimension.
        weights
            Weights of the boundary values; equal ones by default.
        """
        return float(self._draw(dimension, weights))

    def choose(self, dimension: Dimension, weights: Iterable[float] = ()) -> str:
        """Return a word of a dimension, or the word for a number of it."""
        return format_value(self._draw(dimension, weights))

    def choose_calls(self, disturbance: str) -> frozenset[Call]:
        """Return the calls for which a worker is disturbed in some way."""
        chosen = self.choose(DISTURBED_CALL, (3, 2, 1, 1, 1))
        self.counts[DISTURBANCE.name, f"{disturbance} {chosen}"] += 1
        return frozenset(Call if chosen == "all" else (Call(chosen),))

    def _draw(self, dimension: Dimension, weights: Iterable[float]) -> float | str:
        draw = self._random
        share = BOUNDARY_SHARE if dimension.boundaries else 0.0
        if dimension.has_range and draw.random() >= share:
            self.counts[dimension.name, dimension.list_labels()[-1]] += 1
            return draw.uniform(dimension.low, dimension.high)
        chosen = draw.choices(dimension.boundaries, list(weights) or None)[0]
        self.counts[dimension.name, format_value(chosen)] += 1
        return chosen


def format_value(value: float | str) -> str:
    """Return the word for a value."""
    return value if isinstance(value, str) else f"{value:g}"


def format_table(
    counts: Counter[tuple[str, str]], dimensions: Iterable[Dimension] = DIMENSIONS
) -> str:
    """Return how often each value was drawn, as a table; zeros are shown."""
    rows = ["| dimension | drawn |", "|---|---|"]
    for each in dimensions:
        drawn = ", ".join(
            f"{label}: {counts[each.name, label]}" for label in each.list_labels()
        )
        rows.append(f"| {each.name} | {drawn} |")
    return "\n".join(rows)
