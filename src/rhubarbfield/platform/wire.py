"""The platform's messages, and what they are called inside the program."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.heartbeats import Heartbeat
from rhubarbfield.scheduling.model import (
    CheckpointToken,
    Demand,
    ImageName,
    JobSubmission,
    Label,
    MachineName,
    Queue,
    QueueConfiguration,
    QueueName,
    Recurrence,
    RunNumber,
    Step,
    TaskName,
    WorkerService,
)
from rhubarbfield.scheduling.ports import ActiveRun, ListedEnd, Refusal, WorkerView
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import FailureDomain, RackName, ServiceName, WorkerId

MAX_PAYLOAD_CHARACTERS = 4_000
MAX_ENDS_LISTED = 500
MAX_STEPS = 256
MAX_TASKS = 4_096

Count = Annotated[int, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Base of all messages; unknown fields are passed over."""


class WireStep(_Message, frozen=True):
    """A step of a job. Zero, false and empty fields are left out."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: Count = 0
    start_after: tuple[Count, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # One label, in spite of the plural.
    requirements: str = ""
    # The rack that holds the data.
    affinity: str = ""
    # Most tasks of the step on one runner.
    anti_affinity: Count = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Count = 0
    fills: bool = False
    may_miss: Count | None = None

    def to_step(self) -> Step:
        """Return the step in the program's words."""
        return Step(
            tasks=self.count,
            demand=Demand(self.cpu, self.mem_mb, self.gpu),
            estimate_ms=self.estimated_ms,
            after=self.start_after,
            checkpoints=self.saves_progress,
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=Label(self.requirements),
            preferred_rack=RackName(self.affinity),
            max_per_worker=self.anti_affinity,
            copies_allowed=self.allow_duplicates,
            standing=self.long_running,
            image=ImageName(self.image),
            tail_goal_ms=self.target_ms,
            uses_spare_cores=self.fills,
            disruption_budget=self.may_miss,
        )


class WireJob(_Message, frozen=True):
    """A job as clients hand it in."""

    spec: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)]
    steps: Annotated[
        tuple[WireStep, ...], msgspec.Meta(min_length=1, max_length=MAX_STEPS)
    ]
    repeat_count: Count = 0
    start_at_ms: int = 0
    interval_ms: Count = 0

    def to_submission(self) -> JobSubmission:
        """Return the job in the program's words."""
        recurrence = None
        if self.repeat_count:
            recurrence = Recurrence(
                self.repeat_count, self.start_at_ms, self.interval_ms
            )
        steps = tuple(step.to_step() for step in self.steps)
        return JobSubmission(payload=self.spec, steps=steps, recurrence=recurrence)


class WireRoute(_Message, frozen=True):
    """A route, which is a queue of jobs."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: Annotated[int, msgspec.Meta(gt=0)]
    service: str
    target_latency_ms: Count = 0
    priority: int = 0
    max_attempts: Count = 1
    stretch: float = 1.0
    # Only says that runners need a ticket; the times are those of the adviser.
    advice: dict[str, Any] | None = None

    def to_queue(self) -> Queue:
        """Return the queue in the program's words."""
        return Queue(
            name=QueueName(self.name),
            host=self.hostname,
            prefix=self.path_prefix,
            service=ServiceName(self.service),
            priority=self.priority,
            max_attempts=max(self.max_attempts, 1),
            slowdown_goal=self.stretch,
            latency_goal_ms=self.target_latency_ms,
            timeout_ms=self.timeout_ms,
            advised=bool(self.advice),
        )


class WireService(_Message, frozen=True):
    """A service, which is a pool of runners."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class WireConfiguration(_Message, frozen=True):
    """A complete configuration."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: dict[str, Any]


class WireCapacity(_Message, frozen=True):
    """What a runner holds."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class WireHeartbeat(_Message, frozen=True):
    """A runner's report about itself."""

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    capacity: WireCapacity
    machine: str = ""
    # The runner's kind, then its rack.
    labels: tuple[str, ...] = ()
    # Not a time of day: the runner's own steady clock.
    clock_ms: int | None = None
    remaining_ms: int | None = None


class WireReply(_Message, frozen=True):
    """What a runner answers to every order."""

    clock_ms: int | None = None
    reason: str = ""


class WireView(_Message, frozen=True):
    """What a runner answers to ``/hold``."""

    clock_ms: int
    active_runs: tuple[tuple[Any, ...], ...] = ()
    ended_runs: tuple[tuple[Any, ...], ...] = ()

    def to_view(self) -> WorkerView:
        """Return the lists in the program's words.

        Raises
        ------
        ValueError, IndexError, TypeError
            If a row has other entries than expected.
        """
        return WorkerView(
            clock=self.clock_ms * MILLISECOND,
            active=tuple(_read_active(row) for row in self.active_runs),
            ends=tuple(_read_end(row) for row in self.ended_runs),
            truncated=len(self.ended_runs) >= MAX_ENDS_LISTED,
        )


REFUSALS = {
    "fence": Refusal.DEPOSED,
    "old": Refusal.SUPERSEDED,
    "late": Refusal.EXPIRED,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}
STATES_DRAINING = {"ready": False, "draining": True}

_jobs = msgspec.json.Decoder(WireJob)
_configurations = msgspec.json.Decoder(WireConfiguration)
_heartbeats = msgspec.json.Decoder(WireHeartbeat)


def decode_job(body: bytes) -> Result[JobSubmission, str]:
    """Read a job; the failure says what is wrong with it."""
    try:
        job = _jobs.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the job can't be read: {error}")
    for number, step in enumerate(job.steps):
        if any(before >= number for before in step.start_after):
            return Failure(f"step {number} starts after a step that is not before it")
    return Success(job.to_submission())


def decode_configuration(body: bytes) -> Result[QueueConfiguration, str]:
    """Read a configuration; the failure says what is wrong with it."""
    try:
        document = msgspec.json.decode(body)
        wire = _configurations.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the configuration can't be read: {error}")
    services = {service.name for service in wire.services}
    places: set[tuple[str, str]] = set()
    for route in wire.routes:
        if route.service not in services:
            return Failure(
                f"route {route.name!r} names unknown service {route.service!r}"
            )
        place = (route.hostname, route.path_prefix)
        if place in places:
            return Failure(f"two routes share host and prefix {place}")
        places.add(place)
    return Success(
        QueueConfiguration(
            version=wire.version,
            queues=tuple(route.to_queue() for route in wire.routes),
            services=tuple(
                WorkerService(
                    name=ServiceName(service.name),
                    workers_guard_capacity=service.enforces_capacity,
                    standby=service.standby,
                )
                for service in wire.services
            ),
            document=msgspec.json.encode(document, order="sorted"),
        )
    )


def decode_heartbeat(worker: str, body: bytes) -> Result[Heartbeat, str]:
    """Read a heartbeat; the failure says what is wrong with it."""
    try:
        wire = _heartbeats.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the heartbeat can't be read: {error}")
    draining = STATES_DRAINING.get(wire.state)
    if draining is None:
        return Failure(f"state {wire.state!r} is not known")
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdecimal():
        return Failure(f"address {wire.address!r} is not host:port")
    report = WorkerReport(
        worker=WorkerId(worker),
        machine=MachineName(wire.machine),
        service=ServiceName(wire.service),
        address=wire.address,
        zone=FailureDomain(wire.zone),
        capacity=Demand(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        labels=tuple(Label(label) for label in wire.labels),
        draining=draining,
    )
    return Success(
        Heartbeat(
            report=report,
            sequence=wire.sequence,
            clock=_to_duration(wire.clock_ms),
            remaining=_to_duration(wire.remaining_ms),
        )
    )


def _to_duration(milliseconds: int | None) -> timedelta | None:
    return None if milliseconds is None else milliseconds * MILLISECOND


def _read_active(row: tuple[Any, ...]) -> ActiveRun:
    task, run, saved, percent, *rest = row
    return ActiveRun(
        task=TaskName(str(task)),
        run=RunNumber(int(run)),
        checkpoint=CheckpointToken(str(saved)),
        percent=float(percent),
        measure=float(rest[0]) if rest and rest[0] is not None else None,
    )


def _read_end(row: tuple[Any, ...]) -> ListedEnd:
    number, task, run, how, saved = row
    return ListedEnd(
        number=int(number),
        task=TaskName(str(task)),
        run=RunNumber(int(run)),
        end=RunEnd(how),
        checkpoint=CheckpointToken(str(saved)),
    )
