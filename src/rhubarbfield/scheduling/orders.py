"""Orders that are queued for a worker."""

from __future__ import annotations

from enum import Enum

import msgspec

from rhubarbfield.scheduling.model import CheckpointToken
from rhubarbfield.scheduling.progress import RunKey


class Start(msgspec.Struct, frozen=True):
    """Start a run that is recorded."""

    key: RunKey
    payload: str
    checkpoint: CheckpointToken
    ticket: str = ""


class Stop(msgspec.Struct, frozen=True):
    """Stop a run."""

    key: RunKey


class Pace(msgspec.Struct, frozen=True):
    """Let a run work at a percentage of its full speed."""

    key: RunKey
    percent: int


Order = Start | Stop | Pace


class StartState(Enum):
    """State of an order to start.

    Attributes
    ----------
    QUEUED
        Not sent yet, or its outcome is unknown.
    SETTLED
        The worker has started the run, or can no longer start it.
    """

    QUEUED = "queued"
    SETTLED = "settled"
