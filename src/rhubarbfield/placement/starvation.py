"""Prevention of starvation of large jobs by a steady flow of small tasks."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbfield.placement.fleet import Fleet, PlacementRequest
from rhubarbfield.placement.runnable import (
    check_runnable,
    count_places,
    find_usable,
)
from rhubarbfield.placement.state import Job

LARGE_SHARE = 0.25  # a task above this share of the largest worker is large


def find_starving(fleet: Fleet, jobs: Iterable[Job]) -> Job | None:
    """Return the large job that is to be placed before all others now.

    Gangs, and jobs whose tasks need more than a quarter of a worker, are placed
    first in turns. A turn lasts one ``starvation_delay``, and so do the waiting time
    before the first turn and the pauses between turns.
    """
    starving = [
        job for job in jobs if _is_large(fleet, job) and _is_in_turn(fleet, job)
    ]
    return min(starving, key=lambda job: (job.accepted_at, job.spec.job), default=None)


def _is_large(fleet: Fleet, job: Job) -> bool:
    if job.spec.gang:
        return True
    size = fleet.observations.sizes.estimate(job.spec)
    return size.dominant_share(fleet.largest) > LARGE_SHARE


def _is_in_turn(fleet: Fleet, job: Job) -> bool:
    if job.spec.endless or not job.pending:
        return False
    task = fleet.state.tasks[next(iter(job.pending))]
    waited = (fleet.now - task.queued_at) / fleet.settings.starvation_delay
    return int(waited) % 2 == 1


def describe_outgrown_gang(fleet: Fleet, job: Job) -> str | None:
    """Return why a gang can never fit by the observed size of similar tasks.

    Returns None for a gang that fits, and for one that is too large as declared:
    it waits for more workers to join.
    """
    spec = job.spec
    if not spec.gang or job.live or check_runnable(fleet.state, spec):
        return None
    size = fleet.observations.sizes.estimate_without_margin(spec).reduce(
        fleet.largest_known
    )
    places = sum(
        count_places(size, find_usable(worker.announced))
        for worker in fleet.state.workers.values()
    )
    if places >= len(job.pending):
        return None
    return (
        f"tasks like these were seen to need {size.describe()}; the workers hold "
        f"{places} of the {len(job.pending)} tasks of the gang"
    )


def is_short_of_headroom(fleet: Fleet, request: PlacementRequest, tasks: int) -> bool:
    """Return whether tasks would fit on empty workers but not in present headroom."""
    free = sum(
        count_places(request.size, planned.headroom)
        for planned in fleet.planned_workers
    )
    whole = sum(
        count_places(request.size, fleet.headroom_if_empty(planned))
        for planned in fleet.planned_workers
    )
    return free < tasks <= whole
