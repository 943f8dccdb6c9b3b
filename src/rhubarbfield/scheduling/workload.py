"""What jobs reserve, and for how long, by their callers' estimates."""

from __future__ import annotations

import functools
from collections.abc import Iterable, Sequence

from rhubarbfield.scheduling.model import Demand, JobSubmission
from rhubarbfield.scheduling.state import Job


def measure_standing(submission: JobSubmission) -> Demand:
    """Return what the standing tasks of a job reserve together."""
    return add_up(
        step.reserved.times(step.tasks) for step in submission.steps if step.standing
    )


def measure_finite(
    submission: JobSubmission, horizon_ms: float, possible: Sequence[bool]
) -> float:
    """Return millicores times ms that the finite tasks of a job reserve.

    A task counts for at most ``horizon_ms``, and only if its step is possible.
    """
    return sum(
        step.reserved.millicores * min(step.estimate_ms, horizon_ms) * step.tasks
        for step, is_possible in zip(submission.steps, possible, strict=True)
        if is_possible and not step.standing
    )


def measure_remaining(job: Job, horizon_ms: float, possible: Sequence[bool]) -> float:
    """Return millicores times ms of the finite tasks of a job that are not done.

    A task counts for at most ``horizon_ms``, and only if its step is possible.
    """
    return sum(
        step.reserved.millicores
        * min(step.estimate_ms, horizon_ms)
        * (step.tasks - progress.done)
        for steps in job.unfinished.values()
        for step, progress, is_possible in zip(
            job.submission.steps, steps, possible, strict=True
        )
        if is_possible and not step.standing
    )


def fits_limit(wanted: Demand, held: Demand, limit: Demand) -> bool:
    """Return whether the limits hold for each resource that is wanted."""
    after = held.plus(wanted)
    return all(
        not want or total <= most
        for want, total, most in (
            (wanted.millicores, after.millicores, limit.millicores),
            (wanted.memory_mb, after.memory_mb, limit.memory_mb),
            (wanted.accelerators, after.accelerators, limit.accelerators),
        )
    )


def add_up(demands: Iterable[Demand]) -> Demand:
    """Return the sum of some demands."""
    return functools.reduce(Demand.plus, demands, Demand())
