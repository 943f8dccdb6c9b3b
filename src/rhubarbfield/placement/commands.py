"""The changes of :class:`WorkState`.

Each command carries ``at``, the time at which the leader proposed it.
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
    """A worker joins.

    Answered by :class:`WorkerAdded` with the epoch it has to carry. Sent again
    for the same incarnation it answers the same. Refused while an earlier
    incarnation is present: that one must be lost first.
    """

    at: datetime
    worker: WorkerId
    capacity: Resources
    rack: RackName
    domain: FailureDomain
    incarnation: Incarnation


class UpdateWorker(Command, frozen=True):
    """A worker's capacity changed; less than is committed takes effect as work ends."""

    at: datetime
    worker: WorkerId
    epoch: Epoch
    capacity: Resources


class SetDraining(Command, frozen=True):
    """Start or stop emptying a worker."""

    at: datetime
    worker: WorkerId
    draining: bool


class LoseWorker(Command, frozen=True):
    """Proof that all a worker ran has ended.

    To be proposed only once the worker's lease has lapsed by the grantor's
    clock and margin, or the worker itself said that it started afresh.
    """

    at: datetime
    worker: WorkerId
    epoch: Epoch
    reason: str


class RemoveWorker(Command, frozen=True):
    """Forget a worker that is absent for good."""

    at: datetime
    worker: WorkerId


class SetQuarantine(Command, frozen=True):
    """Distrust a worker or trust it again; never more than a third of the workers."""

    at: datetime
    worker: WorkerId
    state: QuarantineState
    reason: str = ""


class AcceptJob(Command, frozen=True):
    """Take in a job; answered by :class:`JobAccepted` or :class:`JobImpossible`."""

    at: datetime
    spec: JobSpec


class Rejection(msgspec.Struct, frozen=True):
    """A job that turned out never to run, and why."""

    job: JobId
    reason: str


class RejectJobs(Command, frozen=True):
    """End jobs as impossible that were seen to be larger than declared.

    Jobs that have ended or have live attempts stay as they are.
    """

    at: datetime
    rejections: tuple[Rejection, ...]


class CancelJobs(Command, frozen=True):
    """Cancel jobs, whatever state they are in; answered by :class:`JobsCancelled`."""

    at: datetime
    jobs: tuple[JobId, ...]


class AttemptStart(msgspec.Struct, frozen=True):
    """Where one task is to start, with how much, and why."""

    task: TaskId
    worker: WorkerId
    size: Resources
    decision: Decision = Decision()


class StartAttempts(Command, frozen=True):
    """Commit attempts before their workers are told."""

    at: datetime
    starts: tuple[AttemptStart, ...]


class AttemptReport(msgspec.Struct, frozen=True):
    """A worker's word on one attempt.

    Attributes
    ----------
    state
        ``RUNNING``, ``HELD``, ``EVICTED``, ``SUCCEEDED`` or ``FAILED``. A worker
        asked to stop an attempt that it never started says ``EVICTED``.
    checkpoint
        A checkpoint newer than any it reported before, if there is one.
    """

    attempt: AttemptId
    worker: WorkerId
    epoch: Epoch
    state: AttemptState
    checkpoint: CheckpointId | None = None
    reason: str = ""


class ReportAttempts(Command, frozen=True):
    """Words of workers on their attempts, in the order in which they were said."""

    at: datetime
    reports: tuple[AttemptReport, ...]


class EvictAttempts(Command, frozen=True):
    """Commit evictions before their workers are told."""

    at: datetime
    evictions: tuple[Eviction, ...]


class Resize(msgspec.Struct, frozen=True):
    """A new commitment for one attempt."""

    attempt: AttemptId
    worker: WorkerId
    size: Resources


class ResizeAttempts(Command, frozen=True):
    """Change commitments of live attempts; those that do not fit stay as they are."""

    at: datetime
    resizes: tuple[Resize, ...]


class SetQuota(Command, frozen=True):
    """Set a tenant's quota; what it holds already is not taken away."""

    at: datetime
    tenant: Tenant
    quota: Quota


class SetEstimates(Command, frozen=True):
    """Keep what was learned, so that the next leader starts from it."""

    at: datetime
    sizes: tuple[SizeEstimate, ...] = ()
    harm: tuple[HarmEstimate, ...] = ()


class ForgetFinished(Command, frozen=True):
    """Drop finished jobs that ended before a time."""

    at: datetime
    before: datetime
