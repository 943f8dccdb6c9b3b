"""In which order waiting work is served.

Answers the load in which more work is handed in than the workers can do: what
can still be on time goes before what can only be late, and what is worth most
for the work that is left goes first, so that few jobs are late by much instead
of all by a little.
"""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum

import msgspec

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.model import Queue
from rhubarbfield.scheduling.state import Job

LATE_GOAL_MULTIPLE = 3  # multiples of its goal after which a job earns nothing
ESTIMATE_MARGIN = 1.1  # on top of the chain: commits, calls and views on the way
BASE_VALUE = 0.3  # of a job, however small; the rest grows with its work


class Outlook(IntEnum):
    """What a job can still reach.

    Attributes
    ----------
    STANDING
        It has no end; its tasks go after what is short and can be on time.
    """

    ON_TIME = 0
    STANDING = 1
    LATE = 2
    TOO_LATE = 3


class RemainingWork(msgspec.Struct, frozen=True):
    """What a job has left, by its estimates.

    Attributes
    ----------
    chain
        The longest chain of its steps that are not done.
    whole_chain
        The longest chain of all its steps.
    core_ms
        Millicores times ms of all tasks that are not done.
    whole_core_ms
        The same of all its tasks.
    is_standing
        Whether the job lasts until it is cancelled.
    """

    critical_path: timedelta
    total_critical_path: timedelta
    millicore_ms: float
    total_millicore_ms: float
    is_standing: bool = False


def measure_work(job: Job) -> RemainingWork:
    """Return what a job has left; of a recurring job, in one occurrence."""
    steps = job.submission.steps
    progress = next(reversed(job.occurrences.values()), None)
    left: list[float] = []
    whole: list[float] = []
    millicore_ms = 0.0
    total_millicore_ms = 0.0
    for number, step in enumerate(steps):
        before_left = max((left[other] for other in step.after), default=0.0)
        before_whole = max((whole[other] for other in step.after), default=0.0)
        done = progress[number].done if progress is not None else 0
        open_ms = 0 if done >= step.tasks else step.estimate_ms
        left.append(before_left + open_ms)
        whole.append(before_whole + step.estimate_ms)
        each = float(step.estimate_ms * max(step.demand.millicores, 1))
        millicore_ms += each * (step.tasks - done)
        total_millicore_ms += each * step.tasks
    return RemainingWork(
        critical_path=max(left) * MILLISECOND,
        total_critical_path=max(whole) * MILLISECOND,
        millicore_ms=millicore_ms,
        total_millicore_ms=total_millicore_ms,
        is_standing=any(step.standing for step in steps),
    )


def find_goal(work: RemainingWork, queue: Queue) -> timedelta:
    """Return how long a job of ``queue`` should take."""
    return (
        work.total_critical_path * queue.slowdown_goal
        + queue.latency_goal_ms * MILLISECOND
    )


def find_outlook(work: RemainingWork, queue: Queue, age: timedelta) -> Outlook:
    """Return what a job can reach that was handed in ``age`` ago."""
    if work.is_standing:
        return Outlook.STANDING
    goal = find_goal(work, queue)
    end = age + work.critical_path * ESTIMATE_MARGIN
    if end <= goal:
        return Outlook.ON_TIME
    return Outlook.LATE if end <= goal * LATE_GOAL_MULTIPLE else Outlook.TOO_LATE


def rank_job(
    work: RemainingWork, queue: Queue, age: timedelta, mean_millicore_ms: float
) -> tuple[float, ...]:
    """Return the rank of a job among the waiting; the lowest goes first.

    Parameters
    ----------
    work
        What the job has left.
    queue
        Its queue.
    age
        Since it was handed in.
    mean_core_ms
        The mean work of a job of this queue.
    """
    value = BASE_VALUE + (1 - BASE_VALUE) * work.total_millicore_ms / max(
        mean_millicore_ms, 1
    )
    density = value / max(work.millicore_ms, 1)
    return (queue.priority, find_outlook(work, queue, age), -density)
