"""Messages of the platform and their translation to the scheduler's types."""

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
MAX_ENDS_LISTED = 500  # ends in one reply of a runner
MAX_STEPS = 256
MAX_TASKS = 4_096

Count = Annotated[int, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Base of all messages; unknown fields are ignored."""


class WireStep(_Message, frozen=True):
    """A step of a job; fields left out are zero, false or empty."""

    # Number of tasks.
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    # Demand of each task, the processor in millicores.
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: Count = 0
    # Earlier steps, counted from 0, that must be complete first.
    start_after: tuple[Count, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # A single label that the runner must have, despite the plural.
    requirements: str = ""
    # Preferred rack: the one that holds the data.
    affinity: str = ""
    # Maximum number of tasks of the step on one runner; 0 means no limit.
    anti_affinity: Count = 0
    allow_duplicates: bool = False
    # Standing work: the tasks run until the job is cancelled.
    long_running: bool = False
    image: str = ""
    # Goal for the tail latency of the tasks; 0 for none.
    target_ms: Count = 0
    # The tasks use spare cores: their processor demand isn't reserved.
    fills: bool = False
    # Disruption budget: standing tasks that the scheduler may disrupt at a time.
    may_miss: Count | None = None

    def to_step(self) -> Step:
        """Return the step as the scheduler's type."""
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
    """A job as submitted by a client."""

    # Opaque payload that is passed to the runners.
    spec: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)]
    steps: Annotated[
        tuple[WireStep, ...], msgspec.Meta(min_length=1, max_length=MAX_STEPS)
    ]
    repeat_count: Count = 0
    start_at_ms: int = 0
    interval_ms: Count = 0

    def to_submission(self) -> JobSubmission:
        """Return the job as the scheduler's type."""
        recurrence = None
        if self.repeat_count:
            recurrence = Recurrence(
                self.repeat_count, self.start_at_ms, self.interval_ms
            )
        steps = tuple(step.to_step() for step in self.steps)
        return JobSubmission(payload=self.spec, steps=steps, recurrence=recurrence)


class WireRoute(_Message, frozen=True):
    """A route, which the scheduler treats as a queue of jobs."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: Annotated[int, msgspec.Meta(gt=0)]
    service: str
    target_latency_ms: Count = 0
    priority: int = 0
    max_attempts: Count = 1
    # Slowdown goal: a job's duration as a multiple of its longest chain of work.
    stretch: float = 1.0
    # If not empty, runners need a ticket. The times in it are for the adviser.
    advice: dict[str, Any] | None = None

    def to_queue(self) -> Queue:
        """Return the route as the scheduler's queue."""
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
    """A service, which is a pool of runners that run the tasks of its routes."""

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
    """Total resources of a runner, the processor in millicores."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class WireHeartbeat(_Message, frozen=True):
    """A periodic report of a runner about itself."""

    service: str
    address: str
    # Failure domain of the runner.
    zone: str
    state: str
    sequence: int
    capacity: WireCapacity
    machine: str = ""
    # Kind of the runner, then its rack.
    labels: tuple[str, ...] = ()
    # Monotonic clock of the runner, not a time of day.
    clock_ms: int | None = None
    # Minimum time that a draining runner keeps running.
    remaining_ms: int | None = None


class WireReply(_Message, frozen=True):
    """Reply of a runner to an order; a refusal gives a reason."""

    clock_ms: int | None = None
    reason: str = ""


class WireView(_Message, frozen=True):
    """Reply of a runner to ``/hold``.

    A row of active runs is task, run, checkpoint, percent and, optionally, a
    measure; a row of ended runs is number, task, run, end and checkpoint.
    """

    clock_ms: int
    active_runs: tuple[tuple[Any, ...], ...] = ()
    ended_runs: tuple[tuple[Any, ...], ...] = ()

    def to_view(self) -> WorkerView:
        """Return the lists as the scheduler's type.

        Raises
        ------
        ValueError, IndexError, TypeError
            If a row does not have the expected entries.
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
DRAINING_BY_STATE = {"ready": False, "draining": True}

_job_decoder = msgspec.json.Decoder(WireJob)
_configuration_decoder = msgspec.json.Decoder(WireConfiguration)
_heartbeat_decoder = msgspec.json.Decoder(WireHeartbeat)


def decode_job(body: bytes) -> Result[JobSubmission, str]:
    """Decode a job, or return why it is invalid."""
    try:
        job = _job_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the job can't be read: {error}")
    for number, step in enumerate(job.steps):
        if any(earlier >= number for earlier in step.start_after):
            return Failure(f"step {number} starts after a step that is not before it")
    return Success(job.to_submission())


def decode_configuration(body: bytes) -> Result[QueueConfiguration, str]:
    """Decode a configuration, or return why it is invalid."""
    try:
        document = msgspec.json.decode(body)
        wire = _configuration_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the configuration can't be read: {error}")
    services = {service.name for service in wire.services}
    prefixes: set[tuple[str, str]] = set()
    for route in wire.routes:
        if route.service not in services:
            return Failure(
                f"route {route.name!r} names unknown service {route.service!r}"
            )
        prefix = (route.hostname, route.path_prefix)
        if prefix in prefixes:
            return Failure(f"two routes share host and prefix {prefix}")
        prefixes.add(prefix)
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
    """Decode a heartbeat, or return why it is invalid."""
    try:
        wire = _heartbeat_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"the heartbeat can't be read: {error}")
    draining = DRAINING_BY_STATE.get(wire.state)
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
    task, run, checkpoint, percent, *rest = row
    return ActiveRun(
        task=TaskName(str(task)),
        run=RunNumber(int(run)),
        checkpoint=CheckpointToken(str(checkpoint)),
        percent=float(percent),
        measure=float(rest[0]) if rest and rest[0] is not None else None,
    )


def _read_end(row: tuple[Any, ...]) -> ListedEnd:
    number, task, run, end, checkpoint = row
    return ListedEnd(
        number=int(number),
        task=TaskName(str(task)),
        run=RunNumber(int(run)),
        end=RunEnd(end),
        checkpoint=CheckpointToken(str(checkpoint)),
    )
