"""What scheduling needs of the workers it calls."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from rhubarbfield.scheduling.model import CheckpointToken, RunNumber, TaskName
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import Term, WorkerId


class Refusal(Enum):
    """Why a worker did not do what it was told.

    Attributes
    ----------
    DEPOSED
        It has seen the fencing token of a later leader.
    SUPERSEDED
        A run as high as this one has ended or was stopped there.
    EXPIRED
        The order arrived after its deadline.
    NO_ROOM
        It does not fit.
    NO_TICKET
        The queue is advised and the ticket is missing or no longer valid.
    UNHEALTHY
        The worker takes no work at the moment.
    MALFORMED
        The worker did not understand the order.
    """

    DEPOSED = "deposed"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class OtherLife(msgspec.Struct, frozen=True):
    """The address belongs to another life: the one that was meant is over."""


class NoReply(msgspec.Struct, frozen=True):
    """No reply came; the order may be carried out now, later or never.

    Attributes
    ----------
    detail
        What went wrong, for a person.
    """

    detail: str


class Refused(msgspec.Struct, frozen=True):
    """The order had no effect but, perhaps, to extend leases.

    Attributes
    ----------
    refusal
        Why.
    clock
        The worker's clock, if it told.
    """

    refusal: Refusal
    clock: timedelta | None = None


CallFailure = OtherLife | NoReply | Refused


class ActiveRun(msgspec.Struct, frozen=True):
    """A run that is present on a worker.

    Attributes
    ----------
    task, run
        Which run.
    checkpoint
        Its last saved progress.
    percent
        How far it has come; for standing tasks 100 once it is at work.
    measure
        Tail latency in ms of a task that serves; millicores in use of others.
    """

    task: TaskName
    run: RunNumber
    checkpoint: CheckpointToken
    percent: float
    measure: float | None = None


class ListedEnd(msgspec.Struct, frozen=True):
    """An end that a worker lists until it is acknowledged.

    Attributes
    ----------
    number
        Grows with each end on this worker.
    task, run
        Which run.
    end
        How it ended.
    checkpoint
        Its last saved progress.
    """

    number: int
    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: CheckpointToken


class WorkerView(msgspec.Struct, frozen=True):
    """What a worker runs.

    Attributes
    ----------
    clock
        The worker's clock.
    active, ends
        What runs, and what ended and is not acknowledged.
    truncated
        Whether there are more ends than one reply lists.
    """

    clock: timedelta
    active: tuple[ActiveRun, ...]
    ends: tuple[ListedEnd, ...]
    truncated: bool


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to start a run.

    Attributes
    ----------
    task, run, payload, checkpoint
        What to start, and where it resumes.
    lease_end
        On the worker's clock; all that runs there ends then.
    term
        Of the leader; workers obey the highest they have seen.
    ticket
        The adviser's, for advised queues.
    """

    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: CheckpointToken
    lease_end: timedelta
    term: Term
    ticket: str = ""


class StopOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to stop a run.

    Attributes
    ----------
    task, run
        What to stop.
    term
        Of the leader.
    """

    task: TaskName
    run: RunNumber
    term: Term


class PaceOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to let a run work at a share of its speed.

    Attributes
    ----------
    task, run
        Which run.
    percent
        Of its speed.
    term
        Of the leader.
    """

    task: TaskName
    run: RunNumber
    percent: int
    term: Term


class ViewRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks what a worker runs, and what ended there.

    Attributes
    ----------
    recorded_ends
        Ends up to this number are recorded and may be forgotten.
    lease_end
        Extends the lease of all that runs there; on the worker's clock.
    wait_timeout
        How long to wait for a run to end before replying.
    term
        Of the leader.
    """

    recorded_ends: int
    lease_end: timedelta | None
    wait_timeout: timedelta
    term: Term


class WorkerAddress(msgspec.Struct, frozen=True):
    """One life of a worker, and where it listens."""

    worker: WorkerId
    address: str


class WorkerCalls(Protocol):
    """The way to workers. A success carries the worker's clock."""

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run; a run that is present already is a success."""

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run; afterwards neither it nor an earlier one can start."""

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Let a run work at a share of its speed."""

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return the runs of a worker; waits for an end up to the request's timeout."""

    async def forget(self, address: str) -> None:
        """Close the connections to an address."""
