"""What commands that change the work state answer."""

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
    """One attempt to end with a checkpoint, and why."""

    attempt: AttemptId
    worker: WorkerId
    reason: str


class WorkerAdded(Reply, frozen=True):
    """The worker is in, under this epoch."""

    worker: WorkerId
    epoch: Epoch


class JobAccepted(Reply, frozen=True):
    """The job is in; :func:`make_task_id` names its tasks."""

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
    """A job can never run as it was asked for.

    Attributes
    ----------
    reason
        What stands against it.
    message
        The same as a sentence for a person.
    nearest_worker, nearest_fit
        The worker that comes closest and what it has, if there is one.
    """

    reason: ImpossibleReason
    message: str
    nearest_worker: WorkerId | None = None
    nearest_fit: Resources | None = None


class JobImpossible(Reply, frozen=True):
    """The job was taken down as impossible and will not run."""

    job: JobId
    impossible: Impossible


class JobsCancelled(Reply, frozen=True):
    """What a cancellation found.

    Attributes
    ----------
    cancelled
        Cancelled now or before.
    finished
        Had ended already; nothing changed.
    unknown
        Not known here.
    stopping
        Attempts that their workers now have to be told to stop.
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
    """An attempt that its worker now has to be told to start."""

    attempt: AttemptId
    task: TaskId
    worker: WorkerId
    epoch: Epoch
    size: Resources
    checkpoint: CheckpointId | None = None


class RefusedStart(msgspec.Struct, frozen=True):
    """A start that had no effect."""

    task: TaskId
    refusal: StartRefusal


class AttemptsStarted(Reply, frozen=True):
    """Which starts took effect."""

    started: tuple[StartedAttempt, ...] = ()
    refused: tuple[RefusedStart, ...] = ()


class AttemptsReported(Reply, frozen=True):
    """What came of the workers' words.

    Attributes
    ----------
    ignored
        Attempts that are not live on that worker in that epoch. A worker that
        still runs one of them must stop it.
    """

    ignored: tuple[AttemptId, ...] = ()
    stopping: tuple[Eviction, ...] = ()


class AttemptsEvicting(Reply, frozen=True):
    """Evictions that workers now have to be told, and those without effect."""

    evicting: tuple[Eviction, ...] = ()
    refused: tuple[AttemptId, ...] = ()


class AttemptsResized(Reply, frozen=True):
    """Which commitments changed, and which did not fit or were not live."""

    resized: tuple[AttemptId, ...] = ()
    refused: tuple[AttemptId, ...] = ()


class WorkerLost(Reply, frozen=True):
    """Tasks that wait again, and attempts elsewhere that have to stop with them."""

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
