"""What can happen in a trace."""

from __future__ import annotations

from typing import Annotated

import msgspec

MOST_SECONDS = 7 * 24 * 3600
MOST_OF_A_KIND = 100
MOST_REQUESTS = 10_000
SLOWEST_FACTOR = 1000.0

Seconds = Annotated[float, msgspec.Meta(ge=0, le=MOST_SECONDS)]
Name = Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9]{0,31}$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=MOST_OF_A_KIND)]
Requests = Annotated[int, msgspec.Meta(ge=1, le=MOST_REQUESTS)]
Factor = Annotated[float, msgspec.Meta(ge=0.01, le=SLOWEST_FACTOR)]
Timeout = Annotated[float, msgspec.Meta(gt=0, le=MOST_SECONDS)]


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
    size_factor
        How many times what they declare the tasks really use.
    failing
        The fraction of tasks that fail wherever they run.
    mean_run_seconds
        Mean time that a backend server takes for a request.
    settle_seconds
        How long work may go on at most after the last event, with all faults
        mended.
    """

    name: str
    domains: dict[Name, tuple[Name, ...]]
    diskless: tuple[Name, ...] = ()
    workers_each: Count = 2
    servers_each: Count = 2
    seed: int = 0
    size_factor: Factor = 1.0
    failing: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    mean_run_seconds: Factor = 0.05
    settle_seconds: Seconds = 120.0


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

    at: Seconds
    outcome: str = ""


class Ask(TraceEvent, frozen=True):
    """A caller asks an entry.

    Its outcome is ``answered``, ``not-run`` or ``unknown``; that of an entry
    whose process is down is ``refused``.
    """

    entry: str
    tenant: str = "house-a"
    key: str = ""
    timeout_seconds: Timeout = 5.0


class Burst(TraceEvent, frozen=True):
    """Many requests of one tenant come to an entry, evenly spread.

    Its outcome is ``answered`` if all were, else ``mixed``.
    """

    entry: str
    tenant: str = "house-a"
    requests: Requests = 100
    over_seconds: Seconds = 1.0
    timeout_seconds: Timeout = 5.0


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


class Reset(TraceEvent, frozen=True):
    """Open connections between two hosts break, and both sides notice."""

    one: str
    other: str


class Slow(TraceEvent, frozen=True):
    """All messages take this many times as long."""

    factor: Factor


class FailEverything(TraceEvent, frozen=True):
    """From now on a worker fails whatever it starts, or does so no longer."""

    worker: str
    fails: bool = True


class Freeze(TraceEvent, frozen=True):
    """A worker process stalls for some time and then goes on."""

    worker: str
    seconds: Seconds


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
    | Burst
    | Command
    | Kill
    | Start
    | LoseDisk
    | Cut
    | HealAll
    | Silence
    | Reset
    | Slow
    | FailEverything
    | Freeze
    | Leave
    | CheckJob
    | CheckConfiguration
)


class Trace(msgspec.Struct, frozen=True):
    """A fleet and what happens to it."""

    fleet: TracedFleet
    events: tuple[AnyEvent, ...]
