"""Records of why a task was placed where it is."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.types import WorkerId


class RejectionReason(StrEnum):
    """Why a task was not placed on a worker."""

    ABSENT = "absent"
    SILENT = "silent"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    CORES = "cores"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    FAILED_THERE = "failed-there"
    UNPROVEN_SIZE = "unproven-size"
    RESERVED = "reserved-for-urgent"
    HARM = "harm-to-service"
    COSTLIER = "costlier"


class Alternative(msgspec.Struct, frozen=True, array_like=True):
    """A worker that was considered but not chosen.

    Attributes
    ----------
    worker
        The worker.
    score
        Cost of placing the task there; comparable within one decision only.
    """

    worker: WorkerId
    score: float


class RejectionCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of workers that were ruled out for one reason."""

    reason: RejectionReason
    workers: int


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """Why an attempt was started where it was.

    Attributes
    ----------
    strategy
        Name of the strategy that decided.
    score
        Cost of the chosen worker, in the strategy's own unit; lower is better.
    reason
        Human-readable explanation.
    alternatives
        The next best workers.
    rejections
        Number of workers ruled out, by reason.
    """

    strategy: str = "unrecorded"
    score: float = 0.0
    reason: str = ""
    alternatives: tuple[Alternative, ...] = ()
    rejections: tuple[RejectionCount, ...] = ()
