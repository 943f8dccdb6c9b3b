"""Commands that change :class:`SchedulingState`."""

from __future__ import annotations

import msgspec

from rhubarbfield.machine import Command, CommandRegistry, Reply
from rhubarbfield.placement.state import HarmEstimate
from rhubarbfield.scheduling.crashes import CrashedRun
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
    StateVersion,
    TaskName,
)
from rhubarbfield.scheduling.state import (
    RunEnd,
    SchedulingState,
)
from rhubarbfield.scheduling.witnesses import Witness
from rhubarbfield.types import JobId, ServiceName, WorkerId

scheduling_commands: CommandRegistry[SchedulingState] = CommandRegistry()


class PutConfiguration(Command, frozen=True):
    """Put a configuration in force, if its version is higher.

    Refused if the configuration in force has the same version and other content. Its
    queues have their identities as names; those that an earlier version proposed have
    the names that operators gave them.
    """

    configuration: QueueConfiguration


class AcceptJob(Command, frozen=True):
    """Accept a job; a job that is known already stays unchanged.

    One that was cancelled before is accepted as cancelled.
    """

    job: JobId
    queue: QueueName
    submission: JobSubmission
    accepted_ms: int = 0


class CancelJob(Command, frozen=True):
    """Cancel a job; refused if it is not known, and then cancelled once it is."""

    job: JobId


class ForgetJobs(Command, frozen=True):
    """Drop jobs that ended long ago."""

    jobs: tuple[JobId, ...]


class OpenOccurrences(Command, frozen=True):
    """Create the tasks of occurrences that have come due."""

    due: tuple[tuple[JobId, int], ...]


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's description of itself.

    Attributes
    ----------
    worker, machine, service, address, zone, capacity, labels, draining
        As in the worker's record.
    sequence
        Number of the heartbeat, which grows; 0 if it is not known.
    """

    worker: WorkerId
    machine: MachineName
    service: ServiceName
    address: str
    zone: str
    capacity: Demand
    labels: tuple[Label, ...]
    draining: bool
    sequence: int = 0


class UpdateWorkers(Command, frozen=True):
    """Add workers, or update their records."""

    reports: tuple[WorkerReport, ...]


class RemoveWorker(Command, frozen=True):
    """Remove a worker, once it is certain that this incarnation has ended.

    All its runs are recorded as lost; their tasks wait again, unless the crash shows
    that a task ends the workers that start it.

    Attributes
    ----------
    worker
        The worker.
    checkpoints
        Checkpoints that it listed last.
    crashed
        Its runs, if it ended without notice.
    """

    worker: WorkerId
    checkpoints: dict[TaskName, CheckpointToken] = msgspec.field(default_factory=dict)
    crashed: tuple[CrashedRun, ...] = ()


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """A run to record before it is started."""

    task: TaskName
    run: RunNumber
    worker: WorkerId


class StartRuns(Command, frozen=True):
    """Record runs before the orders to start them are sent.

    Answered by :class:`RunsRecorded`; runs that may not start are left out, among
    them those whose number is not higher than the last one of their task. Applied
    twice, the command records nothing the second time.
    """

    starts: tuple[RunStart, ...]


class RunsRecorded(Reply, frozen=True):
    """Positions of the starts of a :class:`StartRuns` that were recorded."""

    recorded: tuple[int, ...]


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """The end of one run.

    Attributes
    ----------
    task, run, end, checkpoint
        The run, how it ended, and its last saved progress.
    """

    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: CheckpointToken = NO_CHECKPOINT


class WorkerEnds(msgspec.Struct, frozen=True, array_like=True):
    """Ends of runs on one worker.

    Attributes
    ----------
    worker
        The worker.
    ends
        The ended runs.
    recorded_ends
        Number of the last of these ends that the worker listed; 0 if it listed
        none of them.
    lapsed
        Runs that are lost with the worker's lease, for the case that it has crashed.
    brief
        Ended runs whose start may crash the worker yet, for the same case.
    proven
        Earlier ones of these with which the worker has worked on for a while.
    """

    worker: WorkerId
    ends: tuple[EndedRun, ...]
    recorded_ends: int = 0
    lapsed: tuple[CrashedRun, ...] = ()
    brief: tuple[CrashedRun, ...] = ()
    proven: tuple[CrashedRun, ...] = ()


class RaiseStateVersion(Command, frozen=True):
    """Let rules take effect that all members of the group know.

    From then on a success counts although its run was recorded as ended before.
    """

    version: StateVersion


class SaveHarm(Command, frozen=True):
    """Save the learned interference estimates for the next leader."""

    estimates: tuple[HarmEstimate, ...]


class EndRuns(Command, frozen=True):
    """Record the ends of runs, and which workers give no reply.

    Attributes
    ----------
    workers
        The ends, by worker.
    silent
        Workers whose lease is not extended from now on.
    heard
        Workers whose lease may be extended again.
    witnesses
        Clocks of other workers that were read since these leases were extended last.
    begun
        Jobs of which a worker is known to have begun a run.
    """

    workers: tuple[WorkerEnds, ...]
    silent: tuple[WorkerId, ...] = ()
    heard: tuple[WorkerId, ...] = ()
    witnesses: dict[WorkerId, tuple[Witness, ...]] = msgspec.field(default_factory=dict)
    begun: tuple[JobId, ...] = ()
