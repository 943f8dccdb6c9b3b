"""Placement recomputed in full for each task, for comparison with the placer."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import msgspec

from rhubarbfield.scheduling.candidates import (
    FORCED_START_MAX_UTILIZATION,
    GROWTH_DIGITS,
    RESERVED_WORKERS_SHARE,
    STANDSTILL_MAX_UTILIZATION,
)
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    admits,
    count_live,
    has_cores,
    measure_utilization,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import RunNumber, Step, TaskName, name_task
from rhubarbfield.scheduling.placing import MAX_STARTS_PER_ROUND
from rhubarbfield.scheduling.state import Job, SchedulingState, TaskPhase, Worker
from rhubarbfield.types import ServiceName, WorkerId

Cost = tuple[float, ...]


def measure_all(
    state: SchedulingState, is_usable: Callable[[Worker], bool]
) -> dict[WorkerId, WorkerHeadroom]:
    """Return the headroom of each worker, without margins."""
    headrooms = {}
    for worker in state.workers.values():
        if worker.draining or not is_usable(worker):
            continue
        headroom = WorkerHeadroom(worker, worker.capacity, worker.capacity.millicores)
        for task in worker.runs:
            step = state.find_step(task)
            if step is not None:
                headroom.add_task(step)
        headrooms[worker.worker] = headroom
    return headrooms


def iterate_all_waiting(state: SchedulingState) -> Iterator[WaitingStep]:
    queues = state.map_serving_queues()
    for job in state.jobs.values():
        queue = queues.get(job.queue) if job.is_open else None
        if queue is None:
            continue
        for occurrence, steps in job.occurrences.items():
            for number, progress in enumerate(steps):
                if not progress.is_done and job.is_step_ready(occurrence, number):
                    yield WaitingStep(job, queue, occurrence, number)


class ReferencePlacer:
    """Evaluates every candidate anew for each task."""

    def __init__(
        self,
        state: SchedulingState,
        headrooms: dict[WorkerId, WorkerHeadroom],
        *,
        avoided: Mapping[TaskName, set[WorkerId]],
        interference: InterferenceModel,
        rank: Callable[[WaitingStep], Cost],
        is_starved: Callable[[Job, bool], bool],
    ) -> None:
        self.state = state
        self.headrooms = list(headrooms.values())
        self.avoided = avoided
        self.interference = interference
        self.rank = rank
        self.is_starved = is_starved
        self.reserve_workers()
        self.starts: list[RunStart] = []
        self.unplaced: list[tuple[str, int]] = []
        self.underutilized = self.list_used_less(FORCED_START_MAX_UTILIZATION)
        self.mostly_free = self.list_used_less(STANDSTILL_MAX_UTILIZATION)

    def list_used_less(self, limit: float) -> set[ServiceName]:
        return {
            headroom.worker.service
            for headroom in self.headrooms
            if measure_utilization(
                [
                    other
                    for other in self.headrooms
                    if other.worker.service == headroom.worker.service
                ]
            )
            < limit
        }

    def reserve_workers(self) -> None:
        for service in {each.worker.service for each in self.headrooms}:
            members = [
                each for each in self.headrooms if each.worker.service == service
            ]
            count = math.ceil(len(members) * RESERVED_WORKERS_SHARE)
            empty = [each for each in members if not self.count_standing(each.worker)]
            for each in sorted(empty, key=lambda each: each.worker.worker)[:count]:
                each.is_reserved = True

    def count_standing(self, worker: Worker) -> int:
        steps = (self.state.find_step(task) for task in worker.runs)
        return sum(step is not None and step.standing for step in steps)

    def choose(self) -> tuple[RunStart, ...]:
        ranked = sorted(
            iterate_all_waiting(self.state),
            key=self.rank,
        )
        for waiting in ranked:
            if len(self.starts) >= MAX_STARTS_PER_ROUND:
                break
            if waiting.step.gang:
                self.place_gang(waiting)
            else:
                self.place_step(waiting)
        return tuple(self.starts)

    def place_step(self, waiting: WaitingStep) -> None:
        step = waiting.step
        counts = count_live(waiting.tasks)
        for index, task in enumerate(waiting.tasks):
            if task.phase is not TaskPhase.WAITING:
                continue
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            run = RunNumber(task.last_run + 1)
            fitting = self.list_fitting(waiting, counts)
            chosen = self.choose_best(step, fitting, self.avoided.get(name, set()))
            is_forced = False
            if chosen is None and self.may_force(waiting):
                is_forced = True
                chosen = self.choose_least_harmful(
                    step, fitting, self.avoided.get(name, set())
                )
            if chosen is not None:
                self.add(step, chosen, counts)
                self.starts.append(RunStart(name, run, chosen.worker.worker))
            if is_forced:
                return
            if chosen is None:
                key = (waiting.job.job, waiting.number)
                if key not in self.unplaced:
                    self.unplaced.append(key)
                if name not in self.avoided:
                    return

    def place_gang(self, waiting: WaitingStep) -> None:
        tasks = waiting.tasks
        if any(task.phase is not TaskPhase.WAITING for task in tasks):
            return
        for rack in self.list_ways(waiting):
            chosen = self.fill(waiting, rack)
            if chosen:
                break
        else:
            if not (waiting.step.uses_spare_cores and self.may_force(waiting)):
                return
            chosen = self.fill(waiting, None, is_forced=True)
            if not chosen:
                return
        run = RunNumber(max(task.last_run for task in tasks) + 1)
        for index, best in enumerate(chosen):
            if best.awaits_probe:
                best.task_limit = best.task_count
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            self.starts.append(RunStart(name, run, best.worker.worker))

    def may_force(self, waiting: WaitingStep) -> bool:
        service = waiting.queue.service
        return (
            service in self.underutilized
            and not self.has_start(waiting.job)
            and self.is_starved(waiting.job, service in self.mostly_free)
        )

    def fill(
        self, waiting: WaitingStep, rack: str | None, *, is_forced: bool = False
    ) -> list[WorkerHeadroom]:
        """Add all members of a gang, or none."""
        step = waiting.step
        counts = count_live(waiting.tasks)
        saved = [msgspec.structs.astuple(each) for each in self.headrooms]
        chosen: list[WorkerHeadroom] = []
        for _ in waiting.tasks:
            fitting = [
                each
                for each in self.list_fitting(waiting, counts)
                if rack is None or rack in each.worker.labels[1:]
            ]
            if is_forced:
                best = self.choose_least_harmful(step, fitting, set(), counts)
            else:
                best = self.choose_best(step, fitting, set())
            if best is None:
                for headroom, values in zip(self.headrooms, saved, strict=True):
                    for field, value in zip(
                        headroom.__struct_fields__, values, strict=True
                    ):
                        setattr(headroom, field, value)
                return []
            best.task_limit += best.awaits_probe
            self.add(step, best, counts)
            chosen.append(best)
        return chosen

    def list_ways(self, waiting: WaitingStep) -> list[str | None]:
        """Return the racks to try, the one with most workers first, and then all."""
        step = waiting.step
        sizes: Counter[str] = Counter()
        if step.same_rack:
            for each in self.list_fitting(waiting, {}, is_limited=False):
                sizes.update(each.worker.labels[1:])
        racks = sorted(sizes, key=lambda rack: -sizes[rack])
        return [*sorted(racks, key=lambda rack: rack != step.preferred_rack), None]

    def list_fitting(
        self,
        waiting: WaitingStep,
        counts: Mapping[WorkerId, int],
        *,
        is_limited: bool = True,
    ) -> list[WorkerHeadroom]:
        step = waiting.step
        return [
            each
            for each in self.headrooms
            if each.worker.service == waiting.queue.service
            and (not step.required_label or step.required_label in each.worker.labels)
            and (not is_limited or each.task_count < each.task_limit)
            and step.reserved.fits(each.free)
            and not 0 < step.max_per_worker <= counts.get(each.worker.worker, 0)
        ]

    def choose_best(
        self, step: Step, fitting: list[WorkerHeadroom], avoided: set[WorkerId]
    ) -> WorkerHeadroom | None:
        return min(
            (each for each in fitting if admits(step, each, self.interference)),
            key=lambda each: (
                each.worker.worker in avoided,
                *self.compute_cost(step, each),
            ),
            default=None,
        )

    def has_start(self, job: Job) -> bool:
        return any(start.task.startswith(f"{job.job}.") for start in self.starts)

    def choose_least_harmful(
        self,
        step: Step,
        fitting: list[WorkerHeadroom],
        avoided: set[WorkerId],
        counts: Mapping[WorkerId, int] = MappingProxyType({}),
    ) -> WorkerHeadroom | None:
        def measure_harm(each: WorkerHeadroom) -> Cost:
            margin = self.interference.find_smallest_margin(
                each.margins, each.add_share(step)
            )
            load = 1 - each.spare_millicores / max(each.worker.capacity.millicores, 1)
            lacks_cores = step.gang and not has_cores(step, each)
            members = counts.get(each.worker.worker, 0) if lacks_cores else 0
            is_avoided = each.worker.worker in avoided
            return (is_avoided, -margin, lacks_cores, members, -load)

        return min(fitting, key=measure_harm, default=None)

    def compute_cost(self, step: Step, headroom: WorkerHeadroom) -> Cost:
        worker = headroom.worker
        is_far = bool(step.preferred_rack) and step.preferred_rack not in worker.labels
        load = 1 - headroom.spare_millicores / max(worker.capacity.millicores, 1)
        if step.tail_goal_ms:
            return (
                is_far,
                headroom.failures,
                headroom.is_reserved,
                len(headroom.serving_images | {step.image}),
                step.image not in headroom.serving_images,
                headroom.spare_core_tasks,
                -load,
            )
        if step.uses_spare_cores:
            harm = self.interference.find_largest_growth(
                headroom.margins, step.image, worker.find_share(step)
            )
            return (is_far, headroom.failures, round(harm, GROWTH_DIGITS), load)
        wastes = headroom.free.accelerators > 0 and step.demand.accelerators == 0
        if step.standing:
            return (
                is_far,
                headroom.failures,
                headroom.is_reserved,
                wastes,
                headroom.free.millicores,
            )
        if headroom.standing_tasks:
            left_over = float(headroom.free.millicores)
            return (is_far, headroom.failures, wastes, False, left_over)
        return (is_far, headroom.failures, wastes, True, load)

    def add(
        self, step: Step, headroom: WorkerHeadroom, counts: dict[WorkerId, int]
    ) -> None:
        headroom.add_task(step)
        worker = headroom.worker.worker
        counts[worker] = counts.get(worker, 0) + 1
