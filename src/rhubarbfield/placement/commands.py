"""Commands that change :class:`WorkState`.

Each command has a field ``at``, the time at which the leader proposed it.
"""

from __future__ import annotations

from datetime import datetime

import msgspec

from rhubarbfield.machine import Command, CommandRegistry
from rhubarbfield.placement.decision import Decision
from rhubarbfield.placement.replies import Eviction
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import (
    HarmEstimate,
    JobSpec,
    QuarantineState,
    Quota,
    SizeEstimate,
    WorkState,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    FailureDomain,
    Incarnation,
    JobId,
    RackName,
    TaskId,
    Tenant,
    WorkerId,
)

work_commands: CommandRegistry[WorkState] = CommandRegistry()


class AddWorker(Command, frozen=True):
    """Add a worker that joins.

    The reply is :class:`WorkerAdded` with the worker's epoch, and is the same if
    the command is repeated for the same incarnation. The command is refused while
    an earlier incarnation is present, which has to be lost first.
    """

    at: datetime
    worker: WorkerId
    capacity: Resources
    rack: RackName
    domain: FailureDomain
    incarnation: Incarnation


class UpdateWorker(Command, frozen=True):
    """Change a worker's capacity.

    A capacity below what is committed takes effect gradually, as attempts end.
    """

    at: datetime
    worker: WorkerId
    epoch: Epoch
    capacity: Resources


class SetDraining(Command, frozen=True):
    """Start or stop draining a worker."""

    at: datetime
    worker: WorkerId
    draining: bool


class LoseWorker(Command, frozen=True):
    """Mark a worker as lost, which ends all its attempts.

    To be proposed only once the worker's lease has lapsed by the grantor's clock
    and margin, or the worker itself has reported a restart.

    Attributes
    ----------
    at
        Time of the loss.
    worker, epoch
        The worker, and the epoch under which it is lost.
    reason
        Human-readable reason.
    delays_restarts
        Whether tasks that have lost several workers in a row wait before their next
        attempt. Commands of earlier versions do not ask for it.
    """

    at: datetime
    worker: WorkerId
    epoch: Epoch
    reason: str
    delays_restarts: bool = False


class RemoveWorker(Command, frozen=True):
    """Remove an absent worker permanently."""

    at: datetime
    worker: WorkerId


class SetQuarantine(Command, frozen=True):
    """Quarantine a worker or release it; at most a third may be quarantined."""

    at: datetime
    worker: WorkerId
    state: QuarantineState
    reason: str = ""


class AcceptJob(Command, frozen=True):
    """Accept a job; the reply is :class:`JobAccepted` or :class:`JobImpossible`."""

    at: datetime
    spec: JobSpec


class Rejection(msgspec.Struct, frozen=True):
    """A job that turned out to be impossible, and the reason."""

    job: JobId
    reason: str


class RejectJobs(Command, frozen=True):
    """End jobs as impossible because their tasks proved larger than declared.

    Jobs that have ended or have live attempts are not changed.
    """

    at: datetime
    rejections: tuple[Rejection, ...]


class CancelJobs(Command, frozen=True):
    """Cancel jobs in any state; the reply is :class:`JobsCancelled`."""

    at: datetime
    jobs: tuple[JobId, ...]


class AttemptStart(msgspec.Struct, frozen=True):
    """The worker on which a task is to start, its commitment, and the decision."""

    task: TaskId
    worker: WorkerId
    size: Resources
    decision: Decision = Decision()


class StartAttempts(Command, frozen=True):
    """Commit attempts before the orders are sent to their workers."""

    at: datetime
    starts: tuple[AttemptStart, ...]


class AttemptReport(msgspec.Struct, frozen=True):
    """A worker's report on one attempt.

    Attributes
    ----------
    state
        ``RUNNING``, ``HELD``, ``EVICTED``, ``SUCCEEDED`` or ``FAILED``. A worker
        that is asked to stop an attempt it never started reports ``EVICTED``.
    checkpoint
        A checkpoint newer than any reported before, if there is one.
    """

    attempt: AttemptId
    worker: WorkerId
    epoch: Epoch
    state: AttemptState
    checkpoint: CheckpointId | None = None
    reason: str = ""


class ReportAttempts(Command, frozen=True):
    """Apply workers' reports on their attempts, in the order of reporting."""

    at: datetime
    reports: tuple[AttemptReport, ...]


class EvictAttempts(Command, frozen=True):
    """Commit evictions before the orders are sent to their workers."""

    at: datetime
    evictions: tuple[Eviction, ...]


class Resize(msgspec.Struct, frozen=True):
    """New commitment of one attempt."""

    attempt: AttemptId
    worker: WorkerId
    size: Resources


class ResizeAttempts(Command, frozen=True):
    """Change commitments of live attempts; those that do not fit are not changed."""

    at: datetime
    resizes: tuple[Resize, ...]


class SetQuota(Command, frozen=True):
    """Set a tenant's quota; attempts that are live already are not evicted for it."""

    at: datetime
    tenant: Tenant
    quota: Quota


class SetEstimates(Command, frozen=True):
    """Store learned estimates, from which the next leader starts."""

    at: datetime
    sizes: tuple[SizeEstimate, ...] = ()
    harm: tuple[HarmEstimate, ...] = ()


class ForgetFinished(Command, frozen=True):
    """Remove jobs that finished before a given time."""

    at: datetime
    before: datetime
