"""Orders to a worker, and what is known of their effect."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

import msgspec

from rhubarbfield.scheduling.model import CheckpointToken
from rhubarbfield.scheduling.progress import RunKey


class Start(msgspec.Struct, frozen=True):
    """Start a run that is recorded.

    Attributes
    ----------
    key, payload, checkpoint
        The run to start, its payload, and the checkpoint it resumes from.
    chosen_at, recorded_at
        Monotonic times at which the worker was chosen, and the run was recorded.
    ticket
        Ticket of the adviser, for advised queues.
    """

    key: RunKey
    payload: str
    checkpoint: CheckpointToken
    chosen_at: timedelta
    recorded_at: timedelta
    ticket: str = ""


class Pace(msgspec.Struct, frozen=True):
    """Let a run work at a percentage of its full speed."""

    key: RunKey
    percent: int


Order = Start | Pace


class StartState(Enum):
    """State of an order to start.

    Attributes
    ----------
    QUEUED
        Not sent yet.
    SENT
        Sent, and its outcome is unknown.
    SETTLED
        The worker has started the run, or can no longer start it.
    """

    QUEUED = "queued"
    SENT = "sent"
    SETTLED = "settled"


class StopReason(Enum):
    """Why a run is stopped.

    Attributes
    ----------
    OBSOLETE
        Its job was cancelled or has ended, or its task has.
    UNRECORDED
        The worker lists it, and it is not recorded.
    UNANSWERED
        No order to start it got a clear answer.
    GANG
        Another member of its gang has ended, or can't start.
    STALLED, EVACUATED, MOVED
        Another worker is to take the task.
    """

    OBSOLETE = "obsolete"
    UNRECORDED = "unrecorded"
    UNANSWERED = "unanswered"
    GANG = "gang"
    STALLED = "stalled"
    EVACUATED = "evacuated"
    MOVED = "moved"


class StopOutcome(Enum):
    """How the attempts to stop a run ended.

    Attributes
    ----------
    CONFIRMED
        The worker confirmed the stop, or that the run can't start any more.
    WITHDRAWN
        The order to start it had not been sent, and never will be.
    ENDED
        Its end became known otherwise, or its worker has ended.
    """

    CONFIRMED = "confirmed"
    WITHDRAWN = "withdrawn"
    ENDED = "ended"


class Stop(msgspec.Struct):
    """An order to stop a run, and its attempts.

    Attributes
    ----------
    key
        The run.
    reason
        Why it is stopped.
    ordered_at
        Monotonic time of the order.
    sent_at
        Monotonic time of the first attempt; None before.
    attempts
        Number of attempts so far.
    may_be_done
        Whether the worker may have carried it out.
    """

    key: RunKey
    reason: StopReason
    ordered_at: timedelta
    sent_at: timedelta | None = None
    attempts: int = 0
    may_be_done: bool = False
