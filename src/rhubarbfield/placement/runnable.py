"""Checks whether a job could ever run on the known workers."""

from __future__ import annotations

from rhubarbfield.placement.replies import (
    Impossible,
    ImpossibleReason,
)
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import JobSpec, Worker, WorkState

MAX_TASKS = 10_000
MAX_CORES = 100_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 100_000
MEMORY_RESERVE = 0.1  # fraction of a worker's memory


def find_usable(announced: Resources) -> Resources:
    """Return the part of a worker's capacity that may be planned for tasks.

    A memory reserve is kept for tasks that turn out larger than estimated.
    """
    memory_mb = int(announced.memory_mb * (1 - MEMORY_RESERVE))
    return Resources(announced.millicores, memory_mb, announced.accelerators)


def check_runnable(state: WorkState, spec: JobSpec) -> Impossible | None:
    """Return why a job can never run, or ``None`` if it might.

    Absent workers count, since they may return. While no worker is known, no job
    is too large.

    Parameters
    ----------
    state
        State with the workers and quotas.
    spec
        The job's spec.
    """
    return (
        _check_shape(spec)
        or _check_quota(state, spec)
        or _check_single(state, spec)
        or _check_gang(state, spec)
    )


def _check_shape(spec: JobSpec) -> Impossible | None:
    if spec.tasks < 1:
        return Impossible(ImpossibleReason.NO_TASKS, "the job has no tasks")
    if spec.tasks > MAX_TASKS:
        message = f"the job has {spec.tasks} tasks; at most {MAX_TASKS} are allowed"
        return Impossible(ImpossibleReason.TOO_MANY_TASKS, message)
    if not (
        0 < spec.cores <= MAX_CORES
        and 0 < spec.memory_mb <= MAX_MEMORY_MB
        and 0 <= spec.accelerators <= MAX_ACCELERATORS
    ):
        message = (
            f"a task cannot need {spec.cores:g} cores, {spec.memory_mb} MB "
            f"and {spec.accelerators} accelerators"
        )
        return Impossible(ImpossibleReason.BAD_SIZE, message)
    return None


def _check_quota(state: WorkState, spec: JobSpec) -> Impossible | None:
    account = state.accounts.get(spec.tenant)
    limit = account.quota.limit if account else None
    if limit is None:
        return None
    needed = spec.declared.scale(spec.tasks if spec.gang else 1)
    if needed.fits(limit):
        return None
    message = (
        f"{needed.describe()} needed at once; the quota of {spec.tenant} "
        f"is {limit.describe()}"
    )
    return Impossible(ImpossibleReason.EXCEEDS_QUOTA, message)


def _check_single(state: WorkState, spec: JobSpec) -> Impossible | None:
    workers = list(state.workers.values())
    need = spec.declared
    if not workers or any(
        need.fits(find_usable(worker.announced)) for worker in workers
    ):
        return None
    largest = Resources()
    for worker in workers:
        largest = largest.enlarge(find_usable(worker.announced))
    nearest = min(
        workers, key=lambda worker: (_measure_shortfall(need, worker), worker.worker)
    )
    if need.accelerators and not largest.accelerators:
        reason, message = ImpossibleReason.NO_ACCELERATOR, "no worker has accelerators"
    elif need.accelerators > largest.accelerators:
        reason = ImpossibleReason.TOO_MANY_ACCELERATORS
        message = f"no worker has more than {largest.accelerators} accelerators"
    elif need.millicores > largest.millicores:
        reason = ImpossibleReason.TOO_MANY_CORES
        message = f"no worker has {spec.cores:g} cores"
    elif need.memory_mb > largest.memory_mb:
        reason = ImpossibleReason.TOO_MUCH_MEMORY
        message = f"no worker has {spec.memory_mb} MB besides its reserve"
    else:
        reason = ImpossibleReason.NO_SINGLE_WORKER
        message = f"no single worker has {need.describe()}"
    message = (
        f"{message}; nearest is {nearest.worker} with {nearest.announced.describe()}"
    )
    return Impossible(reason, message, nearest.worker, nearest.announced)


def _check_gang(state: WorkState, spec: JobSpec) -> Impossible | None:
    if not spec.gang or not state.workers:
        return None
    places = sum(
        count_places(spec.declared, find_usable(worker.announced))
        for worker in state.workers.values()
    )
    if places >= spec.tasks:
        return None
    message = f"the workers hold {places} of the {spec.tasks} tasks of the gang"
    return Impossible(ImpossibleReason.GANG_TOO_LARGE, message)


def count_places(size: Resources, headroom: Resources) -> int:
    """Return how many tasks of a size fit into the headroom."""
    if not size.fits(headroom):
        return 0
    places = headroom.millicores // max(1, size.millicores)
    places = min(places, headroom.memory_mb // max(1, size.memory_mb))
    if size.accelerators:
        places = min(places, headroom.accelerators // size.accelerators)
    return places


def _measure_shortfall(need: Resources, worker: Worker) -> float:
    have = find_usable(worker.announced)
    gaps = (
        (need.millicores, have.millicores),
        (need.memory_mb, have.memory_mb),
        (need.accelerators, have.accelerators),
    )
    return sum(max(0.0, 1 - has / wanted) for wanted, has in gaps if wanted)
