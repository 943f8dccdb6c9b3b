"""What controllers say to workers, as JSON."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from rhubarbfield.types import AttemptState, Epoch
from rhubarbfield.workers.bounds import (
    ATTEMPTS,
    FRACTION,
    MAX_ATTEMPTS,
    MAX_ID_LENGTH,
    MAX_TEXT_LENGTH,
    NUMBER,
    TEXT,
    OnWireAttempt,
    OnWireCheckpoint,
    OnWireEpoch,
    OnWireTask,
    Resources,
)
from rhubarbfield.workers.streams import ConnectionRefused, Message


class SessionOpened(Message, frozen=True, kw_only=True):
    """Accepts a hello.

    Attributes
    ----------
    epoch
        The epoch of the session, above all before it. The worker refuses
        orders that carry another one.
    renew_seconds
        How often the worker is to renew its lease.
    usage_seconds
        How often the worker is to report usage.
    keep
        The attempts that the worker may go on with, or whose end is still to
        be reported. It drops all others before it does anything else.
    """

    epoch: OnWireEpoch
    renew_seconds: float
    usage_seconds: float
    keep: Annotated[tuple[OnWireAttempt, ...], ATTEMPTS] = ()


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

    number: Annotated[int, NUMBER]
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

    task: OnWireTask
    epoch: OnWireEpoch
    resources: Resources
    checkpoint: OnWireCheckpoint | None = None
    argument: Annotated[str, Meta(max_length=MAX_TEXT_LENGTH * 4)] = ""


class Throttle(Order, frozen=True, kw_only=True):
    """Give an attempt this fraction of the cores set aside for it."""

    fraction: Annotated[float, FRACTION]


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

    reason: Annotated[str, TEXT]
    evict: bool = False


class CommittedReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report that is committed: its attempt and the state it told of."""

    attempt: OnWireAttempt
    state: AttemptState


class ReportsCommitted(Message, frozen=True, kw_only=True):
    """Reports that the worker need not repeat.

    It may forget an attempt once the report of its end is among them.

    Attributes
    ----------
    reports
        What was committed.
    """

    reports: Annotated[tuple[CommittedReport, ...], Meta(max_length=2 * MAX_ATTEMPTS)]


class GoToLeader(Message, frozen=True, kw_only=True):
    """Another controller leads the failure domain, or none does at present.

    Attributes
    ----------
    address
        ``host:port`` of the leader; empty while there is none.
    """

    address: Annotated[str, Meta(max_length=MAX_ID_LENGTH)] = ""


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
