"""An observer that counts for itself what ran, where and when."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.types import (
    AttemptId,
    CheckpointId,
    Incarnation,
    TaskId,
    WorkerId,
)
from rhubarbfield.workers.bounds import (
    Resources,
)
from rhubarbfield.workers.orders import (
    StartAttempt,
)

EPOCH = datetime.fromtimestamp(0, UTC)


class Runner(msgspec.Struct, frozen=True, kw_only=True):
    """One process of a worker; a restarted one is another place."""

    worker: WorkerId
    incarnation: Incarnation


class RunSpan(msgspec.Struct, kw_only=True):
    """A stretch of time in which an attempt ran without a break.

    Attributes
    ----------
    runner, task, attempt
        What ran where.
    began, ended
        Readings of the observer's clock.
    """

    runner: Runner
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
        self._latest: dict[TaskId, dict[tuple[AttemptId, Runner], RunSpan]] = {}
        self._committed: dict[Runner, dict[AttemptId, Resources]] = {}

    def note_start(
        self, runner: Runner, capacity: Resources, order: StartAttempt
    ) -> None:
        """Count what is set aside for an attempt that a worker takes on."""
        attempts = self._committed.setdefault(runner, {})
        if order.attempt in attempts:
            self.violations.append(f"{order.attempt} was started twice on {runner}")
        attempts[order.attempt] = order.resources
        if order.checkpoint is not None:
            self.resumed.setdefault(order.checkpoint, []).append(order.attempt)
        if not _fits(tuple(attempts.values()), capacity):
            self.violations.append(f"{runner} got more than its capacity")

    def note_end(self, runner: Runner, attempt: AttemptId) -> None:
        """Stop counting an attempt that has ended on a worker."""
        self._committed.get(runner, {}).pop(attempt, None)

    def note_death(self, runner: Runner) -> None:
        """Stop counting all that a dead worker process had."""
        self._committed.pop(runner, None)

    def note_finish(self, task: TaskId, attempt: AttemptId) -> None:
        """Note that an attempt has done the last part of its task."""
        finished = self.finished.setdefault(task, [])
        finished.append(attempt)

    def note_run(
        self,
        runner: Runner,
        order: StartAttempt,
        began: timedelta,
        ended: timedelta,
    ) -> None:
        """Note that an attempt ran from ``began`` to ``ended``."""
        spans = self._latest.setdefault(order.task, {})
        place = (order.attempt, runner)
        for other, found in spans.items():
            if other != place and began < found.ended and found.began < ended:
                self.violations.append(
                    f"{order.task} ran as {other} and as {place} "
                    f"at {max(began, found.began)}"
                )
        span = spans.get(place)
        if span is None or span.ended != began:
            span = RunSpan(
                runner=runner,
                task=order.task,
                attempt=order.attempt,
                began=began,
                ended=ended,
            )
            spans[place] = span
            self.spans.append(span)
        span.ended = ended


class RecordedRun(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a record: an attempt ran from ``began`` to ``ended``, in UTC."""

    runner: Runner
    order: StartAttempt
    began: datetime
    ended: datetime


class RecordingObserver(Observer):
    """An observer that also writes down what ran, for a judge outside.

    Each line is written at once, so that a killed process loses no more than
    what ran since the last.

    Parameters
    ----------
    path
        The file to append to, one JSON object a line.
    clock
        The clock whose readings are noted.
    """

    def __init__(self, path: Path, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._file = path.open("ab", buffering=0)

    def note_run(
        self,
        runner: Runner,
        order: StartAttempt,
        began: timedelta,
        ended: timedelta,
    ) -> None:
        """Note that an attempt ran, and write it down."""
        super().note_run(runner, order, began, ended)
        zero = self._clock.now() - self._clock.monotonic()
        run = RecordedRun(
            runner=runner, order=order, began=zero + began, ended=zero + ended
        )
        self._file.write(msgspec.json.encode(run) + b"\n")

    def close(self) -> None:
        """Close the file; nothing may be noted after that."""
        self._file.close()


def judge_records(paths: Iterable[Path]) -> list[str]:
    """Return a sentence for each time that a task ran in two places.

    Parameters
    ----------
    paths
        What :class:`RecordingObserver` wrote in the processes of all workers.
    """
    judge = Observer()
    decoder = msgspec.json.Decoder(RecordedRun)
    for path in paths:
        for run in decoder.decode_lines(path.read_bytes()):
            judge.note_run(run.runner, run.order, run.began - EPOCH, run.ended - EPOCH)
    return judge.violations


def _fits(committed: tuple[Resources, ...], capacity: Resources) -> bool:
    cores = sum(resources.cores for resources in committed)
    memory_mb = sum(resources.memory_mb for resources in committed)
    accelerators = sum(resources.accelerators for resources in committed)
    return (
        cores <= capacity.cores
        and memory_mb <= capacity.memory_mb
        and accelerators <= capacity.accelerators
    )
