"""The replicated record of queues, jobs, tasks and workers.

Nothing here is a time of any clock: a new leader may have another one.
"""

from __future__ import annotations

from enum import Enum, IntEnum, StrEnum

import msgspec

from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    Demand,
    JobSubmission,
    Label,
    MachineName,
    Queue,
    QueueConfiguration,
    QueueName,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.types import JobId, ServiceName, WorkerId


class JobPhase(StrEnum):
    """Life of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskPhase(IntEnum):
    """Life of a task over all its runs; the last two are final."""

    WAITING = 0
    LIVE = 1
    DONE = 2
    FAILED = 3


class RunEnd(Enum):
    """How a run ended.

    Attributes
    ----------
    REJECTED
        The worker refused to start it; it never ran.
    LOST
        Its worker is gone, or its lease has lapsed without a report.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"


class Task(msgspec.Struct, array_like=True):
    """One task.

    Attributes
    ----------
    phase
        Where it stands.
    last_run
        The highest run number given out; numbers only grow.
    failures
        Runs that ended as failed.
    checkpoint
        Where the next run resumes.
    live
        The worker of each run whose end is not recorded.
    """

    phase: TaskPhase = TaskPhase.WAITING
    last_run: RunNumber = RunNumber(0)
    failures: int = 0
    checkpoint: CheckpointToken = NO_CHECKPOINT
    live: dict[RunNumber, WorkerId] = msgspec.field(default_factory=dict)


class StepProgress(msgspec.Struct, array_like=True):
    """The tasks of a step in one occurrence.

    Attributes
    ----------
    tasks
        All of them, by index.
    done
        How many are done.
    failed_runs
        Of a gang: the runs in which a member failed.
    """

    tasks: list[Task]
    done: int = 0
    failed_runs: list[RunNumber] = msgspec.field(default_factory=list)

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done == len(self.tasks)


class Job(msgspec.Struct, kw_only=True):
    """A job and all its tasks.

    Attributes
    ----------
    job, queue
        Who it is and where it was handed in.
    order
        Position among all accepted jobs.
    submission
        What was asked for.
    phase
        Where it stands.
    occurrences
        The progress of each occurrence that has come due, by number.
    finished
        How many occurrences are complete.
    accepted_ms
        The time of day at which it was handed in, in ms since 1970; a hint.
    started
        Whether any task has started.
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

    @property
    def is_open(self) -> bool:
        """Whether tasks of it may still start."""
        return self.phase in (JobPhase.QUEUED, JobPhase.RUNNING)

    @property
    def wanted_occurrences(self) -> int:
        """How many occurrences make the job complete."""
        recurrence = self.submission.recurrence
        return 1 if recurrence is None else recurrence.times

    @property
    def has_live_runs(self) -> bool:
        """Whether any run of it has no recorded end."""
        return any(
            task.live
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
        )

    def open_occurrence(self, number: int) -> None:
        """Create the tasks of an occurrence; harmless if they exist."""
        if number not in self.occurrences:
            self.occurrences[number] = [
                StepProgress([Task() for _ in range(step.tasks)])
                for step in self.submission.steps
            ]

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Say whether the steps before ``step`` are done."""
        progress = self.occurrences[occurrence]
        return all(progress[before].is_done for before in self.get_step(step).after)

    def get_step(self, step: int) -> Step:
        """Return what was asked for in a step."""
        return self.submission.steps[step]


class Worker(msgspec.Struct, kw_only=True):
    """One life of a machine that runs tasks.

    Attributes
    ----------
    worker
        The id of this life; a restarted machine has another.
    machine
        The machine, or "" where the worker did not say.
    service, address, zone
        What it serves and where it is.
    capacity, labels
        What it holds and what it is called.
    draining
        Whether it is about to leave.
    recorded_ends
        The number of the last end that is recorded here.
    runs
        Runs on it whose end is not recorded.
    """

    worker: WorkerId
    machine: MachineName
    service: ServiceName
    address: str
    zone: str
    capacity: Demand
    labels: tuple[Label, ...] = ()
    draining: bool = False
    recorded_ends: int = 0
    runs: dict[TaskName, RunNumber] = msgspec.field(default_factory=dict)

    def find_share(self, step: Step) -> float:
        """Return the share of its processors that a task of ``step`` wants."""
        return step.demand.millicores / max(self.capacity.millicores, 1)


class SchedulingState(msgspec.Struct):
    """All that the log of a deployment holds.

    Attributes
    ----------
    configuration
        The one in force, if any was accepted.
    jobs, workers
        All that are known.
    accepted
        How many jobs were ever accepted.
    harm
        What was learned of images, for the next leader.
    """

    configuration: QueueConfiguration | None = None
    jobs: dict[JobId, Job] = msgspec.field(default_factory=dict)
    workers: dict[WorkerId, Worker] = msgspec.field(default_factory=dict)
    accepted: int = 0
    harm: dict[str, HarmEstimate] = msgspec.field(default_factory=dict)

    def find_queue(self, name: QueueName) -> Queue | None:
        """Return a queue of the configuration in force."""
        return self.map_queues().get(name)

    def map_queues(self) -> dict[QueueName, Queue]:
        """Return the queues of the configuration in force, by name."""
        if self.configuration is None:
            return {}
        # The first of two queues with one name stands.
        return {queue.name: queue for queue in reversed(self.configuration.queues)}

    def find_task(self, name: TaskName) -> tuple[Job, int, int, Task] | None:
        """Return the job, occurrence, step and task that ``name`` names."""
        parts = name.split(".")
        job = self.jobs.get(JobId(parts[0]))
        if job is None:
            return None
        occurrence, step, index = (int(part) for part in parts[1:])
        return job, occurrence, step, job.occurrences[occurrence][step].tasks[index]

    def find_step(self, name: TaskName) -> Step | None:
        """Return what was asked for in the step of a task."""
        found = self.find_task(name)
        return None if found is None else found[0].get_step(found[2])
