"""The fleet and the events of a trace."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_SECONDS = 7 * 24 * 3600
MAX_COUNT = 100
MAX_REQUESTS = 10_000
MAX_FACTOR = 1000.0

Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Name = Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9]{0,31}$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Requests = Annotated[int, msgspec.Meta(ge=1, le=MAX_REQUESTS)]
Factor = Annotated[float, msgspec.Meta(ge=0.01, le=MAX_FACTOR)]
Timeout = Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]


class TracedFleet(msgspec.Struct, frozen=True, kw_only=True, tag="fleet"):
    """The fleet that a trace is replayed on.

    Attributes
    ----------
    name
        Title of the trace.
    domains
        Instance names by failure domain.
    diskless
        Instances whose controllers lose their data when the process ends.
    workers_each, servers_each
        Number of workers and of backend servers in each failure domain.
    seed
        Seed of all random choices.
    size_factor
        Factor on the resource use that the task model draws for each task.
    failing
        Fraction of tasks that fail on every worker.
    mean_run_seconds
        Mean time that a backend server takes for a request.
    settle_seconds
        Longest time that work may take to complete after the last event, once
        all faults are repaired.
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
    """Base class of the events.

    Attributes
    ----------
    at
        Seconds since the end of the start-up phase, when all processes serve.
    outcome
        Expected outcome; alternatives are joined by ``|``. Empty if any
        outcome is allowed.
    """

    at: Seconds
    outcome: str = ""


class Ask(TraceEvent, frozen=True):
    """A caller sends a request to an entry.

    The outcome is ``answered``, ``not-run`` or ``unknown``, or ``refused`` if
    the entry's process is down.
    """

    entry: str
    tenant: str = "house-a"
    key: str = ""
    timeout_seconds: Timeout = 5.0


class Burst(TraceEvent, frozen=True):
    """Callers of one tenant send requests to an entry at a constant rate.

    The outcome is ``answered`` if all requests were answered, else ``mixed``.
    """

    entry: str
    tenant: str = "house-a"
    requests: Requests = 100
    over_seconds: Seconds = 1.0
    timeout_seconds: Timeout = 5.0


class Command(TraceEvent, frozen=True):
    """An operator sends a command to a controller.

    The outcome is ``accepted``, ``declined`` or the kind of the failure, such
    as ``clash`` or ``no-quorum``; ``syntax`` if the text is not a command, and
    ``refused`` if the controller's process is down.
    """

    controller: str
    operator: str
    number: int
    text: str


class Kill(TraceEvent, frozen=True):
    """Kill a process: ``controller a1``, ``entry a1``, ``worker w-north-0``."""

    process: str


class Start(TraceEvent, frozen=True):
    """Start a killed process again."""

    process: str


class LoseDisk(TraceEvent, frozen=True):
    """Kill a controller and delete its data folder."""

    instance: str


class Cut(TraceEvent, frozen=True):
    """Drop all messages from the sources to the targets.

    Attributes
    ----------
    sources, targets
        Instances, workers or backend servers; a failure domain stands for
        everything in it.
    one_way
        Whether messages from the targets to the sources are still delivered.
    """

    sources: tuple[str, ...]
    targets: tuple[str, ...]
    one_way: bool = False


class HealAll(TraceEvent, frozen=True):
    """End all cuts and slowness.

    New connections work again; open connections that a cut silenced stay
    silent.
    """


class Silence(TraceEvent, frozen=True):
    """Drop all messages on the open connections between two hosts, for good.

    The connections stay open.
    """

    one: str
    other: str


class Reset(TraceEvent, frozen=True):
    """Reset the open connections between two hosts; both ends see it."""

    one: str
    other: str


class Slow(TraceEvent, frozen=True):
    """Multiply the delay of all messages by a factor."""

    factor: Factor


class FailEverything(TraceEvent, frozen=True):
    """Make a worker fail every task that it starts, or end that fault."""

    worker: str
    fails: bool = True


class Freeze(TraceEvent, frozen=True):
    """Suspend a worker process for some time."""

    worker: str
    seconds: Seconds


class Leave(TraceEvent, frozen=True):
    """Make a backend server announce that it is leaving."""

    server: str


class CheckJob(TraceEvent, frozen=True):
    """Read the state of a job at a controller.

    The outcome is the job's state, or ``unknown`` if the controller is down or
    has no such job.
    """

    controller: str
    job: str


class CheckConfiguration(TraceEvent, frozen=True):
    """Read the configuration version in force.

    The outcome is the lowest version of all running controllers and entries.
    """


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
    """A fleet and the events that are replayed on it, in order of time."""

    fleet: TracedFleet
    events: tuple[AnyEvent, ...]
