"""The changes of :class:`SchedulingState`."""

from __future__ import annotations

import msgspec

from rhubarbfield.machine import Command, CommandRegistry, Reply
from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    Demand,
    JobSubmission,
    Label,
    MachineName,
    QueueConfiguration,
    QueueName,
    RunNumber,
    TaskName,
)
from rhubarbfield.scheduling.state import RunEnd, SchedulingState
from rhubarbfield.types import JobId, ServiceName, WorkerId

scheduling_commands: CommandRegistry[SchedulingState] = CommandRegistry()


class PutConfiguration(Command, frozen=True):
    """Put a configuration in force, if its version is higher.

    Refused if other content is held under the same version.
    """

    configuration: QueueConfiguration


class AcceptJob(Command, frozen=True):
    """Take in a job; a job that is known already stays as it is."""

    job: JobId
    queue: QueueName
    submission: JobSubmission
    accepted_ms: int = 0


class CancelJob(Command, frozen=True):
    """End a job; refused if it is not known."""

    job: JobId


class ForgetJobs(Command, frozen=True):
    """Drop jobs that ended long ago."""

    jobs: tuple[JobId, ...]


class OpenOccurrences(Command, frozen=True):
    """Create the tasks of occurrences that have come due."""

    due: tuple[tuple[JobId, int], ...]


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a worker says of itself."""

    worker: WorkerId
    machine: MachineName
    service: ServiceName
    address: str
    zone: str
    capacity: Demand
    labels: tuple[Label, ...]
    draining: bool


class UpdateWorkers(Command, frozen=True):
    """Add workers, or change what is known of them."""

    reports: tuple[WorkerReport, ...]


class RemoveWorker(Command, frozen=True):
    """Record the proof that this life of a machine is over.

    All that ran on it has ended; its tasks wait again.
    """

    worker: WorkerId
    checkpoints: dict[TaskName, CheckpointToken] = msgspec.field(default_factory=dict)


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """A run that is about to be started."""

    task: TaskName
    run: RunNumber
    worker: WorkerId


class StartRuns(Command, frozen=True):
    """Record runs before workers are told of them.

    Answered by :class:`RunsRecorded`; what no longer holds is left out.
    """

    starts: tuple[RunStart, ...]


class RunsRecorded(Reply, frozen=True):
    """Which starts of a :class:`StartRuns` were recorded, by position."""

    recorded: tuple[int, ...]


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """The end of one run."""

    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: CheckpointToken = NO_CHECKPOINT


class WorkerEnds(msgspec.Struct, frozen=True, array_like=True):
    """Ends on one worker.

    Attributes
    ----------
    worker
        Which worker.
    ends
        What ended.
    recorded_ends
        The number of the last end that the worker listed; 0 if these ends
        were not listed by it.
    """

    worker: WorkerId
    ends: tuple[EndedRun, ...]
    recorded_ends: int = 0


class SaveHarm(Command, frozen=True):
    """Keep what was learned of images for the next leader."""

    estimates: tuple[HarmEstimate, ...]


class EndRuns(Command, frozen=True):
    """Record the ends of runs."""

    workers: tuple[WorkerEnds, ...]
