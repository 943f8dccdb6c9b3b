"""Workers that tasks may start on, compared once for all alike tasks of a round."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from types import MappingProxyType

import msgspec

from rhubarbfield.scheduling.admission import MIN_FINITE_SHARE
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    admits,
    count_places,
    has_cores,
    has_label,
    has_room,
    measure_utilization,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ranking import CandidateRanking, Cost
from rhubarbfield.scheduling.rejected_steps import RejectedSteps
from rhubarbfield.scheduling.rejections import Rejections
from rhubarbfield.types import ServiceName, WorkerId

GROWTH_DIGITS = 1  # decimals of log latency; smaller differences are measurement noise
# Fraction of reserved cores above which waiting does not count as a fault.
FORCED_START_MAX_UTILIZATION = 0.6
# Fraction of reserved cores below which the platform tolerates no standstill of a job.
STANDSTILL_MAX_UTILIZATION = 0.5
# Share of the workers that standing tasks use only when no other has capacity. What
# they leave on the others is too fragmented for large finite tasks.
RESERVED_WORKERS_SHARE = MIN_FINITE_SHARE * 0.6

Saved = tuple[WorkerHeadroom, tuple[object, ...]]


class Candidates:
    """The workers of one round, and how they suit the waiting tasks.

    Parameters
    ----------
    headrooms
        Headroom of the workers that may receive tasks.
    interference
        The model of how images slow each other.
    rejected
        Steps that earlier rounds could not place.
    quarantined
        Headroom of the workers on probation, on which only standing tasks may start.

    Attributes
    ----------
    utilization
        Fraction of the cores that is reserved, by service.
    underutilized
        Services whose workers have many cores that are not reserved.
    mostly_free
        Those of them of whose cores less than half is reserved.
    """

    def __init__(
        self,
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        interference: InterferenceModel,
        rejected: RejectedSteps,
        quarantined: Iterable[WorkerHeadroom] = (),
    ) -> None:
        self._interference = interference
        self._rejected_earlier = rejected
        self._changes: list[WorkerId] = []
        self._rankings: dict[tuple[object, ...], CandidateRanking] = {}
        self._rejected = Rejections()
        self._by_service = _group_by_service(headrooms.values())
        self._quarantined = _group_by_service(quarantined)
        for members in self._by_service.values():
            reserve_workers(members)
        self.utilization = {
            service: measure_utilization(members)
            for service, members in self._by_service.items()
        }
        self.underutilized = {
            service
            for service, used in self.utilization.items()
            if used < FORCED_START_MAX_UTILIZATION
        }
        self.mostly_free = {
            service
            for service, used in self.utilization.items()
            if used < STANDSTILL_MAX_UTILIZATION
        }

    def list_fitting(self, waiting: WaitingStep) -> list[WorkerHeadroom]:
        """Return the workers with free capacity for a task of a step."""
        reserved = waiting.step.reserved
        return [
            headroom
            for headroom in self._list_by_label(waiting)
            if reserved.fits(headroom.free)
        ]

    def choose(
        self,
        waiting: WaitingStep,
        avoided: Collection[WorkerId],
        tasks_per_worker: Mapping[WorkerId, int],
        *,
        is_suspect: bool = False,
    ) -> WorkerHeadroom | None:
        """Return the best worker for a task of a step, if any can take it.

        Parameters
        ----------
        waiting
            The step.
        avoided
            Workers that are chosen only if there is no other.
        tasks_per_worker
            Number of live tasks of the step by worker.
        is_suspect
            Whether the task may crash its worker.
        """
        if self.is_rejected(waiting):
            return None
        ranking = self.find_ranking(waiting, is_suspect=is_suspect)
        if ranking.is_empty:
            if not self._rejected_earlier.may_be_outdated(waiting):
                self._rejected.add(waiting)
            return None
        return ranking.choose(list_full(waiting.step, tasks_per_worker), avoided)

    def list_quarantined(
        self, waiting: WaitingStep, *, is_interrupted: bool
    ) -> list[WorkerHeadroom]:
        """Return the workers on probation that a standing task of a step may start on.

        Only one that was interrupted may be the probe.
        """
        step = waiting.step
        return [
            headroom
            for headroom in self._quarantined.get(waiting.queue.service, ())
            if count_places(step, headroom)
            and admits(step, headroom, self._interference)
            and (is_interrupted or headroom.has_proven_probe)
        ]

    def choose_quarantined(
        self,
        waiting: WaitingStep,
        avoided: Collection[WorkerId],
        tasks_per_worker: Mapping[WorkerId, int],
        *,
        is_interrupted: bool,
    ) -> WorkerHeadroom | None:
        """Return the best worker on probation for a standing task of a step."""
        full = list_full(waiting.step, tasks_per_worker)
        return min(
            (
                headroom
                for headroom in self.list_quarantined(
                    waiting, is_interrupted=is_interrupted
                )
                if headroom.worker.worker not in full
            ),
            key=lambda each: (each.worker.worker in avoided, each.failures),
            default=None,
        )

    def choose_least_harmful(
        self,
        waiting: WaitingStep,
        avoided: Collection[WorkerId],
        tasks_per_worker: Mapping[WorkerId, int],
    ) -> WorkerHeadroom | None:
        """Return the worker on which a spare-core task harms least.

        Of those without serving tasks it is the one with the fewest spare cores, so
        that tasks that can be placed otherwise find the others.
        """
        step = waiting.step
        key = (*_get_preferences(waiting), step.demand, "least-harmful")
        ranking = self._rankings.get(key)
        if ranking is None:
            candidates = self._list_by_label(waiting)
            ranking = self._rankings[key] = self.rank_by_harm(step, candidates)
        return ranking.choose(list_full(step, tasks_per_worker), avoided)

    def is_without_worker(self, waiting: WaitingStep) -> bool:
        """Return whether no worker can take a task of a step now."""
        return self.is_rejected(waiting) or self.find_ranking(waiting).is_empty

    def is_rejected(self, waiting: WaitingStep) -> bool:
        """Return whether no worker could take a task that needs no more.

        Within a round workers only fill up, so that none can take this one.
        """
        return self._rejected.covers(waiting)

    def find_ranking(
        self, waiting: WaitingStep, *, is_suspect: bool = False
    ) -> CandidateRanking:
        """Return the ranking of the workers that may take tasks of a step."""
        step = waiting.step
        limited_to = self._rejected_earlier.list_candidates(waiting)
        is_limited = limited_to is not None
        key = (*_get_preferences(waiting), step.demand, is_suspect, is_limited)
        ranking = self._rankings.get(key)
        if ranking is None:
            candidates = self._list_by_label(waiting, limited_to)
            ranking = self._rankings[key] = self.rank(
                step, candidates, is_suspect=is_suspect
            )
        return ranking

    def rank(
        self,
        step: Step,
        candidates: Sequence[WorkerHeadroom],
        *,
        is_suspect: bool = False,
        running: Mapping[WorkerId, int] = MappingProxyType({}),
    ) -> CandidateRanking:
        """Return a ranking of some workers for tasks of a step.

        Parameters
        ----------
        step
            The step.
        candidates
            The workers.
        is_suspect
            Whether the tasks may crash their worker.
        running
            Number of live tasks of the step by worker, which the caller keeps up to
            date as it adds tasks. Without it the limit per worker is not considered.
        """
        compute_cost = _compute_risk if is_suspect else self._compute_cost
        has_place = _make_place_check(step, running)

        def evaluate(headroom: WorkerHeadroom) -> Cost | None:
            if not has_place(headroom):
                return None
            if not admits(step, headroom, self._interference):
                return None
            return compute_cost(step, headroom)

        return CandidateRanking(candidates, evaluate, self._changes)

    def rank_by_harm(
        self,
        step: Step,
        candidates: Sequence[WorkerHeadroom],
        *,
        running: Mapping[WorkerId, int] = MappingProxyType({}),
    ) -> CandidateRanking:
        """Return a ranking of some workers by the harm of a spare-core task.

        Of workers that suit alike the one with the fewest spare cores is best. Members
        of a gang first take those with cores for them, and then those with the fewest
        members: the slowest one holds up all.

        Parameters
        ----------
        step
            The step.
        candidates
            The workers.
        running
            As for ``rank``.
        """
        has_place = _make_place_check(step, running)

        def evaluate(headroom: WorkerHeadroom) -> Cost | None:
            if not has_place(headroom):
                return None
            margin = self._interference.find_smallest_margin(
                headroom.margins, headroom.add_share(step)
            )
            lacks_cores = step.gang and not has_cores(step, headroom)
            members = running.get(headroom.worker.worker, 0) if lacks_cores else 0
            return (-margin, lacks_cores, members, -_measure_load(headroom))

        return CandidateRanking(candidates, evaluate, self._changes)

    def add_task(self, headroom: WorkerHeadroom, step: Step) -> None:
        """Account for one more task of a step on a worker."""
        headroom.add_task(step)
        headroom.new_tasks += 1
        self._changes.append(headroom.worker.worker)

    def close(self, headroom: WorkerHeadroom) -> None:
        """Start no further task on a worker in this round."""
        headroom.task_limit = headroom.task_count
        self._changes.append(headroom.worker.worker)

    def restore(self, saved: Iterable[Saved]) -> None:
        """Set headrooms to what they were when they were saved."""
        for headroom, values in saved:
            for name, value in zip(headroom.__struct_fields__, values, strict=True):
                setattr(headroom, name, value)
            self._changes.append(headroom.worker.worker)

    def _list_by_label(
        self, waiting: WaitingStep, among: Sequence[WorkerHeadroom] | None = None
    ) -> Sequence[WorkerHeadroom]:
        """Return the workers with the label of a step, of its service by default."""
        if among is None:
            among = self._by_service.get(waiting.queue.service, [])
        if not waiting.step.required_label:
            return among
        return [each for each in among if has_label(waiting.step, each)]

    def _compute_cost(self, step: Step, headroom: WorkerHeadroom) -> Cost:
        """Return the cost of placing a task on a worker; the lowest is best.

        Standing tasks with tail-latency goals are packed on few workers, together
        with tasks of their own image: few batch images harm a single serving
        image, but nearly all harm some image of a mixture. Finite tasks first use
        what standing tasks leave, so that the largest pieces stay free.
        """
        is_far = _is_far(step, headroom)
        load = _measure_load(headroom)
        if step.tail_goal_ms:
            images = len(headroom.serving_images | {step.image})
            is_new = step.image not in headroom.serving_images
            return (
                is_far,
                headroom.failures,
                headroom.is_reserved,
                images,
                is_new,
                headroom.spare_core_tasks,
                -load,
            )
        if step.uses_spare_cores:
            harm = self._interference.find_largest_growth(
                headroom.margins, step.image, headroom.worker.find_share(step)
            )
            return (is_far, headroom.failures, round(harm, GROWTH_DIGITS), load)
        wastes = bool(headroom.free.accelerators and not step.demand.accelerators)
        if step.standing:
            return (
                is_far,
                headroom.failures,
                headroom.is_reserved,
                wastes,
                headroom.free.millicores,
            )
        is_unused = not headroom.standing_tasks
        left_over = load if is_unused else headroom.free.millicores
        return (is_far, headroom.failures, wastes, is_unused, left_over)


def _make_place_check(
    step: Step, running: Mapping[WorkerId, int]
) -> Callable[[WorkerHeadroom], bool]:
    """Return a function that tells whether a worker has a place for a task."""
    reserved = step.reserved

    def has_place(headroom: WorkerHeadroom) -> bool:
        if not has_room(reserved, headroom):
            return False
        count = running.get(headroom.worker.worker, 0)
        return not count or count_places(step, headroom, count) > 0

    return has_place


def _group_by_service(
    headrooms: Iterable[WorkerHeadroom],
) -> dict[ServiceName, list[WorkerHeadroom]]:
    grouped: dict[ServiceName, list[WorkerHeadroom]] = {}
    for headroom in headrooms:
        grouped.setdefault(headroom.worker.service, []).append(headroom)
    return grouped


def _is_far(step: Step, headroom: WorkerHeadroom) -> bool:
    """Return whether a worker is not on the rack that a step prefers."""
    return step.preferred_rack not in ("", *headroom.worker.labels)


def _measure_load(headroom: WorkerHeadroom) -> float:
    """Return the share of a worker's cores that its tasks are expected to use."""
    capacity = max(headroom.worker.capacity.millicores, 1)
    return 1 - headroom.spare_millicores / capacity


def _compute_risk(step: Step, headroom: WorkerHeadroom) -> Cost:
    """Return the cost of placing a task that may crash its worker.

    Beside no other run that has just started the crash is conclusive; beside few
    others it does the least harm.
    """
    return (
        headroom.count_unproven() + headroom.new_tasks,
        _is_far(step, headroom),
        headroom.standing_tasks,
        headroom.task_count,
    )


def reserve_workers(members: Sequence[WorkerHeadroom]) -> None:
    """Mark the workers of a service that standing tasks use last.

    They are the same in each round, until standing tasks start on them.
    """
    unused = [each for each in members if not each.standing_tasks]
    unused.sort(key=lambda each: each.worker.worker)
    for headroom in unused[: math.ceil(len(members) * RESERVED_WORKERS_SHARE)]:
        headroom.is_reserved = True


def list_full(step: Step, tasks_per_worker: Mapping[WorkerId, int]) -> set[WorkerId]:
    """Return the workers that run as many tasks of a step as it allows."""
    limit = step.max_per_worker
    if not limit:
        return set()
    return {worker for worker, count in tasks_per_worker.items() if count >= limit}


def save_headroom(headroom: WorkerHeadroom) -> Saved:
    """Return a headroom with the present values of its fields."""
    return headroom, msgspec.structs.astuple(headroom)


def _get_preferences(waiting: WaitingStep) -> tuple[object, ...]:
    """Return what decides besides the demand which worker suits a task best."""
    step = waiting.step
    return (
        waiting.queue.service,
        step.required_label,
        step.preferred_rack,
        step.image,
        step.uses_spare_cores,
        bool(step.tail_goal_ms),
        step.standing,
    )
