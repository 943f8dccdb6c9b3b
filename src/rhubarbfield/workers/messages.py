"""The JSON messages from workers to controllers."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Result

from rhubarbfield.types import (
    AttemptState,
    FailureDomain,
    Incarnation,
    RackName,
    ServiceName,
    WorkerId,
)
from rhubarbfield.workers.bounds import (
    ATTEMPTS,
    CORES,
    FRACTION,
    ID,
    INSTANT,
    MAX_LATENCY_MS,
    MAX_MESSAGE_BYTES,
    MAX_SERVICES,
    MEMORY,
    NUMBER,
    TEXT,
    OnWireAttempt,
    OnWireCheckpoint,
    OnWireEpoch,
    OnWireTask,
    Resources,
)
from rhubarbfield.workers.streams import Malformed, Message, decode_message


class HeldAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that a worker lists when it opens a session.

    Attributes
    ----------
    attempt, task
        The ids of the attempt and its task.
    epoch
        The epoch of the order that started it.
    state
        Its state on the worker; an ended attempt stays in the list until the
        controller has confirmed that its end is committed.
    checkpoint
        The newest checkpoint, if one was taken.
    """

    attempt: OnWireAttempt
    task: OnWireTask
    epoch: OnWireEpoch
    state: AttemptState
    checkpoint: OnWireCheckpoint | None = None


class WorkerHello(Message, frozen=True, kw_only=True):
    """Opens a session; the first message of a worker on a connection.

    Attributes
    ----------
    worker, rack, domain
        The id of the worker, and the rack and failure domain it belongs to.
    incarnation
        New at each start of the worker process.
    number
        The number of the lease request that this message includes.
    capacity
        The resources that the worker offers.
    running
        All attempts on the worker, including ended ones whose end is not yet
        confirmed.
    """

    worker: Annotated[WorkerId, ID]
    rack: Annotated[RackName, ID]
    domain: Annotated[FailureDomain, ID]
    incarnation: Annotated[Incarnation, ID]
    number: Annotated[int, NUMBER]
    capacity: Resources
    running: Annotated[tuple[HeldAttempt, ...], ATTEMPTS] = ()


class RenewLease(Message, frozen=True, kw_only=True):
    """Asks to extend the lease of the worker, for all its attempts at once.

    Attributes
    ----------
    number
        The number of the request, which the answer repeats.
    epoch
        The epoch of the session.
    """

    number: Annotated[int, NUMBER]
    epoch: OnWireEpoch


class AttemptUsage(msgspec.Struct, frozen=True, kw_only=True):
    """The resource usage of one attempt over the period of a report.

    Attributes
    ----------
    attempt
        The id of the attempt.
    cores
        The mean number of processor cores used.
    memory_mb
        The peak memory usage, in MB.
    progress
        The completed fraction of the work, from 0 to 1.
    """

    attempt: OnWireAttempt
    cores: Annotated[float, CORES]
    memory_mb: Annotated[int, MEMORY]
    progress: Annotated[float, FRACTION]


class LatencySample(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of a service's requests on this worker, in milliseconds.

    Attributes
    ----------
    service
        The name of the service.
    requests
        The number of requests in the sample.
    median_ms, tail_ms
        The 50th and the 99th percentile.
    """

    service: Annotated[ServiceName, ID]
    requests: Annotated[int, NUMBER]
    median_ms: Annotated[float, Meta(ge=0, le=MAX_LATENCY_MS)]
    tail_ms: Annotated[float, Meta(ge=0, le=MAX_LATENCY_MS)]


class UsageReport(Message, frozen=True, kw_only=True):
    """Measurements of one period; may arrive with a delay.

    Attributes
    ----------
    taken_at
        When the measurement ended, in UTC.
    attempts
        One item for each attempt that ran in the period.
    services
        One item for each service with requests on this worker.
    """

    taken_at: Annotated[datetime, INSTANT]
    attempts: Annotated[tuple[AttemptUsage, ...], ATTEMPTS] = ()
    services: Annotated[tuple[LatencySample, ...], Meta(max_length=MAX_SERVICES)] = ()


class AttemptReport(Message, frozen=True, kw_only=True):
    """A change in the state of one attempt.

    The worker repeats it in every session until it is committed.

    Attributes
    ----------
    attempt
        The id of the attempt.
    epoch
        The epoch of the order that started it.
    state
        The state it has reached.
    checkpoint
        The newest checkpoint, if one was taken.
    detail
        A sentence for operators, for example why the attempt failed.
    """

    attempt: OnWireAttempt
    epoch: OnWireEpoch
    state: AttemptState
    checkpoint: OnWireCheckpoint | None = None
    detail: Annotated[str, TEXT] = ""


FromWorker: TypeAlias = WorkerHello | RenewLease | UsageReport | AttemptReport
_from_worker = msgspec.json.Decoder(FromWorker)


def decode_worker_message(data: bytes) -> Result[FromWorker, Malformed]:
    """Decode a message from a worker.

    Parameters
    ----------
    data
        One message as JSON.

    Returns
    -------
    Result[FromWorker, Malformed]
        The message, or the reason why it is invalid.
    """
    return decode_message(data, _from_worker, MAX_MESSAGE_BYTES)
