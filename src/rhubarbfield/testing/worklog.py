"""A replicated log of placements, all in the memory of one process."""

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

ENDS = frozenset(
    {
        AttemptState.EVICTED,
        AttemptState.SUCCEEDED,
        AttemptState.FAILED,
        AttemptState.CANCELLED,
        AttemptState.LOST,
    }
)


class PlacedAttempt(msgspec.Struct, kw_only=True):
    """An attempt in the log."""

    worker: WorkerId
    start: StartAttempt
    state: AttemptState = AttemptState.STARTING
    checkpoint: CheckpointId | None = None
    pending: list[Order] = msgspec.field(default_factory=list)

    @property
    def ended(self) -> bool:
        """Whether its end is proved."""
        return self.state in ENDS


class WorkerEntry(msgspec.Struct, kw_only=True):
    """A worker in the log."""

    session: Epoch
    incarnation: Incarnation
    open: bool = True


class MemoryWorkLog:
    """What a quorum has committed, seen by every controller alike.

    Attributes
    ----------
    attempts
        Every attempt, by id.
    workers
        Every worker, by id.
    reports
        Every report that was committed, in order.
    """

    def __init__(self) -> None:
        self.attempts: dict[AttemptId, PlacedAttempt] = {}
        self.workers: dict[WorkerId, WorkerEntry] = {}
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
        self.order(StopAttempt(attempt=attempt, reason="told so", evict=evict))

    def admit(self, hello: WorkerHello) -> Admitted:
        """Commit a new session."""
        known = self.workers.get(hello.worker)
        same = known is not None and known.incarnation == hello.incarnation
        self._advance()
        session = Epoch(self.position)
        self.workers[hello.worker] = WorkerEntry(
            session=session, incarnation=hello.incarnation
        )
        return Admitted(
            session=session,
            position=self.position,
            same_incarnation=same,
            live=tuple(self._list_live(hello.worker)),
        )

    def report(self, reports: tuple[AttemptReport, ...]) -> None:
        """Commit reports; ends that are known already stay as they are."""
        self._advance()
        self.reports.extend(reports)
        for report in reports:
            placed = self.attempts.get(report.attempt)
            if placed is None or placed.ended:
                continue
            placed.state = report.state
            placed.checkpoint = report.checkpoint or placed.checkpoint

    def lose(self, worker: WorkerId) -> None:
        """Commit the loss of all that a worker ran."""
        self._advance()
        self.workers[worker].open = False
        for placed in self.attempts.values():
            if placed.worker == worker and not placed.ended:
                placed.state = AttemptState.LOST

    def has_other_incarnation(self, hello: WorkerHello) -> bool:
        """Return whether another process of the worker has an open session."""
        known = self.workers.get(hello.worker)
        if known is None or not known.open:
            return False
        return known.incarnation != hello.incarnation

    def has_session(self, worker: WorkerId, session: Epoch) -> bool:
        """Return whether this is the worker's open session."""
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
        self._advance()
        committed = CommittedOrder(position=self.position, order=order)
        self._orders.setdefault(worker, []).append(committed)

    def _advance(self) -> None:
        self.position = LogIndex(self.position + 1)
        self._changed.set()
        self._changed = trio.Event()


class ControllerLog:
    """The memory log as one controller reaches it.

    Parameters
    ----------
    log
        What is committed.

    Attributes
    ----------
    leading
        Whether this controller leads.
    reachable
        Whether it reaches a quorum.
    leader
        The address of the leader, given to workers that ask the wrong one.
    commit_delay
        How long each commit takes. What was asked is decided before, as by a
        log whose commands carry no epoch of the session.
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
        """Commit the loss of a worker."""
        refused = self._find_refusal(worker, session)
        if refused is not None:
            return Failure(refused)
        await self._commit()
        self.log.lose(worker)
        return Success(None)

    async def wait_orders(
        self, worker: WorkerId, session: Epoch, after: LogIndex
    ) -> Result[tuple[CommittedOrder, ...], WorkLogFailure]:
        """Wait for orders."""
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
