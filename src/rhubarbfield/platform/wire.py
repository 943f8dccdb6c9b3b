"""Messages of runners and operators, and the scheduler's types for them."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.platform.jobwire import DECODE_ERRORS, Message
from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.heartbeats import Heartbeat
from rhubarbfield.scheduling.model import (
    CheckpointToken,
    Demand,
    Label,
    MachineName,
    Queue,
    QueueConfiguration,
    QueueName,
    RunNumber,
    TaskName,
    WorkerService,
)
from rhubarbfield.scheduling.ports import ActiveRun, ListedEnd, Refusal, WorkerView
from rhubarbfield.scheduling.ranges import (
    MAX_INTEGER,
    Count,
    LatencyGoal,
    Megabytes,
    Millicores,
    Priority,
    Slowdown,
    Timeout,
    WorkerMilliseconds,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import MAX_PORT, FailureDomain, ServiceName, WorkerId

MAX_ENDS_LISTED = 500  # ends in one reply of a runner


class WireRoute(Message, frozen=True):
    """A route, which the scheduler treats as a queue of jobs."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: Timeout
    service: str
    target_latency_ms: LatencyGoal = 0
    priority: Priority = 0
    max_attempts: Count = 1
    # Slowdown goal: a job's duration as a multiple of its longest chain of work.
    stretch: Slowdown = 1.0
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


class WireService(Message, frozen=True):
    """A service, which is a pool of runners that run the tasks of its routes."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class WireConfiguration(Message, frozen=True):
    """A complete configuration."""

    version: Count
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: dict[str, Any]


class WireCapacity(Message, frozen=True):
    """Total resources of a runner, the processor in millicores."""

    cpu: Millicores
    mem_mb: Megabytes
    gpu: Count = 0


class WireHeartbeat(Message, frozen=True):
    """A periodic report of a runner about itself."""

    service: str
    address: str
    # Failure domain of the runner.
    zone: str
    state: str
    sequence: Count
    capacity: WireCapacity
    slots: Count = 0
    machine: str = ""
    # Kind of the runner, then its rack.
    labels: tuple[str, ...] = ()
    # Monotonic clock of the runner, not a time of day.
    clock_ms: WorkerMilliseconds | None = None
    # Minimum time that a draining runner keeps running.
    remaining_ms: WorkerMilliseconds | None = None


class WireReply(Message, frozen=True):
    """Reply of a runner to an order; a refusal gives a reason."""

    clock_ms: WorkerMilliseconds | None = None
    reason: str = ""


class WireView(Message, frozen=True):
    """Reply of a runner to ``/hold``.

    A row of active runs is task, run, checkpoint, percent and, optionally, a
    measure; a row of ended runs is number, task, run, end and checkpoint.
    """

    clock_ms: WorkerMilliseconds
    active_runs: tuple[tuple[Any, ...], ...] = ()
    ended_runs: tuple[tuple[Any, ...], ...] = ()

    def to_view(self) -> WorkerView:
        """Return the lists as the scheduler's type.

        Raises
        ------
        ValueError, IndexError, TypeError, OverflowError
            If a row does not have the expected entries, or a number is out of range.
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

_configuration_decoder = msgspec.json.Decoder(WireConfiguration)
_heartbeat_decoder = msgspec.json.Decoder(WireHeartbeat)


def decode_configuration(body: bytes) -> Result[QueueConfiguration, str]:
    """Decode a configuration, or return why it is invalid."""
    try:
        document = msgspec.json.decode(body)
        wire = _configuration_decoder.decode(body)
    except DECODE_ERRORS as error:
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
    except DECODE_ERRORS as error:
        return Failure(f"the heartbeat can't be read: {error}")
    draining = DRAINING_BY_STATE.get(wire.state)
    if draining is None:
        return Failure(f"state {wire.state!r} is not known")
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
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
        run=RunNumber(_read_number(run)),
        checkpoint=CheckpointToken(str(checkpoint)),
        percent=_read_percent(percent),
        measure=_read_measure(rest[0]) if rest else None,
    )


def _read_number(value: Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"a number of a run or an end is not 0 to {MAX_INTEGER}")
    return number


def _read_percent(value: Any) -> float:
    percent = float(value)
    if not math.isfinite(percent):
        raise ValueError(f"{percent} is no percent")
    return percent


def _read_measure(value: Any) -> float | None:
    """Return a measure; None if there is none, or it is negative or not finite."""
    if value is None:
        return None
    measure = float(value)
    return measure if math.isfinite(measure) and measure >= 0 else None


def _read_end(row: tuple[Any, ...]) -> ListedEnd:
    number, task, run, end, checkpoint = row
    return ListedEnd(
        number=_read_number(number),
        task=TaskName(str(task)),
        run=RunNumber(_read_number(run)),
        end=RunEnd(end),
        checkpoint=CheckpointToken(str(checkpoint)),
    )
