"""Heartbeats of workers that the controller calls."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.groups import NotLeading
from rhubarbfield.peering import CallMethod, make_call_stream
from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.model import StateVersion
from rhubarbfield.scheduling.state import SchedulingState
from rhubarbfield.types import InstanceName, WorkerId


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """A periodic message of a worker.

    Attributes
    ----------
    report
        The worker's description of itself.
    sequence
        Grows with each heartbeat of this incarnation.
    clock
        The worker's clock, if the message has it.
    remaining
        Minimum time a draining worker continues to run, if the message has it.
    """

    report: WorkerReport
    sequence: int
    clock: timedelta | None = None
    remaining: timedelta | None = None


class Departure(msgspec.Struct, frozen=True, tag=True):
    """A worker's announcement of its exit."""

    worker: WorkerId


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that was answered without the leader.

    Attributes
    ----------
    worker, sequence, clock
        As in the heartbeat.
    age
        Time since the heartbeat was received.
    """

    worker: WorkerId
    sequence: int
    clock: timedelta | None
    age: timedelta


class HeartbeatDigest(msgspec.Struct, frozen=True, tag=True):
    """The heartbeats that a controller has answered since its last digest.

    Attributes
    ----------
    sightings
        The heartbeats.
    sender
        The controller; "" if it is of an earlier version.
    state_version
        The rules that it knows for applying commands.
    """

    sightings: tuple[Sighting, ...]
    sender: InstanceName = InstanceName("")
    state_version: StateVersion = StateVersion(0)


class HeartbeatHandled(msgspec.Struct, frozen=True, tag=True):
    """The leader has handled a heartbeat or a departure.

    Attributes
    ----------
    is_recorded
        Whether what the worker reported is committed.
    """

    is_recorded: bool


class DigestHandled(msgspec.Struct, frozen=True, tag=True):
    """The leader has handled a digest.

    Attributes
    ----------
    unknown
        Workers of the digest that have no record.
    """

    unknown: tuple[WorkerId, ...]


HeartbeatRequest = Heartbeat | Departure | HeartbeatDigest
HeartbeatReply = HeartbeatHandled | DigestHandled | NotLeading

HEARTBEAT_CALL = CallMethod(
    "/rhubarbfield.Scheduling/Heartbeat", HeartbeatRequest, HeartbeatReply
)
HEARTBEAT_STREAM = make_call_stream(
    HEARTBEAT_CALL, "/rhubarbfield.Scheduling/Heartbeats"
)


def is_recorded(state: SchedulingState, report: WorkerReport) -> bool:
    """Return whether a report would not change the worker's record."""
    worker = state.workers.get(report.worker)
    return (
        worker is not None
        and worker.address == report.address
        and worker.draining >= report.draining
        and worker.capacity == report.capacity
        and worker.labels == report.labels
        and worker.service == report.service
    )
