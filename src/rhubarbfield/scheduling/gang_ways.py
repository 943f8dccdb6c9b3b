"""The ways in which a gang may be spread over workers, and gangs that have none."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import accumulate

from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    count_admitted,
    count_places,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import Demand, Label, Step
from rhubarbfield.types import ServiceName, WorkerId

_Constraints = tuple[ServiceName, Label, int, bool, object]


def iterate_ways(
    step: Step,
    members: int,
    candidates: Sequence[WorkerHeadroom],
    running: Mapping[WorkerId, int],
    interference: InterferenceModel,
) -> Iterator[Sequence[WorkerHeadroom]]:
    """Yield sets of workers that have places for all members, the cheapest first.

    A preference decides only about their order: each rack comes first if the gang
    runs faster on one, and all workers together come last.

    Parameters
    ----------
    step
        The step of the gang.
    members
        Number of its members.
    candidates
        Workers with free capacity for any of them.
    running
        Number of live tasks of the step by worker.
    interference
        The model of how images slow each other.
    """
    known: dict[WorkerId, int] = {}

    def count(headroom: WorkerHeadroom) -> int:
        worker = headroom.worker.worker
        if worker not in known:
            live = running.get(worker, 0)
            known[worker] = count_admitted(step, headroom, interference, live)
        return known[worker]

    def may_take_all(workers: Sequence[WorkerHeadroom]) -> bool:
        return _reaches(members, map(count, workers))

    if not may_take_all(candidates):
        return
    if step.same_rack:
        yield from filter(may_take_all, _sort_racks(step, candidates))
    yield candidates


def has_places(
    step: Step,
    members: int,
    candidates: Iterable[WorkerHeadroom],
    running: Mapping[WorkerId, int],
) -> bool:
    """Return whether workers have places for all members, whatever these harm.

    The parameters are those of ``iterate_ways``.
    """
    places = (
        count_places(step, headroom, running.get(headroom.worker.worker, 0))
        for headroom in candidates
    )
    return _reaches(members, places)


def _reaches(members: int, places: Iterable[int]) -> bool:
    """Return whether places add up to those for all members, and count no further."""
    return any(total >= members for total in accumulate(places))


def _sort_racks(
    step: Step, candidates: Iterable[WorkerHeadroom]
) -> list[list[WorkerHeadroom]]:
    """Return the workers of each rack, the one that suits a step best first."""
    racks: dict[str, list[WorkerHeadroom]] = {}
    for headroom in candidates:
        for label in headroom.worker.labels[1:]:
            racks.setdefault(label, []).append(headroom)
    order = sorted(
        racks, key=lambda rack: (rack != step.preferred_rack, -len(racks[rack]))
    )
    return [racks[rack] for rack in order]


class UnplaceableGangs:
    """The gangs that found no way in a round, in which workers only fill up."""

    def __init__(self) -> None:
        self._known: dict[_Constraints, list[tuple[Demand, int]]] = {}

    def add(self, waiting: WaitingStep) -> None:
        """Record that the workers can't take all members of a gang."""
        known = self._known.setdefault(_get_constraints(waiting), [])
        known.append((waiting.step.demand, len(waiting.tasks)))

    def covers(self, waiting: WaitingStep) -> bool:
        """Return whether a gang needs no less than one that found no way."""
        demand, members = waiting.step.demand, len(waiting.tasks)
        return any(
            least <= members and smaller.fits(demand)
            for smaller, least in self._known.get(_get_constraints(waiting), ())
        )


def _get_constraints(waiting: WaitingStep) -> _Constraints:
    """Return what decides besides the demand and the size whether a gang fits."""
    step = waiting.step
    image = step.image if step.uses_spare_cores else None
    return (
        waiting.queue.service,
        step.required_label,
        step.max_per_worker,
        step.standing,
        image,
    )
