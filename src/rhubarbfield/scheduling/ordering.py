"""Order in which waiting jobs are served.

Jobs are ranked for the case that more work is submitted than the workers can do.
Jobs that can still be on time go before those that can only be late. Within each
group, jobs with the most value for their remaining work go first, so that few
jobs are very late instead of all of them a little.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from enum import IntEnum

import msgspec

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.model import JobSubmission, Queue, Step
from rhubarbfield.scheduling.ranges import MAX_LATENCY_GOAL_MS, MAX_SLOWDOWN
from rhubarbfield.scheduling.state import Job, StepProgress, Task, TaskPhase

LATE_GOAL_MULTIPLE = 3  # a job that takes this many times its goal has no value
ESTIMATE_MARGIN = 1.1  # factor on the critical path that covers commits, calls, views
# Estimates have no bound of their own; sums of larger ones are not valid durations.
MAX_ESTIMATE_MS = timedelta(days=30) // MILLISECOND
BASE_VALUE = 0.3  # value that every job has; the rest grows with its work


class Outlook(IntEnum):
    """Whether a job can still reach its goal.

    Attributes
    ----------
    INTERRUPTED
        The job has no end, and a task of it that has worked does not work now. It
        goes first: jobs that can be on time come without end, too, and would leave
        it no room.
    STANDING
        The job has no end; it goes after jobs that can be on time.
    """

    INTERRUPTED = -1
    ON_TIME = 0
    STANDING = 1
    LATE = 2
    TOO_LATE = 3


class RemainingWork(msgspec.Struct, frozen=True):
    """Remaining and total work of a job, by its estimates.

    Attributes
    ----------
    critical_path
        Duration of the longest chain of dependent steps that are not done.
    total_critical_path
        Duration of the longest chain of all dependent steps.
    millicore_ms
        Millicores times ms of all tasks that are not done.
    total_millicore_ms
        Millicores times ms of all tasks.
    is_standing
        Whether the job runs until it is cancelled.
    """

    critical_path: timedelta
    total_critical_path: timedelta
    millicore_ms: float
    total_millicore_ms: float
    is_standing: bool = False


def measure_work(job: Job) -> RemainingWork:
    """Return the work of a job; of a recurring job, that of its latest occurrence."""
    return measure_submission(job.submission, [step.done for step in find_latest(job)])


def find_latest(job: Job) -> Sequence[StepProgress]:
    """Return the progress of the latest occurrence that has not ended, if any."""
    return next(reversed(job.unfinished.values()), ())


def measure_submission(
    submission: JobSubmission, done: Sequence[int] | None = None
) -> RemainingWork:
    """Return the work of a job.

    Parameters
    ----------
    submission
        The job.
    done
        Number of tasks that are done, by step; by default none.
    """
    steps = submission.steps
    left: list[float] = []
    whole: list[float] = []
    millicore_ms = 0.0
    total_millicore_ms = 0.0
    for step, done_tasks in zip(steps, done or [0] * len(steps), strict=True):
        before_left = max((left[other] for other in step.after), default=0.0)
        before_whole = max((whole[other] for other in step.after), default=0.0)
        estimate_ms = min(step.estimate_ms, MAX_ESTIMATE_MS)
        left.append(before_left + (0 if done_tasks >= step.tasks else estimate_ms))
        whole.append(before_whole + estimate_ms)
        each = float(estimate_ms * max(step.demand.millicores, 1))
        millicore_ms += each * (step.tasks - done_tasks)
        total_millicore_ms += each * step.tasks
    return RemainingWork(
        critical_path=max(left) * MILLISECOND,
        total_critical_path=max(whole) * MILLISECOND,
        millicore_ms=millicore_ms,
        total_millicore_ms=total_millicore_ms,
        is_standing=any(step.standing for step in steps),
    )


def find_goal(work: RemainingWork, queue: Queue) -> timedelta:
    """Return how long a job of ``queue`` should take at most."""
    # An earlier version accepted goals that are no valid durations.
    slowdown = min(max(queue.slowdown_goal, 0), MAX_SLOWDOWN)
    latency_ms = min(queue.latency_goal_ms, MAX_LATENCY_GOAL_MS)
    return work.total_critical_path * slowdown + latency_ms * MILLISECOND


def is_interrupted(job: Job) -> bool:
    """Return whether a standing task that has worked waits to be started again."""
    return any(
        awaits_restart(job.get_step(number), task)
        for steps in job.unfinished.values()
        for number, progress in enumerate(steps)
        for task in progress.tasks
    )


def awaits_restart(step: Step, task: Task) -> bool:
    """Return whether a task of a step is standing, has worked and does not now."""
    return step.standing and task.last_run > 0 and task.phase is TaskPhase.WAITING


def find_outlook(
    work: RemainingWork, queue: Queue, age: timedelta, *, interrupted: bool = False
) -> Outlook:
    """Return the outlook of a job that was submitted ``age`` ago."""
    if work.is_standing:
        return Outlook.INTERRUPTED if interrupted else Outlook.STANDING
    goal = find_goal(work, queue)
    end = age + work.critical_path * ESTIMATE_MARGIN
    if end <= goal:
        return Outlook.ON_TIME
    return Outlook.LATE if end <= goal * LATE_GOAL_MULTIPLE else Outlook.TOO_LATE


def rank_job(
    work: RemainingWork,
    queue: Queue,
    age: timedelta,
    mean_millicore_ms: float,
    *,
    interrupted: bool = False,
) -> tuple[float, ...]:
    """Return the rank of a job among the waiting ones; the lowest goes first.

    Parameters
    ----------
    work
        Remaining and total work of the job.
    queue
        The job's queue.
    age
        Time since the job was submitted.
    mean_millicore_ms
        Mean of ``total_millicore_ms`` of the jobs in this queue.
    interrupted
        Whether a standing task of the job is to be started again.
    """
    value = BASE_VALUE + (1 - BASE_VALUE) * work.total_millicore_ms / max(
        mean_millicore_ms, 1
    )
    density = value / max(work.millicore_ms, 1)
    outlook = find_outlook(work, queue, age, interrupted=interrupted)
    return (queue.priority, outlook, -density)
