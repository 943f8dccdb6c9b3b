"""Runs that ended as done, and the starts that the users' rules forbid after them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from rhubarbfield.scheduling.model import RunNumber, StepName, TaskName
from rhubarbfield.types import WorkerId

if TYPE_CHECKING:
    from tests.scheduling.late_orders import LateFleet


class DoneRun(msgspec.Struct):
    """A run that ended as done.

    Attributes
    ----------
    task, run, worker
        The run, and where it ended.
    number
        Number of the end in the worker's list.
    ended_at
        Monotonic time of the end.
    counts
        Whether the end was acknowledged before the worker's lease lapsed; None before
        either.
    acknowledged_at
        Monotonic time at which the end was acknowledged, or None.
    listed_at
        Monotonic time at which the worker first listed the end, or None.
    is_listed_late
        Whether the worker's lease had lapsed before that.
    arrived_at
        Monotonic time at which a view that lists the end first reached its caller, or
        None.
    """

    task: TaskName
    run: RunNumber
    worker: WorkerId
    number: int
    ended_at: timedelta
    counts: bool | None = None
    acknowledged_at: timedelta | None = None
    listed_at: timedelta | None = None
    is_listed_late: bool = False
    arrived_at: timedelta | None = None


class RepeatedStart(msgspec.Struct, frozen=True):
    """A start of a task after one of its runs had ended as done, and was listed.

    Attributes
    ----------
    done
        The run that had ended.
    left_at
        Monotonic time at which the life of its worker ended, or None.
    started_at, worker
        The start.
    """

    done: DoneRun
    left_at: timedelta | None
    started_at: timedelta
    worker: WorkerId

    def __str__(self) -> str:
        """Return who knew what, and when."""
        done = self.done
        return (
            f"{done.task} starts at {_format(self.started_at)} on {self.worker} after"
            f" run {done.run} on {done.worker} was done at {_format(done.ended_at)}:"
            f" listed {_format(done.listed_at)}, arrived {_format(done.arrived_at)},"
            f" acknowledged {_format(done.acknowledged_at)},"
            f" worker ended {_format(self.left_at)}"
        )


def list_starts_of_listed(fleet: LateFleet) -> list[RepeatedStart]:
    """Return the starts after an end as done that was listed under its lease.

    With no disruption near, such an end counts as taken note of 100 ms after it was
    listed, whatever became of the reply. The end of one member of a gang stands for
    all.
    """
    starts: dict[TaskName | StepName, list[tuple[timedelta, WorkerId]]] = {}
    for worker in fleet.lives:
        for task, _, at in worker.started:
            whole = fleet.name_whole(task)
            starts.setdefault(whole, []).append((at, worker.worker))
    return [
        RepeatedStart(done, worker.crash_at, *start)
        for worker in fleet.lives
        for done in worker.done
        if done.listed_at is not None and not done.is_listed_late
        if done.task not in fleet.endless
        for start in _find_first_after(starts, fleet.name_whole(done.task), done)
    ]


def _find_first_after(
    starts: Mapping[TaskName | StepName, Iterable[tuple[timedelta, WorkerId]]],
    whole: TaskName | StepName,
    done: DoneRun,
) -> list[tuple[timedelta, WorkerId]]:
    return sorted(each for each in starts[whole] if each[0] > done.ended_at)[:1]


def _format(at: timedelta | None) -> str:
    return "never" if at is None else f"{at.total_seconds():.3f}"
