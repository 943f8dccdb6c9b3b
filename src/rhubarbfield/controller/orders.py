"""Orders to workers, in the order of their commitment."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import trio

from rhubarbfield.controller.statemachines import DomainLogState
from rhubarbfield.machine import Command, Reply, SectionedMachine
from rhubarbfield.placement import (
    AttemptsEvicting,
    AttemptsReported,
    AttemptsStarted,
    Eviction,
    JobsCancelled,
    StartedAttempt,
    Task,
    WorkerLost,
    WorkState,
)
from rhubarbfield.placement.resources import MILLICORES_PER_CORE
from rhubarbfield.types import AttemptId, Epoch, LogIndex, TaskId, WorkerId
from rhubarbfield.workers import (
    CommittedOrder,
    Order,
    Resources,
    StartAttempt,
    StopAttempt,
    Throttle,
)

MAX_KEPT_ORDERS = 4096


class OrderFeed:
    """Buffers the latest orders for each worker since this process started.

    Parameters
    ----------
    machine
        The domain's state machine, whose replies contain the orders.
    """

    def __init__(self, machine: SectionedMachine[DomainLogState]) -> None:
        self._machine = machine
        self._orders: dict[WorkerId, deque[CommittedOrder]] = {}
        self._changed: dict[WorkerId, trio.Event] = {}
        self._dropped_until: dict[WorkerId, LogIndex] = {}
        machine.watch(self._record_orders)

    def list_after(
        self, worker: WorkerId, after: LogIndex
    ) -> tuple[CommittedOrder, ...] | None:
        """Return the worker's orders after a position, or None if any was dropped."""
        if self._dropped_until.get(worker, LogIndex(0)) > after:
            return None
        orders = self._orders.get(worker, ())
        return tuple(order for order in orders if order.position > after)

    async def wait(self, worker: WorkerId) -> None:
        """Wait until an order for the worker is added."""
        await self._changed.setdefault(worker, trio.Event()).wait()

    def throttle(
        self, worker: WorkerId, attempt: AttemptId, fraction: float, at: LogIndex
    ) -> None:
        """Add a throttle order, which is not in the log, at the position ``at``."""
        self._add(worker, at, Throttle(attempt=attempt, fraction=fraction))

    def _record_orders(self, index: LogIndex, command: Command, reply: Reply) -> None:
        match reply:
            case AttemptsStarted(started=started):
                self._add_starts(index, started)
            case AttemptsEvicting(evicting=stops):
                self._add_stops(index, stops)
            case (
                AttemptsReported(stopping=stops)
                | JobsCancelled(stopping=stops)
                | WorkerLost(stopping=stops)
            ):
                self._add_stops(index, stops)

    def _add_starts(self, index: LogIndex, started: Iterable[StartedAttempt]) -> None:
        work = self._machine.state.work
        for start in started:
            order = make_start(work, start.task)
            if order is not None:
                self._add(start.worker, index, order)

    def _add_stops(self, index: LogIndex, stops: Iterable[Eviction]) -> None:
        for stop in stops:
            order = StopAttempt(attempt=stop.attempt, reason=stop.reason, evict=True)
            self._add(stop.worker, index, order)

    def _add(self, worker: WorkerId, index: LogIndex, order: Order) -> None:
        orders = self._orders.setdefault(worker, deque())
        orders.append(CommittedOrder(position=index, order=order))
        if len(orders) > MAX_KEPT_ORDERS:
            self._dropped_until[worker] = orders.popleft().position
        self._changed.pop(worker, trio.Event()).set()


def make_start(work: WorkState, task_id: TaskId) -> StartAttempt | None:
    """Return the order that starts the live attempt of a task, if it has one."""
    task = work.tasks.get(task_id)
    if task is None or task.live is None:
        return None
    return StartAttempt(
        attempt=task.live.attempt,
        task=task.task,
        epoch=Epoch(task.attempts_made),
        resources=Resources(
            cores=task.live.size.millicores / MILLICORES_PER_CORE,
            memory_mb=task.live.size.memory_mb,
            accelerators=task.live.size.accelerators,
        ),
        checkpoint=task.live.resumed_from,
        argument=work.jobs[task.job].spec.program,
    )


def make_stop(task: Task) -> StopAttempt | None:
    """Return the order that stops the live attempt of a task, if it has one."""
    if task.live is None:
        return None
    return StopAttempt(
        attempt=task.live.attempt, reason=task.live.end_reason, evict=True
    )
