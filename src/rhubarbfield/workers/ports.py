"""What the sessions of workers need of the rest of a controller."""

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
        Orders after the start that are still in force, oldest first.
    """

    start: StartAttempt
    state: AttemptState
    pending: tuple[Order, ...] = ()


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's new session, committed to the log.

    Attributes
    ----------
    session
        Its epoch, above every earlier one of the worker.
    position
        The log position that ``live`` reflects; orders follow from here.
    same_incarnation
        Whether the process is the one that held the session before.
    live
        Every attempt that the log has on the worker and whose end is not
        proved, in the order in which they were placed.
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
    """The controller doesn't lead; ``leader`` is ``host:port`` or empty."""

    leader: str = ""


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No quorum answered in time; whether it was committed is not known."""


class WorkerRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The worker isn't one of this domain; ``reason`` is for a person."""

    reason: str


class SessionEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A newer session of the worker exists, or its lapse is committed."""


WorkLogFailure: TypeAlias = NotLeading | Unavailable | SessionEnded


class WorkLog(Protocol):
    """The replicated log of the domain, as the sessions of workers see it.

    Every call may be repeated after ``Unavailable``. A call for a session
    that isn't the worker's newest has no effect.
    """

    def leads(self) -> bool:
        """Return whether no other controller can lead at this moment."""

    def sessions(self) -> Mapping[WorkerId, Epoch]:
        """Return the open session of each worker in the log."""

    async def admit(
        self, hello: WorkerHello
    ) -> Result[Admitted, NotLeading | Unavailable | WorkerRefused]:
        """Commit a new session and what the worker says of itself.

        While the lease of another incarnation may hold, the answer is
        ``Unavailable``: its process may be cut off and still running.
        """

    async def report_attempts(
        self, worker: WorkerId, session: Epoch, reports: tuple[AttemptReport, ...]
    ) -> Result[None, WorkLogFailure]:
        """Commit the worker's own word on attempts; repeated ones are harmless."""

    async def lose_worker(
        self, worker: WorkerId, session: Epoch
    ) -> Result[None, WorkLogFailure]:
        """Commit that the lease of this session has lapsed by both clocks."""

    async def wait_orders(
        self, worker: WorkerId, session: Epoch, after: LogIndex
    ) -> Result[tuple[CommittedOrder, ...], WorkLogFailure]:
        """Wait for orders committed after ``after`` and return them in order."""


class ObservationSink(Protocol):
    """Where measurements go."""

    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        """Take in a report; it must not wait."""
