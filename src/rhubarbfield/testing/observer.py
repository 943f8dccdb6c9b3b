"""An observer that counts for itself what ran, where and when."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import AttemptId, CheckpointId, TaskId, WorkerId
from rhubarbfield.workers.bounds import (
    Resources,
)
from rhubarbfield.workers.orders import (
    StartAttempt,
)


class RunSpan(msgspec.Struct, kw_only=True):
    """A stretch of time in which an attempt ran without a break.

    Attributes
    ----------
    worker, task, attempt
        What ran where.
    began, ended
        Readings of the observer's clock.
    """

    worker: WorkerId
    task: TaskId
    attempt: AttemptId
    began: timedelta
    ended: timedelta


class Observer:
    """Watches stand-in workers from outside of the system's own records.

    Attributes
    ----------
    violations
        A sentence for each promise that was seen broken.
    spans
        What ran, in the order in which it was noted.
    resumed
        For each checkpoint, the attempts that resumed from it.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.spans: list[RunSpan] = []
        self.resumed: dict[CheckpointId, list[AttemptId]] = {}
        self.finished: dict[TaskId, list[AttemptId]] = {}
        self._latest: dict[TaskId, dict[AttemptId, RunSpan]] = {}
        self._committed: dict[WorkerId, dict[AttemptId, Resources]] = {}

    def note_start(
        self, worker: WorkerId, capacity: Resources, order: StartAttempt
    ) -> None:
        """Count what is set aside for an attempt that a worker takes on."""
        attempts = self._committed.setdefault(worker, {})
        if order.attempt in attempts:
            self.violations.append(f"{order.attempt} was started twice on {worker}")
        attempts[order.attempt] = order.resources
        if order.checkpoint is not None:
            self.resumed.setdefault(order.checkpoint, []).append(order.attempt)
        if not _fits(tuple(attempts.values()), capacity):
            self.violations.append(f"{worker} got more than its capacity")

    def note_end(self, worker: WorkerId, attempt: AttemptId) -> None:
        """Stop counting an attempt that has ended on a worker."""
        self._committed.get(worker, {}).pop(attempt, None)

    def note_death(self, worker: WorkerId) -> None:
        """Stop counting all that a dead worker process had."""
        self._committed.pop(worker, None)

    def note_finish(self, task: TaskId, attempt: AttemptId) -> None:
        """Note that an attempt has done the last part of its task."""
        finished = self.finished.setdefault(task, [])
        finished.append(attempt)

    def note_run(
        self,
        worker: WorkerId,
        order: StartAttempt,
        began: timedelta,
        ended: timedelta,
    ) -> None:
        """Note that an attempt ran from ``began`` to ``ended``."""
        attempts = self._latest.setdefault(order.task, {})
        for other, found in attempts.items():
            if other != order.attempt and began < found.ended and found.began < ended:
                self.violations.append(
                    f"{order.task} ran as {other} on {found.worker} and as "
                    f"{order.attempt} on {worker} at {max(began, found.began)}"
                )
        span = attempts.get(order.attempt)
        if span is None or span.ended != began or span.worker != worker:
            span = RunSpan(
                worker=worker,
                task=order.task,
                attempt=order.attempt,
                began=began,
                ended=ended,
            )
            attempts[order.attempt] = span
            self.spans.append(span)
        span.ended = ended


def _fits(committed: tuple[Resources, ...], capacity: Resources) -> bool:
    cores = sum(resources.cores for resources in committed)
    memory_mb = sum(resources.memory_mb for resources in committed)
    accelerators = sum(resources.accelerators for resources in committed)
    return (
        cores <= capacity.cores
        and memory_mb <= capacity.memory_mb
        and accelerators <= capacity.accelerators
    )
