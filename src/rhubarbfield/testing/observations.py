"""What the stand-in backend server is, does and counts."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec

from rhubarbfield.types import ServiceName


class Misbehaviour(StrEnum):
    """How the stand-in acts."""

    NONE = "none"
    CUT_SHORT = "cut-short"
    HANG = "hang"
    REFUSE = "refuse"
    SILENT = "silent"
    ERROR = "error"
    SLOW = "slow"


class StandInSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the stand-in is.

    Attributes
    ----------
    mean_latency
        The mean time a request takes.
    spread
        The standard deviation of that time's logarithm; zero if it is fixed.
    longest_timeout
        When a request is given up.
    seed
        Of the random times.
    """

    service: ServiceName = ServiceName("board")
    slots: int = 8
    connections: int = 64
    mean_latency: timedelta = timedelta(milliseconds=20)
    spread: float = 0.5
    longest_timeout: timedelta = timedelta(seconds=30)
    seed: int = 0


class Observations(msgspec.Struct):
    """What the stand-in counted.

    Attributes
    ----------
    running, most_running
        Requests that run now, and the most at a time.
    over_slots
        Requests that found no slot free; none may.
    over_connections, connections, most_connections
        The same of connections.
    stale_epochs
        Requests refused because a newer owner was seen.
    runs_by_request, runs_by_key
        How often each request, and each tenant's key, was begun.
    """

    running: int = 0
    most_running: int = 0
    over_slots: int = 0
    connections: int = 0
    most_connections: int = 0
    over_connections: int = 0
    stale_epochs: int = 0
    runs_by_request: dict[str, int] = {}
    runs_by_key: dict[str, int] = {}


class MisbehaveOrder(msgspec.Struct, frozen=True):
    """The content of ``POST /-/misbehave``."""

    misbehaviour: Misbehaviour
