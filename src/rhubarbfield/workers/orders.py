"""The JSON messages from controllers to workers."""

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
        The epoch of the session, greater than all earlier ones. The worker
        refuses orders that carry another epoch.
    renew_seconds
        The interval at which the worker has to renew its lease.
    usage_seconds
        The interval at which the worker has to report usage.
    keep
        The attempts that the worker may continue, or whose end it has yet to
        report. It stops and removes all others before it does anything else.
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
        The duration of the lease from the moment its request was sent; the
        worker itself subtracts the margin for clock drift.
    """

    number: Annotated[int, NUMBER]
    epoch: OnWireEpoch
    duration_seconds: float


class Order(Message, frozen=True, kw_only=True):
    """Base of the orders to a worker, each for one attempt.

    Attributes
    ----------
    session
        The epoch of the session in which the order is sent; set by the session.
    attempt
        The id of the attempt.
    """

    attempt: OnWireAttempt
    session: OnWireEpoch = Epoch(0)


class StartAttempt(Order, frozen=True, kw_only=True):
    """Start an attempt, unless the worker has seen it before.

    Attributes
    ----------
    task
        The task of the attempt.
    epoch
        Increases with each attempt at the task; a worker refuses an epoch
        lower than one it has seen.
    checkpoint
        The checkpoint to resume from, if any.
    resources
        The resources reserved for the attempt.
    argument
        The argument of the task; only its program interprets it.
    """

    task: OnWireTask
    epoch: OnWireEpoch
    resources: Resources
    checkpoint: OnWireCheckpoint | None = None
    argument: Annotated[str, Meta(max_length=MAX_TEXT_LENGTH * 4)] = ""


class Throttle(Order, frozen=True, kw_only=True):
    """Limit an attempt to a fraction of the cores reserved for it."""

    fraction: Annotated[float, FRACTION]


class TakeCheckpoint(Order, frozen=True, kw_only=True):
    """Take a checkpoint, report it and continue."""


class StopAttempt(Order, frozen=True, kw_only=True):
    """End an attempt and report its end, even if it never started.

    Attributes
    ----------
    reason
        A sentence for operators.
    evict
        Take a checkpoint first, from which another attempt resumes.
    """

    reason: Annotated[str, TEXT]
    evict: bool = False


class CommittedReport(msgspec.Struct, frozen=True, kw_only=True):
    """A committed report: its attempt and the state that it reported."""

    attempt: OnWireAttempt
    state: AttemptState


class ReportsCommitted(Message, frozen=True, kw_only=True):
    """Confirms reports, so that the worker need not repeat them.

    It may drop an attempt once the report of its end is among them.

    Attributes
    ----------
    reports
        The reports that were committed.
    """

    reports: Annotated[tuple[CommittedReport, ...], Meta(max_length=2 * MAX_ATTEMPTS)]


class GoToLeader(Message, frozen=True, kw_only=True):
    """Another controller leads the failure domain, or none does at the moment.

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
