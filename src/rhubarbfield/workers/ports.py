"""The ports through which worker sessions use the rest of a controller."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, TypeAlias

import msgspec
from returns.result import Result

from rhubarbfield.types import AttemptState, Epoch, LogIndex, WorkerId
from rhubarbfield.workers.messages import (
    AttemptReport,
    UsageReport,
    WorkerHello,
)
from rhubarbfield.workers.orders import (
    Order,
    StartAttempt,
)


class LiveAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt on a worker whose end is not in the log.

    Attributes
    ----------
    start
        The order that starts it.
    state
        Its state in the log; ``STARTING`` until the worker has reported it.
    pending
        Orders after the start that still apply, oldest first.
    """

    start: StartAttempt
    state: AttemptState
    pending: tuple[Order, ...] = ()


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's new session, committed to the log.

    Attributes
    ----------
    session
        Its epoch, greater than every earlier one of the worker.
    position
        The log position that ``live`` reflects; later orders are sent after
        this position.
    same_incarnation
        Whether the same process held the previous session.
    live
        All attempts on the worker, according to the log, whose end is not
        proved, in the order of their placement.
    """

    session: Epoch
    position: LogIndex
    same_incarnation: bool
    live: tuple[LiveAttempt, ...] = ()


class CommittedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order and the log position at which it was committed."""

    position: LogIndex
    order: Order


class NotLeading(msgspec.Struct, frozen=True, kw_only=True):
    """The controller doesn't lead; ``leader`` is ``host:port`` or empty if unknown."""

    leader: str = ""


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No quorum answered in time; the command may or may not be committed."""


class WorkerRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The worker doesn't belong to this domain; ``reason`` is a sentence for people."""

    reason: str


class SessionEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A newer session of the worker exists, or the end of this one is committed."""


WorkLogFailure: TypeAlias = NotLeading | Unavailable | SessionEnded


class WorkLog(Protocol):
    """The operations of worker sessions on the replicated log of the domain.

    Every call may be repeated after ``Unavailable``. A call for a session
    that isn't the worker's newest has no effect.
    """

    def leads(self) -> bool:
        """Return whether this controller leads and no other one can at this moment."""

    def sessions(self) -> Mapping[WorkerId, Epoch]:
        """Return the epoch of the open session of each worker in the log."""

    async def admit(
        self, hello: WorkerHello
    ) -> Result[Admitted, NotLeading | Unavailable | WorkerRefused]:
        """Commit a new session with the data of the worker's hello.

        While the lease of another incarnation may hold, the answer is
        ``Unavailable``: its process may be disconnected but still running.
        """

    async def report_attempts(
        self, worker: WorkerId, session: Epoch, reports: tuple[AttemptReport, ...]
    ) -> Result[None, WorkLogFailure]:
        """Commit the worker's reports on attempts; repeated ones have no effect."""

    async def lose_worker(
        self, worker: WorkerId, session: Epoch
    ) -> Result[None, WorkLogFailure]:
        """Commit that the lease of this session has lapsed on both clocks."""

    async def wait_orders(
        self, worker: WorkerId, session: Epoch, after: LogIndex
    ) -> Result[tuple[CommittedOrder, ...], WorkLogFailure]:
        """Wait for orders committed after position ``after``; return them in order."""


class ObservationSink(Protocol):
    """Receives the usage reports of workers."""

    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        """Record a report without blocking."""
