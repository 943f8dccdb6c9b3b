"""An observer that counts what runs where, by the workers' doings alone."""

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
    """Counts what runs, by the workers' doings alone."""

    def __init__(self) -> None:
        self.places: dict[TaskId, AttemptId] = {}
        self.begun: set[AttemptId] = set()
        self.sizes: dict[WorkerId, dict[AttemptId, Resources]] = {}
        self.checkpoints: dict[TaskId, CheckpointId | None] = {}
        self.finished: set[TaskId] = set()
        self.closed: set[AttemptId] = set()

    def begin(self, order: StartedAttempt) -> None:
        assert order.attempt not in self.begun, f"{order.attempt} began twice"
        assert order.task not in self.places, f"{order.task} runs twice"
        assert order.task not in self.finished, f"{order.task} ran after its end"
        expected = self.checkpoints.get(order.task)
        assert order.checkpoint == expected, (order, expected)
        self.begun.add(order.attempt)
        self.places[order.task] = order.attempt
        self.sizes.setdefault(order.worker, {})[order.attempt] = order.size
        self.check_worker(order.worker)

    def check_worker(self, worker: WorkerId) -> None:
        total = Resources()
        for size in self.sizes.get(worker, {}).values():
            total = total + size
        assert total.fits(CAPACITY), (worker, total)

    def end(self, order: StartedAttempt) -> None:
        if self.places.get(order.task) == order.attempt:
            del self.places[order.task]
        self.sizes[order.worker].pop(order.attempt, None)

    def hear(self, report: AttemptReport, endless: bool) -> None:
        """Note what the state was told, once it was; words after the end are idle."""
        if report.attempt in self.closed:
            return
        if report.state not in (AttemptState.RUNNING, AttemptState.HELD):
            self.closed.add(report.attempt)
        task = TaskId(report.attempt.rpartition("#")[0])
        if report.checkpoint is not None:
            self.checkpoints[task] = report.checkpoint
        if report.state is AttemptState.SUCCEEDED and not endless:
            self.finished.add(task)
