"""Replies of the commands that change the work state."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.machine import Reply
from rhubarbfield.placement.resources import Resources
from rhubarbfield.types import (
    AttemptId,
    CheckpointId,
    Epoch,
    JobId,
    TaskId,
    WorkerId,
)


class Eviction(msgspec.Struct, frozen=True):
    """An attempt to end with a checkpoint, and the reason."""

    attempt: AttemptId
    worker: WorkerId
    reason: str


class WorkerAdded(Reply, frozen=True):
    """The worker was added under this epoch."""

    worker: WorkerId
    epoch: Epoch


class JobAccepted(Reply, frozen=True):
    """The job was accepted; :func:`make_task_id` gives the ids of its tasks."""

    job: JobId
    tasks: int


class ImpossibleReason(StrEnum):
    """Why a job can never run."""

    NO_TASKS = "no-tasks"
    TOO_MANY_TASKS = "too-many-tasks"
    BAD_SIZE = "bad-size"
    TOO_MANY_CORES = "too-many-cores"
    TOO_MUCH_MEMORY = "too-much-memory"
    NO_ACCELERATOR = "no-accelerator"
    TOO_MANY_ACCELERATORS = "too-many-accelerators"
    NO_SINGLE_WORKER = "no-single-worker"
    GANG_TOO_LARGE = "gang-too-large"
    EXCEEDS_QUOTA = "exceeds-quota"


class Impossible(msgspec.Struct, frozen=True):
    """A job can never run as specified.

    Attributes
    ----------
    reason
        Why it can never run.
    message
        Human-readable form of the reason.
    nearest_worker, nearest_fit
        The worker that comes closest and its capacity, if there is one.
    """

    reason: ImpossibleReason
    message: str
    nearest_worker: WorkerId | None = None
    nearest_fit: Resources | None = None


class JobImpossible(Reply, frozen=True):
    """The job was recorded as impossible and will not run."""

    job: JobId
    impossible: Impossible


class JobsCancelled(Reply, frozen=True):
    """Outcome of a cancellation.

    Attributes
    ----------
    cancelled
        Jobs that are cancelled, now or earlier.
    finished
        Jobs that had ended already and are not changed.
    unknown
        Jobs that are not known.
    stopping
        Attempts for which stop orders have to be sent.
    """

    cancelled: tuple[JobId, ...] = ()
    finished: tuple[JobId, ...] = ()
    unknown: tuple[JobId, ...] = ()
    stopping: tuple[Eviction, ...] = ()


class StartRefusal(StrEnum):
    """Why an attempt was not started."""

    NOT_PENDING = "not-pending"
    TOO_EARLY = "too-early"
    WORKER_ABSENT = "worker-absent"
    WORKER_DRAINING = "worker-draining"
    QUARANTINED = "quarantined"
    NO_ROOM = "no-room"
    OVER_QUOTA = "over-quota"
    GANG_INCOMPLETE = "gang-incomplete"


class StartedAttempt(msgspec.Struct, frozen=True):
    """An attempt for which a start order has to be sent to its worker."""

    attempt: AttemptId
    task: TaskId
    worker: WorkerId
    epoch: Epoch
    size: Resources
    checkpoint: CheckpointId | None = None


class RefusedStart(msgspec.Struct, frozen=True):
    """A start that was refused."""

    task: TaskId
    refusal: StartRefusal


class AttemptsStarted(Reply, frozen=True):
    """The starts that took effect, and those that were refused."""

    started: tuple[StartedAttempt, ...] = ()
    refused: tuple[RefusedStart, ...] = ()


class AttemptsReported(Reply, frozen=True):
    """Outcome of workers' reports.

    Attributes
    ----------
    ignored
        Attempts that are not live on that worker in that epoch. A worker that
        still runs one of them must stop it.
    stopping
        Attempts for which stop orders have to be sent.
    """

    ignored: tuple[AttemptId, ...] = ()
    stopping: tuple[Eviction, ...] = ()


class AttemptsEvicting(Reply, frozen=True):
    """Evictions for which stop orders have to be sent, and those without effect."""

    evicting: tuple[Eviction, ...] = ()
    refused: tuple[AttemptId, ...] = ()


class AttemptsResized(Reply, frozen=True):
    """Commitments that changed, and those that did not fit or were not live."""

    resized: tuple[AttemptId, ...] = ()
    refused: tuple[AttemptId, ...] = ()


class WorkerLost(Reply, frozen=True):
    """Tasks that were requeued, and attempts on other workers that have to stop."""

    tasks: tuple[TaskId, ...] = ()
    stopping: tuple[Eviction, ...] = ()


work_replies: tuple[type[Reply], ...] = (
    WorkerAdded,
    JobAccepted,
    JobImpossible,
    JobsCancelled,
    AttemptsStarted,
    AttemptsReported,
    AttemptsEvicting,
    AttemptsResized,
    WorkerLost,
)
