"""Choosing which waiting tasks start now, and on which workers.

A pure decision over the replicated state and what the leader knows of the
workers; it neither waits nor sends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from enum import Enum

import msgspec

from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.interference import Interference
from rhubarbfield.scheduling.model import (
    Queue,
    RunNumber,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.rooms import (
    WaitingStep,
    WorkerRoom,
    admits,
    count_live,
    has_spare_cores,
    measure_use,
)
from rhubarbfield.scheduling.state import (
    Job,
    SchedulingState,
    Task,
    TaskPhase,
)
from rhubarbfield.types import JobId, ServiceName, WorkerId

HARM_DIGITS = 1  # growth of a tail that is no smaller than its measures scatter
CALM_USE = 0.6  # of the reserved cores; above it waiting is no fault
MAX_STARTS_A_ROUND = 256  # keeps a command below the size of one log entry


class WaitReason(Enum):
    """Why a task is not placed.

    Attributes
    ----------
    NO_CAPACITY
        No usable worker has room that is not reserved.
    SPREAD
        Those with room run as many tasks of the step as it allows.
    NO_SPARE_CORES
        Those with room use their processors.
    INTERFERENCE
        On those with spare cores it would harm what serves.
    """

    NO_CAPACITY = "no-capacity"
    SPREAD = "spread"
    NO_SPARE_CORES = "no-spare-cores"
    INTERFERENCE = "interference"


class Placer:
    """One round of placing.

    Parameters
    ----------
    state
        The replicated state.
    rooms
        The workers that may take work.
    avoided
        Workers on which a task has failed already, by task.
    interference
        What tasks do to their neighbours.
    rank
        Returns the rank of a job; the lowest goes first.
    is_starved
        Says whether a job has waited so long, with nothing running, that it
        starts where it harms least.

    Attributes
    ----------
    unplaced
        Steps of which a task found no worker, the most urgent first.
    """

    def __init__(
        self,
        state: SchedulingState,
        rooms: Mapping[WorkerId, WorkerRoom],
        *,
        avoided: Mapping[TaskName, set[WorkerId]],
        interference: Interference,
        rank: Callable[[Job, Queue], tuple[float, ...]],
        is_starved: Callable[[Job], bool],
    ) -> None:
        self._state = state
        self._avoided = avoided
        self._interference = interference
        self._rank_job = rank
        self._is_starved = is_starved
        self._starts: list[RunStart] = []
        self.unplaced: dict[tuple[JobId, int], WaitingStep] = {}
        self._by_service: dict[ServiceName, list[WorkerRoom]] = {}
        for room in rooms.values():
            self._by_service.setdefault(room.worker.service, []).append(room)
        self._calm = {
            service
            for service, members in self._by_service.items()
            if measure_use(members) < CALM_USE
        }

    def choose(self) -> tuple[RunStart, ...]:
        """Return the runs to start, the most urgent first."""
        for waiting in sorted(
            iterate_waiting(self._state),
            key=lambda each: self._rank_job(each.job, each.queue),
        ):
            if len(self._starts) >= MAX_STARTS_A_ROUND:
                break
            if waiting.step.gang:
                self._place_gang(waiting)
            else:
                self._place_step(waiting)
        return tuple(self._starts)

    def _place_step(self, waiting: WaitingStep) -> None:
        step = waiting.step
        candidates = self._list_candidates(waiting)
        used = count_live(waiting.tasks) if step.max_per_worker else {}
        for index, task in enumerate(waiting.tasks):
            if task.phase is not TaskPhase.WAITING:
                continue
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            room = self._choose_room(step, name, candidates, used)
            if room is None and self._may_force(waiting):
                room = self._choose_least_harmed(step, candidates, used)
                if room is not None:
                    self._take(name, task, room, step, used)
                return
            if room is None:
                self.unplaced.setdefault((waiting.job.job, waiting.number), waiting)
                if name in self._avoided:
                    continue
                return
            self._take(name, task, room, step, used)

    def explain_wait(self, waiting: WaitingStep) -> WaitReason:
        """Return what the tasks of a step lacked in this round."""
        candidates = [
            room for room in self._list_candidates(waiting) if room.tasks < room.limit
        ]
        if not candidates:
            return WaitReason.NO_CAPACITY
        if not waiting.step.uses_spare_cores:
            return WaitReason.SPREAD
        if not any(has_spare_cores(waiting.step, room) for room in candidates):
            return WaitReason.NO_SPARE_CORES
        return WaitReason.INTERFERENCE

    def _place_gang(self, waiting: WaitingStep) -> None:
        """Place all members or none, all with the same run number."""
        step = waiting.step
        tasks = waiting.tasks
        if any(task.phase is not TaskPhase.WAITING for task in tasks):
            return
        candidates = self._list_candidates(waiting)
        if step.same_rack:
            candidates = _choose_rack(step, len(tasks), candidates) or candidates
        before = [(room, msgspec.structs.astuple(room)) for room in candidates]
        chosen: list[WorkerRoom] = []
        used: dict[WorkerId, int] = {}
        for _ in tasks:
            room = self._choose_room(step, None, candidates, used)
            if room is None:
                _restore(before)
                return
            room.take(step)
            used[room.worker.worker] = used.get(room.worker.worker, 0) + 1
            chosen.append(room)
        run = RunNumber(max(task.last_run for task in tasks) + 1)
        for index, room in enumerate(chosen):
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            self._starts.append(RunStart(name, run, room.worker.worker))

    def _list_candidates(self, waiting: WaitingStep) -> list[WorkerRoom]:
        step = waiting.step
        rooms = self._by_service.get(waiting.queue.service, [])
        if step.required_label:
            rooms = [
                room for room in rooms if step.required_label in room.worker.labels
            ]
        return [room for room in rooms if step.reserved.fits(room.free)]

    def _choose_room(
        self,
        step: Step,
        name: TaskName | None,
        candidates: list[WorkerRoom],
        used: Mapping[WorkerId, int],
    ) -> WorkerRoom | None:
        avoided = self._avoided.get(name, set()) if name is not None else set()
        best: WorkerRoom | None = None
        best_cost: tuple[float, ...] = ()
        for room in _iterate_fitting(step, candidates, used):
            if not admits(step, room, self._interference):
                continue
            cost = (room.worker.worker in avoided, *self._rate(step, room))
            if best is None or cost < best_cost:
                best, best_cost = room, cost
        return best

    def _may_force(self, waiting: WaitingStep) -> bool:
        """Say whether a task may start where it harms, rather than wait."""
        is_calm = waiting.queue.service in self._calm
        return is_calm and self._is_starved(waiting.job)

    def _choose_least_harmed(
        self, step: Step, candidates: list[WorkerRoom], used: Mapping[WorkerId, int]
    ) -> WorkerRoom | None:
        """Return the worker on which a task of spare cores harms least."""
        return max(
            _iterate_fitting(step, candidates, used),
            key=lambda room: self._interference.find_worst_margin(
                room.exposures, room.add_share(step)
            ),
            default=None,
        )

    def _rate(self, step: Step, room: WorkerRoom) -> tuple[float, ...]:
        """Return how badly a worker suits a task; the lowest is best.

        Standing tasks with tail goals share workers with those of their own
        image, packed on few: few images of spare cores harm one image, but
        nearly all harm some image of a mixture.
        """
        is_far = step.preferred_rack != "" and (
            step.preferred_rack not in room.worker.labels
        )
        capacity = max(room.worker.capacity.millicores, 1)
        load = 1 - room.spare_millicores / capacity
        serves = bool(room.exposures)
        if step.tail_goal_ms:
            images = len(room.serving | {step.image})
            is_new = step.image not in room.serving
            return (is_far, room.failures, images, is_new, room.filling, -load)
        if step.uses_spare_cores:
            harm = self._interference.find_growth(
                room.exposures, step.image, room.worker.find_share(step)
            )
            return (is_far, room.failures, round(harm, HARM_DIGITS), load)
        return (is_far, room.failures, not serves, load)

    def _take(
        self,
        name: TaskName,
        task: Task,
        room: WorkerRoom,
        step: Step,
        used: dict[WorkerId, int],
    ) -> None:
        room.take(step)
        worker = room.worker.worker
        used[worker] = used.get(worker, 0) + 1
        self._starts.append(RunStart(name, RunNumber(task.last_run + 1), worker))


def iterate_waiting(state: SchedulingState) -> Iterator[WaitingStep]:
    """Yield the steps that have tasks to start."""
    queues = state.map_queues()
    for job in state.jobs.values():
        queue = queues.get(job.queue) if job.is_open else None
        if queue is None:
            continue
        for occurrence, steps in job.occurrences.items():
            for number, progress in enumerate(steps):
                if not progress.is_done and job.is_step_ready(occurrence, number):
                    yield WaitingStep(job, queue, occurrence, number)


def _iterate_fitting(
    step: Step, candidates: list[WorkerRoom], used: Mapping[WorkerId, int]
) -> Iterator[WorkerRoom]:
    """Yield the candidates with room for one more task of ``step``."""
    for room in candidates:
        if room.tasks >= room.limit or not step.reserved.fits(room.free):
            continue
        most = step.max_per_worker
        if not most or used.get(room.worker.worker, 0) < most:
            yield room


def _choose_rack(
    step: Step, members: int, candidates: list[WorkerRoom]
) -> list[WorkerRoom] | None:
    """Return the workers of a rack that could hold the whole gang, if any."""
    racks: dict[str, list[WorkerRoom]] = {}
    for room in candidates:
        for label in room.worker.labels[1:]:
            racks.setdefault(label, []).append(room)
    for rooms in sorted(racks.values(), key=len, reverse=True):
        if sum(_count_fitting(step, room) for room in rooms) >= members:
            return rooms
    return None


def _count_fitting(step: Step, room: WorkerRoom) -> int:
    need, free = step.reserved, room.free
    counts = [
        have // want
        for have, want in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if want
    ]
    return min([*counts, room.limit - room.tasks])


def _restore(before: list[tuple[WorkerRoom, tuple[object, ...]]]) -> None:
    for room, values in before:
        for name, value in zip(room.__struct_fields__, values, strict=True):
            setattr(room, name, value)
