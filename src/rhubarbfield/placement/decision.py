"""Records of why a task was placed where it is."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.types import WorkerId


class RejectionReason(StrEnum):
    """Why a worker does not get a task."""

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
    """A worker that was weighed and not taken.

    Attributes
    ----------
    worker
        The worker.
    score
        What placing there would have cost; comparable within one decision.
    """

    worker: WorkerId
    score: float


class RejectionCount(msgspec.Struct, frozen=True, array_like=True):
    """How many workers were ruled out for one reason."""

    reason: RejectionReason
    workers: int


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """Why an attempt was started where it was.

    Attributes
    ----------
    strategy
        The policy that decided.
    score
        Cost of the worker taken, in the policy's own unit; lower is better.
    reason
        A sentence for a person.
    alternatives
        The next best workers.
    rejections
        Workers ruled out, counted by reason.
    """

    strategy: str = "unrecorded"
    score: float = 0.0
    reason: str = ""
    alternatives: tuple[Alternative, ...] = ()
    rejections: tuple[RejectionCount, ...] = ()
