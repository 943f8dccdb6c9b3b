"""Choice of the due occurrences of recurring jobs to open.

A recurring job may have any number of occurrences that are due. Those that are opened
take part in each placement round, so that a job gets the next ones only once few of
its tasks wait for a worker that may take them. Tasks that no worker may take hold up
no further occurrences, until the job takes up much memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from rhubarbfield.scheduling.state import Job, TaskPhase
from rhubarbfield.types import JobId

MAX_WAITING_TASKS = 256  # of one job; as many as a round starts
# Of one job, in occurrences that have not ended: 12 MB of memory at most.
MAX_HELD_TASKS = 16_384
MAX_OPENED = 1024  # occurrences of one command, which has a size limit


def choose_due(
    jobs: Iterable[Job],
    now_ms: float,
    list_possible: Callable[[Job], Sequence[bool]],
) -> tuple[tuple[JobId, int], ...]:
    """Return the occurrences to open now, by job and number.

    Parameters
    ----------
    jobs
        The open jobs that recur.
    now_ms
        Time of day, in ms since 1970.
    list_possible
        Returns of each step of a job whether idle workers could run its tasks.
    """
    chosen: list[tuple[JobId, int]] = []
    for job in jobs:
        first = job.next_occurrence
        due = min(_count_due(job, now_ms) - first, MAX_OPENED - len(chosen))
        if due <= 0:
            continue
        opened = min(due, _count_room(job, list_possible(job)))
        chosen += [(job.job, number) for number in range(first, first + opened)]
    return tuple(chosen)


def _count_due(job: Job, now_ms: float) -> int:
    """Return the number of occurrences that have come due so far."""
    recurrence = job.submission.recurrence
    if recurrence is None or not job.is_open or now_ms < recurrence.first_ms:
        return 0
    if recurrence.interval_ms <= 0:
        return recurrence.times
    elapsed = (now_ms - recurrence.first_ms) / recurrence.interval_ms
    return min(recurrence.times, math.floor(elapsed) + 1)


def _count_room(job: Job, possible: Sequence[bool]) -> int:
    """Return how many further occurrences of a job may be opened.

    Parameters
    ----------
    job
        The job.
    possible
        Of each step, whether idle workers could run its tasks. If none is, they all
        count, since further occurrences would be of no use.
    """
    counted = possible if any(possible) else [True] * len(possible)
    waiting = MAX_WAITING_TASKS - _count_waiting(job, counted)
    steps = job.submission.steps
    tasks = sum(
        step.tasks for step, counts in zip(steps, counted, strict=True) if counts
    )
    held = MAX_HELD_TASKS - _count_held(job)
    return max(
        min(
            math.ceil(waiting / tasks),
            math.ceil(held / sum(step.tasks for step in steps)),
        ),
        0,
    )


def _count_waiting(job: Job, counted: Sequence[bool]) -> int:
    """Return the number of tasks that could start if there was capacity for them."""
    return sum(
        task.phase is TaskPhase.WAITING
        for occurrence, steps in job.unfinished.items()
        for number, progress in enumerate(steps)
        if counted[number] and job.is_step_ready(occurrence, number)
        for task in progress.tasks
    )


def _count_held(job: Job) -> int:
    """Return the number of tasks in the occurrences that have not ended."""
    return sum(
        len(progress.tasks) for steps in job.unfinished.values() for progress in steps
    )
