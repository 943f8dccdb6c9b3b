"""Progress of runs, from the workers' views."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.scheduling.ports import ActiveRun


class RunKey(msgspec.Struct, frozen=True):
    """One run of a task."""

    task: TaskName
    run: RunNumber


class ProgressMark(msgspec.Struct, frozen=True):
    """Latest progress of a run, and the time since which it is unchanged."""

    percent: float
    since: timedelta


class Progress:
    """The progress of the runs on one worker."""

    def __init__(self) -> None:
        self._marks: dict[RunKey, ProgressMark] = {}
        self._viewed_at = timedelta()
        # No run is without progress for longer; a reset only shortens the time.
        self._earliest = timedelta()

    def update(self, active: Iterable[ActiveRun], now: timedelta) -> None:
        """Update from a view; runs that it does not list are dropped."""
        marks: dict[RunKey, ProgressMark] = {}
        for run in active:
            key = RunKey(run.task, run.run)
            mark = self._marks.get(key)
            if mark is None or mark.percent != run.percent:
                mark = ProgressMark(run.percent, now)
            marks[key] = mark
        self._marks = marks
        self._viewed_at = now
        self._earliest = min((mark.since for mark in marks.values()), default=now)

    def reset(self, key: RunKey, now: timedelta) -> None:
        """Restart the stall timer of a run, after its pace was changed."""
        mark = self._marks.get(key)
        if mark is not None:
            self._marks[key] = ProgressMark(mark.percent, now)

    def list_stalled(self, limit: timedelta) -> list[RunKey]:
        """Return runs without progress for longer than ``limit`` at the last view."""
        if self._viewed_at - self._earliest <= limit:
            return []
        return [
            key
            for key, mark in self._marks.items()
            if self._viewed_at - mark.since > limit
        ]
