"""Orders that wait to be given to a worker."""

from __future__ import annotations

from enum import Enum

import msgspec

from rhubarbfield.scheduling.model import CheckpointToken
from rhubarbfield.scheduling.progress import RunKey


class Start(msgspec.Struct, frozen=True):
    """A recorded run that the worker has to be told of."""

    key: RunKey
    payload: str
    checkpoint: CheckpointToken
    ticket: str = ""


class Stop(msgspec.Struct, frozen=True):
    """A run that must not go on."""

    key: RunKey


class Pace(msgspec.Struct, frozen=True):
    """A run that has to work at a share of its speed."""

    key: RunKey
    percent: int


Order = Start | Stop | Pace


class StartState(Enum):
    """How far an order to start has come."""

    QUEUED = "queued"
    SETTLED = "settled"
