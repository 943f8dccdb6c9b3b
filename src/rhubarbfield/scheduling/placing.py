"""Choice of the waiting tasks to start now, and of their workers.

The decision is a function of the replicated state and the leader's knowledge of
workers and jobs; it neither waits nor sends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from operator import itemgetter
from types import MappingProxyType

from rhubarbfield.containment import Unit, contain
from rhubarbfield.scheduling.backfilling import ReservedWorkers
from rhubarbfield.scheduling.candidates import (
    Candidates,
    Saved,
    save_headroom,
)
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.gang_ways import (
    UnplaceableGangs,
    has_places,
    iterate_ways,
)
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    count_live,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import (
    Queue,
    QueueName,
    RunNumber,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.ordering import awaits_restart
from rhubarbfield.scheduling.ranking import CandidateRanking
from rhubarbfield.scheduling.rejected_steps import RejectedSteps
from rhubarbfield.scheduling.state import (
    Job,
    Task,
    TaskPhase,
)
from rhubarbfield.scheduling.suspicion import MAX_CRASHES
from rhubarbfield.scheduling.wait_reasons import (
    WaitExplanation,
    WaitReason,
    explain_wait,
)
from rhubarbfield.types import JobId, WorkerId

MAX_STARTS_PER_ROUND = 256  # keeps a command within the size limit of a log entry


class Placer:
    """One placement round.

    Parameters
    ----------
    jobs
        The open jobs.
    queues
        The queues by name.
    headrooms
        Headroom of the workers that may receive tasks.
    avoided
        Workers on which a task has failed or stalled, by task.
    interference
        The model of how images slow each other.
    rank
        Returns the rank of a step, the same for all steps of an occurrence; the
        lowest goes first.
    is_starved
        Returns whether nothing of a job works, and has not for so long that a task
        may start where it harms least; the second argument tells whether most cores of
        its service are free.
    may_wait
        Returns whether a task, whose last run is given, may wait although it has
        capacity, since it is suspected of crashing workers.
    unresolved
        Number of workers that each task may have crashed, without a proof yet.
    rejected
        Steps that earlier rounds could not place; its round must have begun.
    quarantined
        Headroom of the workers on probation, on which only standing tasks may start.
    reserved
        Workers that are reserved for interrupted standing tasks.

    Attributes
    ----------
    unplaced
        Steps with a task that no worker could take.
    trials
        Steps with a suspected task for which no worker is undisturbed enough.
    """

    def __init__(
        self,
        jobs: Iterable[Job],
        queues: Mapping[QueueName, Queue],
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        *,
        avoided: Mapping[TaskName, set[WorkerId]],
        interference: InterferenceModel,
        rank: Callable[[WaitingStep], tuple[float, ...]],
        is_starved: Callable[[Job, bool], bool],
        may_wait: Callable[[TaskName, RunNumber], bool] = lambda *_: False,
        unresolved: Mapping[TaskName, int] = MappingProxyType({}),
        rejected: RejectedSteps | None = None,
        quarantined: Iterable[WorkerHeadroom] = (),
        reserved: ReservedWorkers | None = None,
    ) -> None:
        self._jobs = jobs
        self._queues = queues
        self._avoided = avoided
        self._interference = interference
        self._rejected = RejectedSteps() if rejected is None else rejected
        self._candidates = Candidates(
            headrooms, interference, self._rejected, quarantined
        )
        self._reserved = ReservedWorkers() if reserved is None else reserved
        self._rank_step = rank
        self._is_starved = is_starved
        self._may_wait = may_wait
        self._unresolved = unresolved
        self._unplaceable = UnplaceableGangs()
        self._starts: list[RunStart] = []
        self._starved: dict[JobId, bool] = {}
        self.unplaced: dict[tuple[JobId, int], WaitingStep] = {}
        self.trials: dict[tuple[JobId, int], WaitingStep] = {}

    @property
    def starts(self) -> tuple[RunStart, ...]:
        """The runs that were chosen so far, the most urgent first."""
        return tuple(self._starts)

    def iterate_steps(self) -> Iterator[WaitingStep]:
        """Choose runs of one step after the other, and yield each step."""
        for waiting in self._sort(self._list_placeable()):
            if len(self._starts) >= MAX_STARTS_PER_ROUND:
                break
            if not waiting.is_open:  # it ended while the caller did other work
                continue
            chosen = len(self._starts)
            try:
                if waiting.step.gang:
                    self._place_gang(waiting)
                else:
                    self._place_step(waiting)
            except Exception as error:
                contain(Unit.JOB, error, job=waiting.job.job)
                del self._starts[chosen:]
            yield waiting

    def list_unplaced(self) -> list[WaitingStep]:
        """Return the steps with a task that was not placed, the most urgent first."""
        return self._sort((self.unplaced | self.trials).values())

    def _sort(self, steps: Iterable[WaitingStep]) -> list[WaitingStep]:
        """Sort steps by their ranks; all steps of an occurrence share one.

        Those of a job that can't be ranked are left out.
        """
        ranks: dict[tuple[JobId, int], tuple[float, ...] | None] = {}
        ranked: list[tuple[tuple[float, ...], WaitingStep]] = []
        for waiting in steps:
            key = waiting.job.job, waiting.occurrence
            if key not in ranks:
                ranks[key] = self._find_rank(waiting)
            rank = ranks[key]
            if rank is not None:
                ranked.append((rank, waiting))
        ranked.sort(key=itemgetter(0))
        return [waiting for _, waiting in ranked]

    def _find_rank(self, waiting: WaitingStep) -> tuple[float, ...] | None:
        try:
            return self._rank_step(waiting)
        except Exception as error:
            contain(Unit.JOB, error, job=waiting.job.job)
            return None

    def _list_placeable(self) -> list[WaitingStep]:
        """Return the waiting steps but those that no worker can take as before."""
        placeable = []
        for waiting in iterate_waiting(self._jobs, self._queues):
            is_rejected = self._rejected.holds(waiting)
            if not is_rejected or self._has_last_resort(waiting):
                placeable.append(waiting)
            else:
                self.unplaced[waiting.job.job, waiting.number] = waiting
        return placeable

    def _has_last_resort(self, waiting: WaitingStep) -> bool:
        """Return whether a step may start where other steps may not."""
        if waiting.step.uses_spare_cores and self._may_force(waiting):
            return True
        if not waiting.step.gang and self._reserved.may_take(waiting):
            return True
        if not waiting.step.standing:
            return False
        quarantined = self._candidates.list_quarantined(waiting, is_interrupted=True)
        if not quarantined:
            return False
        if any(headroom.has_proven_probe for headroom in quarantined):
            return True
        return any(awaits_restart(waiting.step, task) for task in waiting.tasks)

    def _place_step(self, waiting: WaitingStep) -> None:
        step = waiting.step
        tasks_per_worker = count_live(waiting.tasks) if step.max_per_worker else {}
        # Whether a suspect and whether any other task found no worker: some workers
        # take only the others.
        refused: set[bool] = set()
        for index, task in enumerate(waiting.tasks):
            if task.phase is not TaskPhase.WAITING or task.is_suspect in refused:
                continue
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            if self._is_held(name, task):
                self.trials.setdefault((waiting.job.job, waiting.number), waiting)
                continue
            headroom = self._candidates.choose(
                waiting,
                self._avoided.get(name, ()),
                tasks_per_worker,
                is_suspect=task.is_suspect,
            )
            if headroom is None:
                headroom = self._choose_restricted(
                    waiting, name, task, tasks_per_worker
                )
            if headroom is None and self._may_force(waiting):
                self._force_start(waiting, name, task, tasks_per_worker)
                return
            if headroom is None:
                self._note_unplaced(waiting)
                if name not in self._avoided:
                    refused.add(task.is_suspect)
                continue
            if (
                task.is_suspect
                and headroom.count_unproven() + headroom.new_tasks > 0
                and self._may_wait(name, task.last_run)
            ):
                self.trials.setdefault((waiting.job.job, waiting.number), waiting)
                continue
            self._start_task(waiting, name, task, headroom, tasks_per_worker)

    def _force_start(
        self,
        waiting: WaitingStep,
        name: TaskName,
        task: Task,
        tasks_per_worker: dict[WorkerId, int],
    ) -> None:
        """Start a task of a starved job where it harms least, if any has room."""
        headroom = self._candidates.choose_least_harmful(
            waiting, self._avoided.get(name, ()), tasks_per_worker
        )
        if headroom is not None:
            self._start_task(waiting, name, task, headroom, tasks_per_worker)
        if headroom is None or _count_waiting(waiting) > 1:
            self._note_unplaced(waiting)

    def _choose_restricted(
        self,
        waiting: WaitingStep,
        name: TaskName,
        task: Task,
        tasks_per_worker: Mapping[WorkerId, int],
    ) -> WorkerHeadroom | None:
        """Return a worker that is reserved or quarantined, if one may take a task."""
        headroom = self._reserved.choose(
            waiting, tasks_per_worker, is_suspect=task.is_suspect
        )
        if headroom is None and waiting.step.standing:
            headroom = self._candidates.choose_quarantined(
                waiting,
                self._avoided.get(name, ()),
                tasks_per_worker,
                is_interrupted=awaits_restart(waiting.step, task),
            )
        return headroom

    def _note_unplaced(self, waiting: WaitingStep) -> None:
        """Note a step of which no worker could take a task."""
        key = waiting.job.job, waiting.number
        self.unplaced.setdefault(key, waiting)
        if key not in self.trials and self._candidates.is_without_worker(waiting):
            self._rejected.add(waiting)

    def _is_held(self, name: TaskName, task: Task) -> bool:
        """Return whether a task may have crashed as many workers as is allowed."""
        return task.crashes + self._unresolved.get(name, 0) >= MAX_CRASHES

    def explain_wait(self, waiting: WaitingStep) -> WaitExplanation:
        """Return why tasks of a step found no worker in this round."""
        reserved = self._candidates.utilization.get(waiting.queue.service, 0.0)
        if (waiting.job.job, waiting.number) in self.trials:
            return WaitExplanation(WaitReason.TRIAL, reserved)
        fitting = self._candidates.list_fitting(waiting)
        return explain_wait(waiting, fitting, reserved, self._interference)

    def _place_gang(self, waiting: WaitingStep) -> None:
        """Place all members of a gang or none, all with the same run number."""
        tasks = waiting.tasks
        if any(task.phase is not TaskPhase.WAITING for task in tasks):
            return
        if any(
            self._is_held(
                name_task(waiting.job.job, waiting.occurrence, waiting.number, index),
                task,
            )
            for index, task in enumerate(tasks)
        ):
            self.trials.setdefault((waiting.job.job, waiting.number), waiting)
            return
        unused = self._reserved.list_unused(waiting)
        chosen: list[WorkerHeadroom] = []
        if unused or not self._candidates.is_rejected(waiting):
            chosen = self._choose_for_gang(waiting, unused)
        # Only the harm of tasks on spare cores keeps them off workers with room.
        if not chosen and waiting.step.uses_spare_cores and self._may_force(waiting):
            chosen = self._choose_forced_gang(waiting, unused)
        if not chosen:
            self.unplaced.setdefault((waiting.job.job, waiting.number), waiting)
            return
        self._starved[waiting.job.job] = False
        for task, headroom in zip(tasks, chosen, strict=True):
            if task.is_suspect or headroom.awaits_probe:
                self._candidates.close(headroom)
        run = RunNumber(max(task.last_run for task in tasks) + 1)
        for index, headroom in enumerate(chosen):
            name = name_task(waiting.job.job, waiting.occurrence, waiting.number, index)
            self._starts.append(RunStart(name, run, headroom.worker.worker))

    def _choose_for_gang(
        self, waiting: WaitingStep, unused: list[WorkerHeadroom]
    ) -> list[WorkerHeadroom]:
        """Add all members of a gang to workers and return these; none if none fits.

        Parameters
        ----------
        waiting
            The step of the gang.
        unused
            Reserved workers whose room the gang may use.
        """
        running = count_live(waiting.tasks)
        # What is reserved or runs already differs from gang to gang.
        is_alike = not (unused or running)
        if is_alike and self._unplaceable.covers(waiting):
            return []
        candidates = [*self._candidates.list_fitting(waiting), *unused]
        members = len(waiting.tasks)
        is_suspect = any(task.is_suspect for task in waiting.tasks)
        step = waiting.step
        for workers in iterate_ways(
            step, members, candidates, running, self._interference
        ):
            counts = dict(running)
            if is_alike and workers is candidates and not step.max_per_worker:
                ranking = self._candidates.find_ranking(waiting, is_suspect=is_suspect)
            else:
                ranking = self._candidates.rank(
                    step, workers, is_suspect=is_suspect, running=counts
                )
            chosen = self._fill(waiting, ranking, counts)
            if chosen:
                return chosen
        if is_alike:
            self._unplaceable.add(waiting)
        return []

    def _choose_forced_gang(
        self, waiting: WaitingStep, unused: list[WorkerHeadroom]
    ) -> list[WorkerHeadroom]:
        """Add a gang of a starved job to the workers where it harms least.

        Its parameters are those of ``_choose_for_gang``.
        """
        step, running = waiting.step, count_live(waiting.tasks)
        candidates = [*self._candidates.list_fitting(waiting), *unused]
        if not has_places(step, len(waiting.tasks), candidates, running):
            return []
        ranking = self._candidates.rank_by_harm(step, candidates, running=running)
        return self._fill(waiting, ranking, running)

    def _fill(
        self,
        waiting: WaitingStep,
        ranking: CandidateRanking,
        running: dict[WorkerId, int],
    ) -> list[WorkerHeadroom]:
        """Add all members of a gang to the best workers, or none if not all fit."""
        saved: dict[WorkerId, Saved] = {}
        chosen: list[WorkerHeadroom] = []
        for _ in waiting.tasks:
            headroom = ranking.choose((), ())
            if headroom is None:
                self._candidates.restore(saved.values())
                return []
            saved.setdefault(headroom.worker.worker, save_headroom(headroom))
            if headroom.awaits_probe:
                headroom.task_limit += 1
            self._add_task(headroom, waiting.step, running)
            chosen.append(headroom)
        return chosen

    def _may_force(self, waiting: WaitingStep) -> bool:
        """Return whether a task may start although it harms serving tasks."""
        if waiting.queue.service not in self._candidates.underutilized:
            return False
        job = waiting.job
        if job.job not in self._starved:
            is_mostly_free = waiting.queue.service in self._candidates.mostly_free
            self._starved[job.job] = self._is_starved(job, is_mostly_free)
        return self._starved[job.job]

    def _start_task(
        self,
        waiting: WaitingStep,
        name: TaskName,
        task: Task,
        headroom: WorkerHeadroom,
        tasks_per_worker: dict[WorkerId, int],
    ) -> None:
        self._starved[waiting.job.job] = False
        self._add_task(headroom, waiting.step, tasks_per_worker)
        if task.is_suspect:
            self._candidates.close(headroom)
        run = RunNumber(task.last_run + 1)
        self._starts.append(RunStart(name, run, headroom.worker.worker))

    def _add_task(
        self,
        headroom: WorkerHeadroom,
        step: Step,
        tasks_per_worker: dict[WorkerId, int],
    ) -> None:
        self._candidates.add_task(headroom, step)
        worker = headroom.worker.worker
        tasks_per_worker[worker] = tasks_per_worker.get(worker, 0) + 1


def iterate_waiting(
    jobs: Iterable[Job], queues: Mapping[QueueName, Queue]
) -> Iterator[WaitingStep]:
    """Yield the steps with tasks that wait and whose earlier steps are done."""
    for job in jobs:
        queue = queues.get(job.queue)
        if queue is None:
            continue
        for occurrence, number in job.waiting_steps:
            yield WaitingStep(job, queue, occurrence, number)


def _count_waiting(waiting: WaitingStep) -> int:
    return sum(task.phase is TaskPhase.WAITING for task in waiting.tasks)
