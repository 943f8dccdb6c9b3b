"""Bounds of the fields of messages between workers and controllers."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from rhubarbfield.types import AttemptId, CheckpointId, Epoch, TaskId

MAX_MESSAGE_BYTES = 256 * 1024
MAX_ID_LENGTH = 128
MAX_TEXT_LENGTH = 1024
MAX_ATTEMPTS = 1024
MAX_SERVICES = 64
MAX_CORES = 4096.0
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_ACCELERATORS = 1024
MAX_NUMBER = 2**53
MAX_LATENCY_MS = 3_600_000.0

ID = Meta(min_length=1, max_length=MAX_ID_LENGTH)
OPTIONAL_ID = Meta(max_length=MAX_ID_LENGTH)
TEXT = Meta(max_length=MAX_TEXT_LENGTH)
NUMBER = Meta(ge=0, le=MAX_NUMBER)
CORES = Meta(ge=0, le=MAX_CORES)
MEMORY = Meta(ge=0, le=MAX_MEMORY_MB)
ACCELERATORS = Meta(ge=0, le=MAX_ACCELERATORS)
FRACTION = Meta(ge=0, le=1)
ATTEMPTS = Meta(max_length=MAX_ATTEMPTS)
INSTANT = Meta(tz=True)

OnWireEpoch: TypeAlias = Annotated[Epoch, NUMBER]
OnWireAttempt: TypeAlias = Annotated[AttemptId, ID]
OnWireTask: TypeAlias = Annotated[TaskId, ID]
OnWireCheckpoint: TypeAlias = Annotated[CheckpointId, OPTIONAL_ID]


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """An amount of each resource that workers offer.

    Attributes
    ----------
    cores
        Processor cores; may be fractional.
    memory_mb
        Memory in MB.
    accelerators
        Number of accelerators.
    """

    cores: Annotated[float, CORES] = 0.0
    memory_mb: Annotated[int, MEMORY] = 0
    accelerators: Annotated[int, ACCELERATORS] = 0
