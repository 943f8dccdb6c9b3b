"""Replicated state of queues, jobs, tasks and workers.

The state has no monotonic times, since each leader has another clock.
"""

from __future__ import annotations

import functools
from collections import ChainMap
from collections.abc import Mapping
from enum import Enum, IntEnum

import msgspec

from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.former_queues import FormerQueue
from rhubarbfield.scheduling.gang_checkpoints import CheckpointSource, GangCheckpoint
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    Demand,
    JobPhase,
    JobSubmission,
    Label,
    MachineName,
    Queue,
    QueueConfiguration,
    QueueName,
    RunNumber,
    StateVersion,
    Step,
    StepName,
    TaskName,
)
from rhubarbfield.scheduling.queue_index import index_queues
from rhubarbfield.scheduling.witnesses import Witness
from rhubarbfield.types import JobId, ServiceName, WorkerId

# Tasks that are live or waiting on the largest site.
MAX_CACHED_NAMES = 32_768
MAX_ABANDONED_RUNS = 8  # of a task, at most 300 B of a snapshot
# A task under which so many workers have crashed is suspected, however long it ran.
SUSPECT_CRASHES = 2


class TaskPhase(IntEnum):
    """Phase of a task over all its runs; the last two are final."""

    WAITING = 0
    LIVE = 1
    DONE = 2
    FAILED = 3

    @property
    def is_final(self) -> bool:
        """Whether the task has ended."""
        return self in (TaskPhase.DONE, TaskPhase.FAILED)


class RunEnd(Enum):
    """How a run ended.

    Attributes
    ----------
    REJECTED
        The worker refused to start it, or was never reached; it never ran.
    LOST
        Its worker was removed, or its lease lapsed without a report of its end.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"

    @property
    def is_listed(self) -> bool:
        """Whether the worker itself lists such an end."""
        return self not in (RunEnd.REJECTED, RunEnd.LOST)


class Task(msgspec.Struct, array_like=True):
    """Replicated state of a task.

    Attributes
    ----------
    phase
        Phase of the task.
    last_run
        Highest run number assigned so far; numbers only grow.
    failures
        Number of runs that failed.
    checkpoint
        Checkpoint from which the next run resumes, unless the task is of a gang.
    live
        Worker of each run whose end is not recorded, by run number.
    crashed_runs
        Runs with which a worker crashed; of a gang once for each run.
    certain_crashes
        Number of these that their worker had certainly started.
    blame
        Sum over the crashes right after the start of a run, of 100 divided by the
        number of runs that had just started there.
    abandoned
        Worker of each of the latest runs that were recorded as ended although their
        worker had not listed that, by run number; empty once the task has ended.
    """

    phase: TaskPhase = TaskPhase.WAITING
    last_run: RunNumber = RunNumber(0)
    failures: int = 0
    checkpoint: CheckpointToken = NO_CHECKPOINT
    live: dict[RunNumber, WorkerId] = msgspec.field(default_factory=dict)
    crashed_runs: list[RunNumber] = msgspec.field(default_factory=list)
    certain_crashes: int = 0
    blame: int = 0
    abandoned: dict[RunNumber, WorkerId] = msgspec.field(default_factory=dict)

    @property
    def crashes(self) -> int:
        """Number of workers that crashed with a run of the task."""
        return len(self.crashed_runs)

    def record_abandoned(self, run: RunNumber, worker: WorkerId) -> None:
        """Record that a run counts as ended without the word of its worker."""
        self.abandoned[run] = worker
        if len(self.abandoned) > MAX_ABANDONED_RUNS:
            del self.abandoned[min(self.abandoned)]

    @property
    def is_suspect(self) -> bool:
        """Whether the task may crash the workers that start it."""
        return self.blame > 0 or self.crashes >= SUSPECT_CRASHES


class StepProgress(msgspec.Struct, array_like=True):
    """The tasks of a step in one occurrence.

    Attributes
    ----------
    tasks
        Tasks of the step, by index.
    done
        Number of tasks that are done.
    failed_runs
        Runs of a gang in which a member failed.
    checkpoint
        Checkpoint of a gang; None before a member has shown one, or if only an
        earlier version recorded them.
    """

    tasks: list[Task]
    done: int = 0
    failed_runs: list[RunNumber] = msgspec.field(default_factory=list)
    checkpoint: GangCheckpoint | None = None

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done == len(self.tasks)

    @property
    def has_waiting(self) -> bool:
        """Whether any task waits to be started."""
        return any(task.phase is TaskPhase.WAITING for task in self.tasks)

    def find_gang_checkpoint(self) -> CheckpointToken:
        """Return the checkpoint from which all members of the gang resume."""
        if self.checkpoint is not None:
            return self.checkpoint.token
        tokens = (task.checkpoint for task in self.tasks if task.checkpoint)
        return next(tokens, NO_CHECKPOINT)

    def save_gang_checkpoint(
        self, token: CheckpointToken, run: RunNumber, source: CheckpointSource
    ) -> None:
        """Keep a checkpoint that a member has shown, if it is newer."""
        if self.checkpoint is None:
            given = self.find_gang_checkpoint()
            self.checkpoint = GangCheckpoint(token, run, source, given)
        else:
            self.checkpoint = self.checkpoint.replace(token, run, source)


class Job(msgspec.Struct, kw_only=True, dict=True):
    """A job and all its tasks.

    Attributes
    ----------
    job, queue
        Id of the job, and its queue.
    order
        Position among all accepted jobs.
    submission
        The job as it was submitted.
    phase
        Phase of the job.
    occurrences
        Progress of each occurrence that was opened, by number; empty for one of a
        recurring job that has ended. They are opened in the order of their numbers.
    finished
        Number of complete occurrences.
    accepted_ms
        Time of day at which the job was accepted, in ms since 1970; only a hint,
        since clocks differ and may be stepped.
    started
        Whether any run was recorded.
    begun
        Whether it is recorded that a worker has begun a run.
    """

    job: JobId
    queue: QueueName
    order: int
    submission: JobSubmission
    phase: JobPhase = JobPhase.QUEUED
    occurrences: dict[int, list[StepProgress]] = msgspec.field(default_factory=dict)
    finished: int = 0
    accepted_ms: int = 0
    started: bool = False
    begun: bool = False

    @property
    def is_open(self) -> bool:
        """Whether tasks of the job may still start."""
        return self.phase in (JobPhase.QUEUED, JobPhase.RUNNING)

    @property
    def has_begun(self) -> bool:
        """Whether a worker has begun a run, as far as it is recorded.

        An order to start may be refused, or never arrive. Earlier versions recorded
        no more than that a task is done.
        """
        if self.begun or self.finished:
            return True
        # Most jobs that wait have no run: their tasks need not be looked at.
        return self.started and any(
            step.done for steps in self.occurrences.values() for step in steps
        )

    @property
    def wanted_occurrences(self) -> int:
        """Number of occurrences after which the job is complete."""
        recurrence = self.submission.recurrence
        return 1 if recurrence is None else recurrence.times

    @property
    def has_live_runs(self) -> bool:
        """Whether any run of the job has no recorded end."""
        return any(_has_live_runs(steps) for steps in self.unfinished.values())

    @functools.cached_property
    def unfinished(self) -> dict[int, list[StepProgress]]:
        """Progress of the occurrences with tasks that have not ended, by number.

        Only these need to be looked at; a recurring job may have ended many others.
        """
        return {
            number: steps
            for number, steps in self.occurrences.items()
            if not self._is_over(steps)
        }

    @functools.cached_property
    def waiting_steps(self) -> tuple[tuple[int, int], ...]:
        """Occurrence and number of each step of which a task may start now.

        It is kept until an occurrence is opened or a task changes its phase.
        """
        return tuple(
            (occurrence, number)
            for occurrence, steps in self.unfinished.items()
            for number, progress in enumerate(steps)
            if progress.has_waiting and self.is_step_ready(occurrence, number)
        )

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Change the phase of a task of the job."""
        task.phase = phase
        if phase.is_final:
            task.abandoned.clear()
        self.__dict__.pop("waiting_steps", None)

    @property
    def next_occurrence(self) -> int:
        """Number of the occurrence that is opened next."""
        return next(reversed(self.occurrences), -1) + 1

    def open_occurrence(self, number: int) -> None:
        """Create the tasks of an occurrence, unless they exist."""
        if number not in self.occurrences:
            self.__dict__.pop("waiting_steps", None)
            unfinished = self.unfinished  # before the occurrence counts as one
            unfinished[number] = self.occurrences[number] = [
                StepProgress([Task() for _ in range(step.tasks)])
                for step in self.submission.steps
            ]

    def close_occurrence(self, number: int) -> None:
        """Drop the tasks of an occurrence of a recurring job once all have ended."""
        if self._is_over(self.occurrences[number]):
            self.unfinished.pop(number, None)
            self.occurrences[number] = []

    def _is_over(self, steps: list[StepProgress]) -> bool:
        """Return whether an occurrence of a recurring job has ended."""
        if self.submission.recurrence is None:
            return False
        return all(step.is_done for step in steps) and not _has_live_runs(steps)

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that ``step`` depends on are done."""
        progress = self.occurrences[occurrence]
        return all(progress[before].is_done for before in self.get_step(step).after)

    def get_step(self, step: int) -> Step:
        """Return a step as it was submitted."""
        return self.submission.steps[step]

    def find_checkpoint(
        self, occurrence: int, step: int, task: Task
    ) -> CheckpointToken:
        """Return the checkpoint from which the next run of a task resumes."""
        if self.get_step(step).gang:
            return self.occurrences[occurrence][step].find_gang_checkpoint()
        return task.checkpoint


def _has_live_runs(steps: list[StepProgress]) -> bool:
    return any(task.live for step in steps for task in step.tasks)


class Worker(msgspec.Struct, kw_only=True):
    """One incarnation of a machine that runs tasks.

    Attributes
    ----------
    worker
        Id of this incarnation; a restarted machine has another one.
    machine
        Name of the machine, or "" if the worker did not report it.
    service, address, zone
        Service, address and zone of the worker.
    capacity, labels
        Resources and labels of the worker.
    draining
        Whether the worker is about to leave.
    sequence
        Number of the heartbeat that is recorded here; 0 if it is not known.
    recorded_ends
        Number of the last end that is recorded here.
    runs
        Runs on the worker whose end is not recorded.
    lapsed
        Runs that were lost with its lease, until it is heard again: it may have
        crashed.
    silent
        Whether its lease is not extended, since it gave no reply.
    witnesses
        Clocks of other workers that were read since the lease was extended last; empty
        if it is not silent, or if none was read.
    brief
        Runs that ended right after their start, until the worker has worked on for a
        while: their start may crash it yet.
    """

    worker: WorkerId
    machine: MachineName
    service: ServiceName
    address: str
    zone: str
    capacity: Demand
    labels: tuple[Label, ...] = ()
    draining: bool = False
    sequence: int = 0
    recorded_ends: int = 0
    runs: dict[TaskName, RunNumber] = msgspec.field(default_factory=dict)
    lapsed: list[CrashedRun] = msgspec.field(default_factory=list)
    silent: bool = False
    brief: list[CrashedRun] = msgspec.field(default_factory=list)
    witnesses: tuple[Witness, ...] = ()

    @property
    def unresolved(self) -> list[CrashedRun]:
        """Runs that have ended, and of which one may have crashed the worker.

        Each task is listed once, since the worker crashes once.
        """
        lapsed = {each.task for each in self.lapsed}
        return [
            *self.lapsed,
            *(each for each in self.brief if each.task not in lapsed),
        ]

    def find_share(self, step: Step) -> float:
        """Return the share of the worker's processors that a task of ``step`` wants.

        It is at most 1, also on a worker whose capacity has shrunk.
        """
        return min(step.demand.millicores / max(self.capacity.millicores, 1), 1.0)


class SchedulingState(msgspec.Struct):
    """State of the log of a deployment.

    Attributes
    ----------
    configuration
        Configuration in force; None until one is accepted.
    jobs, workers
        Jobs and workers by id.
    accepted
        Number of jobs accepted so far.
    harm
        Learned interference estimates, for the next leader.
    configurations
        Number of configurations that were in force so far.
    configuration_sizes
        Bytes of the latest of them, the one in force last; earlier ones may be missing.
    former_queues
        Queues of open jobs that are no longer configured under their names.
    withdrawn
        The latest jobs that were cancelled before they were accepted, oldest first.
    version
        The rules in effect, which all members of the group know.
    """

    configuration: QueueConfiguration | None = None
    jobs: dict[JobId, Job] = msgspec.field(default_factory=dict)
    workers: dict[WorkerId, Worker] = msgspec.field(default_factory=dict)
    accepted: int = 0
    harm: dict[str, HarmEstimate] = msgspec.field(default_factory=dict)
    configurations: int = 0
    configuration_sizes: list[int] = msgspec.field(default_factory=list)
    former_queues: dict[QueueName, FormerQueue] = msgspec.field(default_factory=dict)
    withdrawn: dict[JobId, None] = msgspec.field(default_factory=dict)
    version: StateVersion = StateVersion(0)

    def find_queue(self, name: QueueName) -> Queue | None:
        """Return a queue of the configuration in force."""
        return self.map_queues().get(name)

    def map_queues(self) -> dict[QueueName, Queue]:
        """Return the queues of the configuration in force, by name."""
        return index_queues(self.configuration).by_name

    def find_serving_queue(self, name: QueueName) -> Queue | None:
        """Return the queue that serves jobs which a queue of this name accepted."""
        former = self.former_queues.get(name)
        return self.find_queue(name) if former is None else former.queue

    def map_serving_queues(self) -> Mapping[QueueName, Queue]:
        """Return the queues that serve jobs, by the name of the accepting queue."""
        if not self.former_queues:
            return self.map_queues()
        former = {name: each.queue for name, each in self.former_queues.items()}
        return ChainMap(former, self.map_queues())

    def guards_capacity(self, service: ServiceName) -> bool:
        """Return whether the workers of a service refuse tasks without room."""
        return service in index_queues(self.configuration).guarding_services

    def find_task(self, name: TaskName) -> tuple[Job, int, int, Task] | None:
        """Return job, occurrence, step and task by the name of the task.

        Returns None if there is no such task. A worker may list tasks of an earlier
        job with the same id, or names that nobody gave.
        """
        job = self.jobs.get(find_job_id(name))
        if job is None:
            return None
        try:
            occurrence, step, index = _find_position(name)
            task = job.occurrences[occurrence][step].tasks[index]
        except (ValueError, LookupError):
            return None
        if step < 0 or index < 0:
            return None
        return job, occurrence, step, task

    def is_wanted(self, name: TaskName) -> bool:
        """Return whether runs of a task may work: neither it nor its job has ended."""
        found = self.find_task(name)
        return found is not None and found[0].is_open and not found[3].phase.is_final

    def find_step(self, name: TaskName) -> Step | None:
        """Return the step of a task, or None if there is no such task."""
        found = self.find_task(name)
        return None if found is None else found[0].get_step(found[2])

    def find_step_workers(self, name: StepName) -> set[WorkerId]:
        """Return the workers that have runs of a step, in one of its occurrences."""
        found = self.find_task(TaskName(f"{name}.0"))
        if found is None:
            return set()
        job, occurrence, step, _ = found
        tasks = job.occurrences[occurrence][step].tasks
        return {worker for task in tasks for worker in task.live.values()}


def find_job_id(name: TaskName) -> JobId:
    """Return the id of the job of a task."""
    return JobId(name.partition(".")[0])


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _find_position(name: TaskName) -> tuple[int, int, int]:
    """Return occurrence, step and index from the name of a task."""
    occurrence, step, index = (int(part) for part in name.split(".")[1:])
    return occurrence, step, index
