"""Steps whose runs fail wherever they run."""

from __future__ import annotations

from collections.abc import Callable, Set
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import StepName
from rhubarbfield.types import WorkerId

# On which runs of a step fail that is at fault itself: a task that fails on two may
# have met two faulty workers, and few have attempts for more.
MIN_WORKERS = 3


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
        """Return the workers on which runs of a step have failed since a success."""
        failures = self._failures.get(step)
        return frozenset() if failures is None else failures.workers

    def is_at_fault(self, step: StepName) -> bool:
        """Return whether a step fails on most workers, so that it is at fault itself.

        It is not if its runs have failed on few, or still work on as many others.
        """
        failed = self.list_workers(step)
        if len(failed) < MIN_WORKERS:
            return False
        return len(failed) > len(self._find_running(step) - failed)

    def _drop_old(self, now: timedelta) -> None:
        while self._failures:
            step, failures = next(iter(self._failures.items()))
            if now - failures.failed_at <= self._retention:
                return
            del self._failures[step]
