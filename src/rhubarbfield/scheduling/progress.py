"""Progress of runs, from the workers' views."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.scheduling.ports import ActiveRun

# The longest time between two views of a worker that answers.
MAX_COUNTED_GAP = timedelta(milliseconds=1500)


class RunKey(msgspec.Struct, frozen=True):
    """One run of a task."""

    task: TaskName
    run: RunNumber


class ProgressMark(msgspec.Struct, frozen=True):
    """Latest progress of a run, and the observed time since which it is unchanged.

    It may have been unchanged since the first view of the run.
    """

    percent: float
    since: timedelta
    has_advanced: bool = False


class Progress:
    """The progress of the runs on one worker.

    Times are *observed* times: they advance by the worker's clock from view to view,
    so that a view that arrives late is not taken for a lack of progress. A gap
    between two views counts for ``MAX_COUNTED_GAP`` at most: a worker that was
    silent meanwhile may have stood still, and can show progress in the next view.
    """

    def __init__(self) -> None:
        self._marks: dict[RunKey, ProgressMark] = {}
        self._worker_clock: timedelta | None = None
        self._observed = timedelta()
        # No run is without progress for longer; a reset only shortens the time.
        self._earliest = timedelta()

    def update(self, active: Iterable[ActiveRun], worker_clock: timedelta) -> None:
        """Update from a view; runs that it does not list are dropped.

        Parameters
        ----------
        active
            The active runs in the view, without those of standing tasks, whose
            percentage stays the same while they serve.
        worker_clock
            The worker's clock in the view.
        """
        if self._worker_clock is not None:
            gap = worker_clock - self._worker_clock
            self._observed += min(max(gap, timedelta()), MAX_COUNTED_GAP)
        self._worker_clock = worker_clock
        now = self._observed
        marks: dict[RunKey, ProgressMark] = {}
        for run in active:
            key = RunKey(run.task, run.run)
            mark = self._marks.get(key)
            if mark is None or mark.percent != run.percent:
                has_advanced = mark is not None and (
                    mark.has_advanced or run.percent > mark.percent
                )
                mark = ProgressMark(run.percent, now, has_advanced)
            marks[key] = mark
        self._marks = marks
        self._earliest = min((mark.since for mark in marks.values()), default=now)

    def reset(self, key: RunKey, view_age: timedelta) -> None:
        """Restart the stall timer of a run, after its pace was changed.

        Parameters
        ----------
        key
            The run.
        view_age
            Time since the latest view.
        """
        mark = self._marks.get(key)
        if mark is not None:
            now = self._observed + min(view_age, MAX_COUNTED_GAP)
            self._marks[key] = msgspec.structs.replace(mark, since=now)

    def has_advanced(self, key: RunKey) -> bool:
        """Return whether the progress of a run has grown since its first view."""
        mark = self._marks.get(key)
        return mark is not None and mark.has_advanced

    def list_stalled(self, limit: timedelta) -> list[RunKey]:
        """Return runs without progress for longer than ``limit`` at the last view."""
        if self._observed - self._earliest <= limit:
            return []
        return [
            key
            for key, mark in self._marks.items()
            if self._observed - mark.since > limit
        ]
