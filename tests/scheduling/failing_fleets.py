"""Stand-in workers that fail a share of the runs that they start."""

from __future__ import annotations

import random
from datetime import timedelta

import trio
from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import Label
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    StartOrder,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_fleet import NO_REPLY_DELAY
from rhubarbfield.testing.scheduling_workers import StandInWorker

FAILING_DURATION = timedelta(milliseconds=30)


class FailingFleet(CrashingFleet):
    """Worker port whose workers may fail runs; each life of a machine is alike.

    Parameters
    ----------
    clock
        Clock for the durations of calls.
    draw
        Source of the luck of runs.

    Attributes
    ----------
    failing_shares
        Share of the runs that fail within moments of their start, by machine.
    lost_views
        Share of the views that get no reply although they reach the worker, by machine.
    labels
        Labels of each machine.
    guards_capacity
        Whether workers refuse starts that exceed their capacity.
    """

    def __init__(self, clock: Clock, draw: random.Random) -> None:
        super().__init__(clock)
        self._draw = draw
        self.failing_shares: dict[str, float] = {}
        self.lost_views: dict[str, float] = {}
        self.labels: dict[str, tuple[Label, ...]] = {}
        self.guards_capacity = True

    def add(self, worker: StandInWorker, address: str | None = None) -> None:
        """Put a worker at an address, in place of the previous one."""
        worker.labels = self.labels.get(worker.machine, worker.labels)
        worker.guards_capacity = self.guards_capacity
        super().add(worker, address)

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        result = await super().start(to, order)
        worker = self.workers.get(to.address)
        if worker is not None:
            self._prepare_run(worker, order)
        return result

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a worker's view of its runs, unless the reply is lost."""
        result = await super().view(to, request)
        worker = self.workers.get(to.address)
        share = 0.0 if worker is None else self.lost_views.get(worker.machine, 0.0)
        if share and self._draw.random() < share:
            await trio.sleep(NO_REPLY_DELAY.total_seconds())
            return Failure(NoReply("the reply was lost"))
        return result

    def deliver_delayed_starts(self) -> None:
        """Carry out the orders to start that got no reply."""
        for worker, order in self.delayed_starts:
            if not worker.is_down:
                worker.start(order)
                self._prepare_run(worker, order)
        self.delayed_starts.clear()

    def fail_runs(self, worker: StandInWorker, share: float) -> None:
        """Let a worker fail a share of its runs and of those that it starts."""
        self.failing_shares[worker.machine] = share
        worker.end_due_runs()
        for task in list(worker.runs):
            if self._draw.random() < share:
                worker.end_run(task, RunEnd.FAILED)

    def _prepare_run(self, worker: StandInWorker, order: StartOrder) -> None:
        """Set how a run ends, if an order has just started it."""
        if not worker.started:
            return
        task, number, at = worker.started[-1]
        run = worker.runs.get(task)
        is_new = (task, number) == (order.task, order.run) and run is not None
        if run is None or not is_new or at.total_seconds() != trio.current_time():
            return
        if task in self.endless:
            run.ends_at = None
        if self._draw.random() < self.failing_shares.get(worker.machine, 0.0):
            run.end = RunEnd.FAILED
            run.ends_at = run.started_at + FAILING_DURATION
