"""Steps whose runs fail wherever they run."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import StepName, name_step
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import WorkerId

MIN_WORKERS = 2  # on which runs of a step fail that is at fault itself


class StepFailures(msgspec.Struct):
    """Failed runs of one step since its last success.

    Attributes
    ----------
    failed_at
        When the latest of them failed.
    workers
        The workers on which they ran.
    """

    failed_at: timedelta
    workers: set[WorkerId] = msgspec.field(default_factory=set)


class FailingSteps:
    """Where runs of steps have failed, none of which has succeeded since.

    Parameters
    ----------
    retention
        Time without a failure after which those of a step are forgotten.
    find_running
        Returns the workers that have runs of a step.
    """

    def __init__(
        self,
        retention: timedelta,
        find_running: Callable[[StepName], Set[WorkerId]],
    ) -> None:
        self._retention = retention
        self._find_running = find_running
        self._failures: dict[StepName, StepFailures] = {}  # the latest is the last

    def record_failure(self, step: StepName, worker: WorkerId, now: timedelta) -> None:
        """Record that a run of a step failed on a worker."""
        self._drop_old(now)
        failures = self._failures.pop(step, None) or StepFailures(now)
        failures.failed_at = now
        failures.workers.add(worker)
        self._failures[step] = failures

    def record_success(self, step: StepName) -> None:
        """Record that a run of a step succeeded; its failures no longer count."""
        self._failures.pop(step, None)

    def list_workers(self, step: StepName) -> Set[WorkerId]:
        """Return the workers on which runs failed of a step that is at fault itself.

        There are none if its runs have failed on a single worker, or still work on as
        many others: the workers may as well be at fault.
        """
        failures = self._failures.get(step)
        if failures is None or len(failures.workers) < MIN_WORKERS:
            return frozenset()
        others = self._find_running(step) - failures.workers
        return failures.workers if len(failures.workers) > len(others) else frozenset()

    def _drop_old(self, now: timedelta) -> None:
        while self._failures:
            step, failures = next(iter(self._failures.items()))
            if now - failures.failed_at <= self._retention:
                return
            del self._failures[step]


def find_running(workers: Iterable[Worker], step: StepName) -> set[WorkerId]:
    """Return those of some workers that have runs of a step."""
    return {
        worker.worker
        for worker in workers
        if any(name_step(task) == step for task in worker.runs)
    }
