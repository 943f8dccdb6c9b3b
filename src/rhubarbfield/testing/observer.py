"""Independent records of which attempts ran on stand-in workers, and when."""

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

UNIX_EPOCH = datetime.fromtimestamp(0, UTC)


class Runner(msgspec.Struct, frozen=True, kw_only=True):
    """One process of a worker; a restarted process is another runner."""

    worker: WorkerId
    incarnation: Incarnation


class RunSpan(msgspec.Struct, kw_only=True):
    """An interval in which an attempt ran without interruption.

    Attributes
    ----------
    runner, task, attempt
        The attempt and the process that ran it.
    began, ended
        Readings of the observer's clock.
    """

    runner: Runner
    task: TaskId
    attempt: AttemptId
    began: timedelta
    ended: timedelta


class Observer:
    """Checks the guarantees for attempts independently of the system's records.

    Attributes
    ----------
    violations
        A sentence for each violation of a guarantee.
    spans
        Intervals in which attempts ran, in the order in which they were recorded.
    resumed
        For each checkpoint, the attempts that resumed from it.
    finished
        For each task, the attempts that completed it.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.spans: list[RunSpan] = []
        self.resumed: dict[CheckpointId, list[AttemptId]] = {}
        self.finished: dict[TaskId, list[AttemptId]] = {}
        self._latest: dict[TaskId, dict[tuple[AttemptId, Runner], RunSpan]] = {}
        self._committed: dict[Runner, dict[AttemptId, Resources]] = {}

    def record_start(
        self, runner: Runner, capacity: Resources, order: StartAttempt
    ) -> None:
        """Record that a worker process starts an attempt and uses its resources."""
        attempts = self._committed.setdefault(runner, {})
        if order.attempt in attempts:
            self.violations.append(f"{order.attempt} was started twice on {runner}")
        attempts[order.attempt] = order.resources
        if order.checkpoint is not None:
            self.resumed.setdefault(order.checkpoint, []).append(order.attempt)
        if not _fits(tuple(attempts.values()), capacity):
            self.violations.append(f"{runner} got more than its capacity")

    def record_end(self, runner: Runner, attempt: AttemptId) -> None:
        """Record that an attempt has ended and no longer uses its resources."""
        self._committed.get(runner, {}).pop(attempt, None)

    def record_process_end(self, runner: Runner) -> None:
        """Record that a worker process has ended, and with it all its attempts."""
        self._committed.pop(runner, None)

    def record_finish(self, task: TaskId, attempt: AttemptId) -> None:
        """Record that an attempt has completed its task."""
        finished = self.finished.setdefault(task, [])
        finished.append(attempt)

    def record_run(
        self,
        runner: Runner,
        order: StartAttempt,
        began: timedelta,
        ended: timedelta,
    ) -> None:
        """Record that an attempt ran from ``began`` to ``ended``."""
        spans = self._latest.setdefault(order.task, {})
        own_key = (order.attempt, runner)
        for other, found in spans.items():
            if other != own_key and began < found.ended and found.began < ended:
                self.violations.append(
                    f"{order.task} ran as {other} and as {own_key} "
                    f"at {max(began, found.began)}"
                )
        span = spans.get(own_key)
        if span is None or span.ended != began:
            span = RunSpan(
                runner=runner,
                task=order.task,
                attempt=order.attempt,
                began=began,
                ended=ended,
            )
            spans[own_key] = span
            self.spans.append(span)
        span.ended = ended


class RecordedRun(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a record file: an attempt ran from ``began`` to ``ended``, in UTC."""

    runner: Runner
    order: StartAttempt
    began: datetime
    ended: datetime


class RecordingObserver(Observer):
    """An observer that also writes runs to a file, for checks across processes.

    Each line is written unbuffered, so that a killed process loses no more than
    the run since the last line.

    Parameters
    ----------
    path
        File to append to, one JSON object per line.
    clock
        Clock whose readings are recorded.
    """

    def __init__(self, path: Path, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._file = path.open("ab", buffering=0)

    def record_run(
        self,
        runner: Runner,
        order: StartAttempt,
        began: timedelta,
        ended: timedelta,
    ) -> None:
        """Record that an attempt ran, and append it to the file."""
        super().record_run(runner, order, began, ended)
        zero = self._clock.now() - self._clock.monotonic()
        run = RecordedRun(
            runner=runner, order=order, began=zero + began, ended=zero + ended
        )
        self._file.write(msgspec.json.encode(run) + b"\n")

    def close(self) -> None:
        """Close the file; nothing may be recorded after that."""
        self._file.close()


def find_violations(paths: Iterable[Path]) -> list[str]:
    """Return a sentence for each time that a task ran twice at the same time.

    Parameters
    ----------
    paths
        Files that :class:`RecordingObserver` wrote in the processes of all workers.
    """
    observer = Observer()
    decoder = msgspec.json.Decoder(RecordedRun)
    for path in paths:
        for run in decoder.decode_lines(path.read_bytes()):
            observer.record_run(
                run.runner, run.order, run.began - UNIX_EPOCH, run.ended - UNIX_EPOCH
            )
    return observer.violations


def _fits(committed: tuple[Resources, ...], capacity: Resources) -> bool:
    cores = sum(resources.cores for resources in committed)
    memory_mb = sum(resources.memory_mb for resources in committed)
    accelerators = sum(resources.accelerators for resources in committed)
    return (
        cores <= capacity.cores
        and memory_mb <= capacity.memory_mb
        and accelerators <= capacity.accelerators
    )
