"""Choice of the due occurrences of recurring jobs to open.

A recurring job may have any number of occurrences that are due. Those that are opened
take part in each placement round, so that a job gets the next ones only once few of
its tasks wait for a worker.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from rhubarbfield.scheduling.state import Job, TaskPhase
from rhubarbfield.types import JobId

MAX_WAITING_TASKS = 256  # of one job; as many as a round starts
MAX_OPENED = 1024  # occurrences of one command, which has a size limit


def choose_due(jobs: Iterable[Job], now_ms: float) -> tuple[tuple[JobId, int], ...]:
    """Return the occurrences to open now, by job and number.

    Parameters
    ----------
    jobs
        The open jobs that recur.
    now_ms
        Time of day, in ms since 1970.
    """
    chosen: list[tuple[JobId, int]] = []
    for job in jobs:
        first = job.next_occurrence
        due = min(_count_due(job, now_ms) - first, MAX_OPENED - len(chosen))
        if due <= 0:
            continue
        room = MAX_WAITING_TASKS - _count_waiting(job)
        tasks = sum(step.tasks for step in job.submission.steps)
        opened = min(due, math.ceil(room / tasks))
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


def _count_waiting(job: Job) -> int:
    """Return the number of tasks that could start if there was capacity for them."""
    return sum(
        task.phase is TaskPhase.WAITING
        for occurrence, steps in job.unfinished.items()
        for number, progress in enumerate(steps)
        if job.is_step_ready(occurrence, number)
        for task in progress.tasks
    )
