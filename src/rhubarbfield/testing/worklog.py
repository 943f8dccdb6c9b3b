"""A replicated log of placements, in the memory of one process."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    Incarnation,
    LogIndex,
    TaskId,
    WorkerId,
)
from rhubarbfield.workers.bounds import Resources
from rhubarbfield.workers.messages import AttemptReport, WorkerHello
from rhubarbfield.workers.orders import Order, StartAttempt, StopAttempt
from rhubarbfield.workers.ports import (
    Admitted,
    CommittedOrder,
    LiveAttempt,
    NotLeading,
    SessionEnded,
    Unavailable,
    WorkLogFailure,
)

ENDED_STATES = frozenset(
    {
        AttemptState.EVICTED,
        AttemptState.SUCCEEDED,
        AttemptState.FAILED,
        AttemptState.CANCELLED,
        AttemptState.LOST,
    }
)


class PlacedAttempt(msgspec.Struct, kw_only=True):
    """State of an attempt in the log."""

    worker: WorkerId
    start: StartAttempt
    state: AttemptState = AttemptState.STARTING
    checkpoint: CheckpointId | None = None
    pending: list[Order] = msgspec.field(default_factory=list)

    @property
    def ended(self) -> bool:
        """Whether the attempt's end is committed."""
        return self.state in ENDED_STATES


class LoggedSession(msgspec.Struct, kw_only=True):
    """Latest session of a worker in the log."""

    session: Epoch
    incarnation: Incarnation
    open: bool = True


class MemoryWorkLog:
    """Committed state of the log, shared by all controllers.

    Attributes
    ----------
    attempts
        Attempts by id.
    workers
        Workers by id.
    reports
        Committed reports, in order.
    position
        Index of the last commit.
    """

    def __init__(self) -> None:
        self.attempts: dict[AttemptId, PlacedAttempt] = {}
        self.workers: dict[WorkerId, LoggedSession] = {}
        self.reports: list[AttemptReport] = []
        self.position = LogIndex(0)
        self._orders: dict[WorkerId, list[CommittedOrder]] = {}
        self._task_epochs: dict[TaskId, Epoch] = {}
        self._changed = trio.Event()

    def place(
        self,
        worker: WorkerId,
        task: TaskId,
        *,
        resources: Resources,
        checkpoint: CheckpointId | None = None,
        argument: str = "",
    ) -> AttemptId:
        """Commit a new attempt at ``task``; earlier ones must have ended."""
        epoch = Epoch(self._task_epochs.get(task, 0) + 1)
        self._task_epochs[task] = epoch
        start = StartAttempt(
            attempt=AttemptId(f"{task}-{epoch}"),
            task=task,
            epoch=epoch,
            resources=resources,
            checkpoint=checkpoint,
            argument=argument,
        )
        placed = PlacedAttempt(worker=worker, start=start, checkpoint=checkpoint)
        self.attempts[start.attempt] = placed
        self._commit_order(worker, start)
        return start.attempt

    def order(self, order: Order) -> None:
        """Commit an order for an attempt that is already placed."""
        placed = self.attempts[order.attempt]
        placed.pending.append(order)
        self._commit_order(placed.worker, order)

    def stop(self, attempt: AttemptId, *, evict: bool) -> None:
        """Commit the order to stop an attempt."""
        self.order(StopAttempt(attempt=attempt, reason="stop requested", evict=evict))

    def admit(self, hello: WorkerHello) -> Admitted:
        """Commit a new session."""
        known = self.workers.get(hello.worker)
        same_incarnation = known is not None and known.incarnation == hello.incarnation
        self._advance_position()
        session = Epoch(self.position)
        self.workers[hello.worker] = LoggedSession(
            session=session, incarnation=hello.incarnation
        )
        return Admitted(
            session=session,
            position=self.position,
            same_incarnation=same_incarnation,
            live=tuple(self._list_live(hello.worker)),
        )

    def report(self, reports: tuple[AttemptReport, ...]) -> None:
        """Commit reports; ends that are committed already don't change."""
        self._advance_position()
        self.reports.extend(reports)
        for report in reports:
            placed = self.attempts.get(report.attempt)
            if placed is None or placed.ended:
                continue
            placed.state = report.state
            placed.checkpoint = report.checkpoint or placed.checkpoint

    def lose(self, worker: WorkerId) -> None:
        """Commit the end of a worker's session and the loss of its attempts."""
        self._advance_position()
        self.workers[worker].open = False
        for placed in self.attempts.values():
            if placed.worker == worker and not placed.ended:
                placed.state = AttemptState.LOST

    def has_other_incarnation(self, hello: WorkerHello) -> bool:
        """Return whether another incarnation of the worker has an open session."""
        known = self.workers.get(hello.worker)
        if known is None or not known.open:
            return False
        return known.incarnation != hello.incarnation

    def has_session(self, worker: WorkerId, session: Epoch) -> bool:
        """Return whether ``session`` is the worker's open session."""
        known = self.workers.get(worker)
        return known is not None and known.open and known.session == session

    def find_orders(
        self, worker: WorkerId, after: LogIndex
    ) -> tuple[CommittedOrder, ...]:
        """Return the worker's orders after a position."""
        orders = self._orders.get(worker, [])
        return tuple(order for order in orders if order.position > after)

    async def wait_change(self) -> None:
        """Wait for the next commit."""
        await self._changed.wait()

    def _list_live(self, worker: WorkerId) -> list[LiveAttempt]:
        return [
            LiveAttempt(
                start=placed.start, state=placed.state, pending=tuple(placed.pending)
            )
            for placed in self.attempts.values()
            if placed.worker == worker and not placed.ended
        ]

    def _commit_order(self, worker: WorkerId, order: Order) -> None:
        self._advance_position()
        committed = CommittedOrder(position=self.position, order=order)
        self._orders.setdefault(worker, []).append(committed)

    def _advance_position(self) -> None:
        self.position = LogIndex(self.position + 1)
        self._changed.set()
        self._changed = trio.Event()


class ControllerLog:
    """One controller's access to the log in memory.

    Parameters
    ----------
    log
        The committed state.

    Attributes
    ----------
    leading
        Whether this controller leads.
    reachable
        Whether this controller can reach a quorum.
    leader
        Address of the leader, returned to workers that reach another controller.
    commit_delay
        Duration of each commit. Requests are checked before this delay, as in a
        log whose commands don't carry the epoch of the session.
    """

    def __init__(self, log: MemoryWorkLog, *, leading: bool = True) -> None:
        self.log = log
        self.leading = leading
        self.reachable = True
        self.leader = ""
        self.commit_delay = timedelta()

    def leads(self) -> bool:
        """Return whether this controller leads."""
        return self.leading and self.reachable

    def sessions(self) -> Mapping[WorkerId, Epoch]:
        """Return the open session of each worker."""
        return {
            worker: entry.session
            for worker, entry in self.log.workers.items()
            if entry.open
        }

    async def admit(
        self, hello: WorkerHello
    ) -> Result[Admitted, NotLeading | Unavailable]:
        """Commit a new session."""
        if not self.leading:
            return Failure(NotLeading(leader=self.leader))
        if not self.reachable or self.log.has_other_incarnation(hello):
            return Failure(Unavailable())
        await self._commit()
        return Success(self.log.admit(hello))

    async def report_attempts(
        self, worker: WorkerId, session: Epoch, reports: tuple[AttemptReport, ...]
    ) -> Result[None, WorkLogFailure]:
        """Commit reports."""
        refused = self._find_refusal(worker, session)
        if refused is not None:
            return Failure(refused)
        await self._commit()
        self.log.report(reports)
        return Success(None)

    async def lose_worker(
        self, worker: WorkerId, session: Epoch
    ) -> Result[None, WorkLogFailure]:
        """Commit the end of a worker's session and the loss of its attempts."""
        refused = self._find_refusal(worker, session)
        if refused is not None:
            return Failure(refused)
        await self._commit()
        self.log.lose(worker)
        return Success(None)

    async def wait_orders(
        self, worker: WorkerId, session: Epoch, after: LogIndex
    ) -> Result[tuple[CommittedOrder, ...], WorkLogFailure]:
        """Return the committed orders after a position, as soon as there are any."""
        while True:
            refused = self._find_refusal(worker, session)
            if refused is not None:
                return Failure(refused)
            orders = self.log.find_orders(worker, after)
            if orders:
                return Success(orders)
            await self.log.wait_change()

    async def _commit(self) -> None:
        await trio.sleep(self.commit_delay.total_seconds())

    def _find_refusal(self, worker: WorkerId, session: Epoch) -> WorkLogFailure | None:
        if not self.leading:
            return NotLeading(leader=self.leader)
        if not self.reachable:
            return Unavailable()
        if not self.log.has_session(worker, session):
            return SessionEnded()
        return None
