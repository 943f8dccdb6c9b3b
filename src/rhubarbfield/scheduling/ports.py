"""Interface to the workers that scheduling calls.

Controllers exchange the orders and their results, with fields encoded by
position: new fields go last and have a default.
"""

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
    """Why a worker refused an order.

    Attributes
    ----------
    DEPOSED
        The worker has seen the fencing token of a later leader.
    SUPERSEDED
        A run with the same or a higher number has ended or was stopped there.
    EXPIRED
        The order arrived after its deadline.
    NO_ROOM
        The task exceeds the worker's headroom.
    NO_TICKET
        The queue is advised, and the ticket is missing or no longer valid.
    UNHEALTHY
        The worker accepts no tasks at the moment.
    MALFORMED
        The worker could not decode the order.
    """

    DEPOSED = "deposed"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class OtherLife(msgspec.Struct, frozen=True, array_like=True, tag="other-life"):
    """The address belongs to another incarnation; the one addressed has ended."""


class NoReply(msgspec.Struct, frozen=True, array_like=True, tag="no-reply"):
    """No reply arrived; the order may be carried out now, later or never.

    Attributes
    ----------
    detail
        Description of the failure.
    was_sent
        Whether any of the order was sent. If not, it will never be carried out.
    """

    detail: str
    was_sent: bool = True


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The worker refused the order; at most it extended the lease.

    Attributes
    ----------
    refusal
        Reason of the refusal.
    clock
        The worker's clock, if the reply has it.
    """

    refusal: Refusal
    clock: timedelta | None = None


CallFailure = OtherLife | NoReply | Refused


class ActiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that is present on a worker.

    Attributes
    ----------
    task, run
        Task and number of the run.
    checkpoint
        Last saved progress.
    percent
        Progress in percent; for a standing task 100 once it serves.
    measure
        Tail latency in ms of a serving task; millicores in use of other tasks.
    """

    task: TaskName
    run: RunNumber
    checkpoint: CheckpointToken
    percent: float
    measure: float | None = None


class ListedEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, which a worker lists until it is acknowledged.

    Attributes
    ----------
    number
        Number of the end; grows with each end on this worker.
    task, run
        Task and number of the run.
    end
        How the run ended.
    checkpoint
        Last saved progress.
    """

    number: int
    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: CheckpointToken


class WorkerView(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """Active and ended runs of a worker.

    Attributes
    ----------
    clock
        The worker's clock.
    active, ends
        Active runs, and ends that are not acknowledged.
    truncated
        Whether the worker has more ends than the reply lists.
    """

    clock: timedelta
    active: tuple[ActiveRun, ...]
    ends: tuple[ListedEnd, ...]
    truncated: bool


class StartOrder(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="start"
):
    """An order to start a run.

    Attributes
    ----------
    task, run, payload, checkpoint
        The run to start, its payload, and the checkpoint it resumes from.
    lease_end
        End of the lease on the worker's clock; all its runs end then.
    term
        Term of the leader; workers obey the highest term they have seen.
    ticket
        Ticket of the adviser, for advised queues.
    """

    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: CheckpointToken
    lease_end: timedelta
    term: Term
    ticket: str = ""


class StopOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="stop"):
    """An order to stop a run.

    Attributes
    ----------
    task, run
        Task and number of the run.
    term
        Term of the leader.
    """

    task: TaskName
    run: RunNumber
    term: Term


class PaceOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="pace"):
    """An order to let a run work at a percentage of its full speed.

    Attributes
    ----------
    task, run
        Task and number of the run.
    percent
        Percentage of the run's full speed.
    term
        Term of the leader.
    """

    task: TaskName
    run: RunNumber
    percent: int
    term: Term


class ViewRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="view"
):
    """A request for the active and ended runs of a worker.

    Attributes
    ----------
    recorded_ends
        Acknowledges ends up to this number, which the worker may drop.
    lease_end
        New end of the lease on the worker's clock; None does not extend it.
    wait_timeout
        How long to wait for a run to end before replying.
    term
        Term of the leader.
    """

    recorded_ends: int
    lease_end: timedelta | None
    wait_timeout: timedelta
    term: Term


WorkerOrder = StartOrder | StopOrder | PaceOrder | ViewRequest


class WorkerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Id of one incarnation of a worker, and the address it listens on."""

    worker: WorkerId
    address: str


class WorkerCalls(Protocol):
    """Calls to workers; a success carries the worker's clock."""

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run; succeeds if the run is present already."""

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run; afterwards neither it nor an earlier run can start."""

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Let a run work at a percentage of its full speed."""

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return the runs of a worker; waits for an end up to the request's timeout."""

    async def forget(self, address: str) -> None:
        """Close the connections to an address."""
