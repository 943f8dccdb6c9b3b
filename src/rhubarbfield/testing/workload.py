"""Attempts of a stand-in worker, and the orders applied to them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.leases import HeldLease
from rhubarbfield.testing.attempts import SimulatedAttempt, TaskModel
from rhubarbfield.testing.observer import Observer, Runner
from rhubarbfield.types import AttemptId, AttemptState, Epoch, TaskId
from rhubarbfield.workers.bounds import Resources
from rhubarbfield.workers.messages import AttemptReport, HeldAttempt
from rhubarbfield.workers.orders import (
    CommittedReport,
    Order,
    StartAttempt,
    StopAttempt,
    TakeCheckpoint,
    Throttle,
)


class Workload:
    """Attempts of one worker process.

    Parameters
    ----------
    runner, capacity
        The worker process and the worker's capacity.
    lease
        The worker's lease.
    clock
        The worker's clock.
    task_model
        Returns the actual behaviour of each task.
    observer
        Records all runs.
    wait_while_frozen
        Waits while the worker process is frozen.

    Attributes
    ----------
    attempts
        Attempts whose end isn't known to be committed.
    changed
        Set once there is something to report.
    fails_everything
        Whether every attempt fails as soon as it is started.
    refused_orders
        Number of refused orders of old sessions or epochs.
    """

    def __init__(
        self,
        runner: Runner,
        capacity: Resources,
        *,
        lease: HeldLease,
        clock: Clock,
        task_model: TaskModel,
        observer: Observer,
        wait_while_frozen: Callable[[], Awaitable[None]],
    ) -> None:
        self.attempts: dict[AttemptId, SimulatedAttempt] = {}
        self.changed = trio.Event()
        self.fails_everything = False
        self.refused_orders = 0
        self._runner = runner
        self._capacity = capacity
        self._lease = lease
        self._clock = clock
        self._task_model = task_model
        self._observer = observer
        self._wait_while_frozen = wait_while_frozen
        self._task_epochs: dict[TaskId, Epoch] = {}
        self._not_started_reports: list[AttemptReport] = []
        self._tasks: trio.Nursery | None = None

    def run_in(self, nursery: trio.Nursery) -> None:
        """Run attempts in ``nursery`` from now on."""
        self._tasks = nursery

    def describe(self) -> tuple[HeldAttempt, ...]:
        """Return the attempts as a hello lists them."""
        return tuple(attempt.describe() for attempt in self.attempts.values())

    def keep_only(self, keep: Iterable[AttemptId]) -> None:
        """Stop and drop the attempts that the controller doesn't know."""
        kept = set(keep)
        for attempt in [held for held in self.attempts if held not in kept]:
            dropped = self.attempts.pop(attempt)
            dropped.stop(evict=False, reason="the controller doesn't know it")
        self.changed.set()

    def forget_committed(self, reports: Iterable[CommittedReport]) -> None:
        """Forget attempts whose ends are committed."""
        for report in reports:
            attempt = self.attempts.get(report.attempt)
            if attempt is not None and attempt.ended and attempt.state is report.state:
                del self.attempts[report.attempt]

    def collect_reports(
        self, reported_revisions: dict[AttemptId, int]
    ) -> list[AttemptReport]:
        """Return the reports that a session has not sent yet.

        Parameters
        ----------
        reported_revisions
            Last revision of each attempt that the session has reported; updated.
        """
        self.changed = trio.Event()
        reports, self._not_started_reports = self._not_started_reports, []
        for attempt, held in self.attempts.items():
            if reported_revisions.get(attempt) != held.revision:
                reported_revisions[attempt] = held.revision
                reports.append(held.make_report())
        return reports

    def apply_order(self, order: Order, session: Epoch) -> None:
        """Apply an order if it comes from the current session."""
        if order.session != session:
            self.refused_orders += 1
            return
        attempt = self.attempts.get(order.attempt)
        match order:
            case StartAttempt() if attempt is None:
                self._start(order)
            case StopAttempt() if attempt is None:
                self._report_not_started(order, "it never started here")
            case StopAttempt(evict=evict, reason=reason) if attempt is not None:
                attempt.stop(evict=evict, reason=reason)
            case Throttle(fraction=fraction) if attempt is not None:
                attempt.fraction = fraction
            case TakeCheckpoint() if attempt is not None:
                attempt.take_checkpoint()
        self.changed.set()

    def _start(self, order: StartAttempt) -> None:
        if order.epoch <= self._task_epochs.get(order.task, Epoch(0)):
            self.refused_orders += 1
            self._report_not_started(order, "a later attempt at the task was seen here")
            return
        self._task_epochs[order.task] = order.epoch
        attempt = SimulatedAttempt(
            order,
            self._task_model(order),
            runner=self._runner,
            lease=self._lease,
            clock=self._clock,
            observer=self._observer,
            wait_while_frozen=self._wait_while_frozen,
        )
        self.attempts[order.attempt] = attempt
        self._observer.record_start(self._runner, self._capacity, order)
        if self.fails_everything:
            attempt.fail("the worker fails everything")
        assert self._tasks is not None
        self._tasks.start_soon(attempt.run, self._set_changed)

    def _set_changed(self) -> None:
        self.changed.set()

    def _report_not_started(self, order: Order, detail: str) -> None:
        report = AttemptReport(
            attempt=order.attempt,
            epoch=Epoch(0),
            state=AttemptState.CANCELLED,
            detail=detail,
        )
        self._not_started_reports.append(report)
