"""What workers and controllers say to each other, as JSON."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Result

from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    FailureDomain,
    Incarnation,
    RackName,
    ServiceName,
    TaskId,
    WorkerId,
)
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    Malformed,
    Message,
    decode_message,
)

MAX_MESSAGE_BYTES = 256 * 1024
MAX_ID_LENGTH = 128
MAX_TEXT_LENGTH = 1024
MAX_ATTEMPTS = 1024
MAX_SERVICES = 64
MAX_CORES = 4096.0
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_ACCELERATORS = 1024
MAX_NUMBER = 2**53
MAX_LATENCY_MS = 3_600_000.0

_ID = Meta(min_length=1, max_length=MAX_ID_LENGTH)
_OptionalId = Meta(max_length=MAX_ID_LENGTH)
_Text = Meta(max_length=MAX_TEXT_LENGTH)
_Number = Meta(ge=0, le=MAX_NUMBER)
_Cores = Meta(ge=0, le=MAX_CORES)
_Memory = Meta(ge=0, le=MAX_MEMORY_MB)
_Accelerators = Meta(ge=0, le=MAX_ACCELERATORS)
_Fraction = Meta(ge=0, le=1)
_Attempts = Meta(max_length=MAX_ATTEMPTS)
_Instant = Meta(tz=True)

OnWireEpoch: TypeAlias = Annotated[Epoch, _Number]
OnWireAttempt: TypeAlias = Annotated[AttemptId, _ID]


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """An amount in every dimension in which workers can be full.

    Attributes
    ----------
    cores
        Processor cores, also in parts.
    memory_mb
        Memory in MB.
    accelerators
        Whole accelerators.
    """

    cores: Annotated[float, _Cores] = 0.0
    memory_mb: Annotated[int, _Memory] = 0
    accelerators: Annotated[int, _Accelerators] = 0


class HeldAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that a worker answers for when it opens a session.

    Attributes
    ----------
    attempt, task
        What it is.
    epoch
        The epoch of the order that started it.
    state
        What the worker knows of it; an ended attempt stays in the list until
        the controller has said that its end is committed.
    checkpoint
        The newest checkpoint, if one was taken.
    """

    attempt: OnWireAttempt
    task: Annotated[TaskId, _ID]
    epoch: OnWireEpoch
    state: AttemptState
    checkpoint: Annotated[CheckpointId, _OptionalId] | None = None


class WorkerHello(Message, frozen=True, kw_only=True):
    """Opens a session; the first message of a worker on a connection.

    Attributes
    ----------
    worker, rack, domain
        Who it is and where it stands.
    incarnation
        New at each start of the worker process.
    number
        The number of the lease request that this message is.
    capacity
        What the worker has.
    running
        Every attempt that it answers for, ended ones included.
    """

    worker: Annotated[WorkerId, _ID]
    rack: Annotated[RackName, _ID]
    domain: Annotated[FailureDomain, _ID]
    incarnation: Annotated[Incarnation, _ID]
    number: Annotated[int, _Number]
    capacity: Resources
    running: Annotated[tuple[HeldAttempt, ...], _Attempts] = ()


class RenewLease(Message, frozen=True, kw_only=True):
    """Asks to extend the lease of the worker, for all its attempts at once.

    Attributes
    ----------
    number
        The number of the request, which the answer repeats.
    epoch
        The epoch of the session.
    """

    number: Annotated[int, _Number]
    epoch: OnWireEpoch


class AttemptUsage(msgspec.Struct, frozen=True, kw_only=True):
    """What one attempt used over the time that a report covers.

    Attributes
    ----------
    attempt
        Which attempt.
    cores
        Mean of the processor cores used.
    memory_mb
        Peak of the memory used, in MB.
    progress
        The part of the whole work that is done, from 0 to 1.
    """

    attempt: OnWireAttempt
    cores: Annotated[float, _Cores]
    memory_mb: Annotated[int, _Memory]
    progress: Annotated[float, _Fraction]


class LatencySample(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of a service's requests on this worker, in milliseconds.

    Attributes
    ----------
    service
        Whose requests.
    requests
        How many requests the sample covers.
    median_ms, tail_ms
        The 50th and the 99th percentile.
    """

    service: Annotated[ServiceName, _ID]
    requests: Annotated[int, _Number]
    median_ms: Annotated[float, Meta(ge=0, le=MAX_LATENCY_MS)]
    tail_ms: Annotated[float, Meta(ge=0, le=MAX_LATENCY_MS)]


class UsageReport(Message, frozen=True, kw_only=True):
    """Measurements, which arrive later than they were taken.

    Attributes
    ----------
    taken_at
        When the measurement ended, in UTC.
    attempts
        One entry for each attempt that ran meanwhile.
    services
        One entry for each service with requests on this worker.
    """

    taken_at: Annotated[datetime, _Instant]
    attempts: Annotated[tuple[AttemptUsage, ...], _Attempts] = ()
    services: Annotated[tuple[LatencySample, ...], Meta(max_length=MAX_SERVICES)] = ()


class AttemptReport(Message, frozen=True, kw_only=True):
    """A change in the state of one attempt.

    The worker repeats it in every session until it is committed.

    Attributes
    ----------
    attempt
        Which attempt.
    epoch
        The epoch of the order that started it.
    state
        The state it has reached.
    checkpoint
        The newest checkpoint, if one was taken.
    detail
        A sentence for a person, for example why it failed.
    """

    attempt: OnWireAttempt
    epoch: OnWireEpoch
    state: AttemptState
    checkpoint: Annotated[CheckpointId, _OptionalId] | None = None
    detail: Annotated[str, _Text] = ""


class SessionOpened(Message, frozen=True, kw_only=True):
    """Accepts a hello.

    Attributes
    ----------
    epoch
        The epoch of the session, above all before it. The worker refuses
        orders that carry another one.
    renew_seconds
        How often the worker is to renew its lease.
    keep
        The attempts that the worker may go on with, or whose end is still to
        be reported. It drops all others before it does anything else.
    """

    epoch: OnWireEpoch
    renew_seconds: float
    keep: Annotated[tuple[OnWireAttempt, ...], _Attempts] = ()


class LeaseGranted(Message, frozen=True, kw_only=True):
    """Answers a request for a lease.

    Attributes
    ----------
    number
        The number of the request that is answered.
    epoch
        The epoch of the session.
    duration_seconds
        How long the lease lasts from the moment its request was sent; the
        worker takes the drift margin off by itself.
    """

    number: Annotated[int, _Number]
    epoch: OnWireEpoch
    duration_seconds: float


class Order(Message, frozen=True, kw_only=True):
    """Base of what a worker is told to do with one attempt.

    Attributes
    ----------
    session
        The epoch of the session it is sent in; put on by the session.
    attempt
        Which attempt.
    """

    attempt: OnWireAttempt
    session: OnWireEpoch = Epoch(0)


class StartAttempt(Order, frozen=True, kw_only=True):
    """Start an attempt, unless the worker has ever seen it.

    Attributes
    ----------
    task
        The task it is an attempt at.
    epoch
        Grows with each attempt at the task; lower ones than seen are refused.
    checkpoint
        The checkpoint to resume from, if any.
    resources
        What is set aside for it.
    argument
        What the task is to do, in words that only its program knows.
    """

    task: Annotated[TaskId, _ID]
    epoch: OnWireEpoch
    resources: Resources
    checkpoint: Annotated[CheckpointId, _OptionalId] | None = None
    argument: Annotated[str, Meta(max_length=MAX_TEXT_LENGTH * 4)] = ""


class Throttle(Order, frozen=True, kw_only=True):
    """Give an attempt this fraction of the cores set aside for it."""

    fraction: Annotated[float, _Fraction]


class TakeCheckpoint(Order, frozen=True, kw_only=True):
    """Take a checkpoint and report it, and go on."""


class StopAttempt(Order, frozen=True, kw_only=True):
    """End an attempt and report its end, also if it never started.

    Attributes
    ----------
    reason
        A sentence for a person.
    evict
        Take a checkpoint first, from which another attempt resumes.
    """

    reason: Annotated[str, _Text]
    evict: bool = False


class ReportsCommitted(Message, frozen=True, kw_only=True):
    """The ends of these attempts are committed; the worker may forget them."""

    attempts: Annotated[tuple[OnWireAttempt, ...], _Attempts]


class GoToLeader(Message, frozen=True, kw_only=True):
    """Another controller leads the failure domain, or none does at present.

    Attributes
    ----------
    address
        ``host:port`` of the leader; empty while there is none.
    """

    address: Annotated[str, Meta(max_length=MAX_ID_LENGTH)] = ""


FromWorker: TypeAlias = WorkerHello | RenewLease | UsageReport | AttemptReport
ToWorker: TypeAlias = (
    SessionOpened
    | LeaseGranted
    | StartAttempt
    | Throttle
    | TakeCheckpoint
    | StopAttempt
    | ReportsCommitted
    | GoToLeader
    | ConnectionRefused
)

_from_worker = msgspec.json.Decoder(FromWorker)


def decode_worker_message(data: bytes) -> Result[FromWorker, Malformed]:
    """Decode what a worker sent.

    Parameters
    ----------
    data
        One message as JSON.

    Returns
    -------
    Result[FromWorker, Malformed]
        The message, or what is wrong with it.
    """
    return decode_message(data, _from_worker, MAX_MESSAGE_BYTES)
