"""An observer that tracks running attempts independently of the work state."""

from __future__ import annotations

from rhubarbfield.placement import (
    AttemptReport,
    Resources,
    StartedAttempt,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    TaskId,
    WorkerId,
)

CAPACITY = Resources.of(8, 32_000, 1)


class Observer:
    """Tracks which attempts run, by the actions of the simulated workers only."""

    def __init__(self) -> None:
        self.running_attempts: dict[TaskId, AttemptId] = {}
        self.started_attempts: set[AttemptId] = set()
        self.sizes: dict[WorkerId, dict[AttemptId, Resources]] = {}
        self.checkpoints: dict[TaskId, CheckpointId | None] = {}
        self.finished_tasks: set[TaskId] = set()
        self.ended_attempts: set[AttemptId] = set()

    def begin(self, order: StartedAttempt) -> None:
        assert order.attempt not in self.started_attempts, (
            f"{order.attempt} began twice"
        )
        assert order.task not in self.running_attempts, f"{order.task} runs twice"
        assert order.task not in self.finished_tasks, f"{order.task} ran after its end"
        expected = self.checkpoints.get(order.task)
        assert order.checkpoint == expected, (order, expected)
        self.started_attempts.add(order.attempt)
        self.running_attempts[order.task] = order.attempt
        self.sizes.setdefault(order.worker, {})[order.attempt] = order.size
        self.check_worker(order.worker)

    def check_worker(self, worker: WorkerId) -> None:
        total = Resources()
        for size in self.sizes.get(worker, {}).values():
            total = total + size
        assert total.fits(CAPACITY), (worker, total)

    def end(self, order: StartedAttempt) -> None:
        if self.running_attempts.get(order.task) == order.attempt:
            del self.running_attempts[order.task]
        self.sizes[order.worker].pop(order.attempt, None)

    def record_report(self, report: AttemptReport, endless: bool) -> None:
        """Record a committed report; ignore reports after the end of an attempt."""
        if report.attempt in self.ended_attempts:
            return
        if report.state not in (AttemptState.RUNNING, AttemptState.HELD):
            self.ended_attempts.add(report.attempt)
        task = TaskId(report.attempt.rpartition("#")[0])
        if report.checkpoint is not None:
            self.checkpoints[task] = report.checkpoint
        if report.state is AttemptState.SUCCEEDED and not endless:
            self.finished_tasks.add(task)
