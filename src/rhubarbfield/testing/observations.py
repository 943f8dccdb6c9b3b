"""Settings, misbehaviours and counts of the stand-in backend server."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec

from rhubarbfield.types import ServiceName


class Misbehaviour(StrEnum):
    """Ways in which the stand-in misbehaves."""

    NONE = "none"
    CUT_SHORT = "cut-short"
    HANG = "hang"
    REFUSE = "refuse"
    SILENT = "silent"
    ERROR = "error"
    SLOW = "slow"


class StandInSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Service, limits and answer times of the stand-in.

    Attributes
    ----------
    service
        Service that the stand-in serves.
    slots
        Requests that may run at the same time; more are refused.
    connections
        Connections that may be open at the same time; more are closed.
    mean_latency
        Mean time a request takes.
    spread
        Standard deviation of the logarithm of that time; 0 if it is fixed.
    longest_timeout
        Longest time that a request runs; a request that hangs runs this long.
    seed
        Seed of the random times.
    """

    service: ServiceName = ServiceName("board")
    slots: int = 8
    connections: int = 64
    mean_latency: timedelta = timedelta(milliseconds=20)
    spread: float = 0.5
    longest_timeout: timedelta = timedelta(seconds=30)
    seed: int = 0


class Observations(msgspec.Struct):
    """Counts of the stand-in.

    Attributes
    ----------
    running, most_running
        Requests in progress now, and their maximum.
    over_slots
        Requests that arrived while all slots were taken; must stay 0.
    connections, most_connections
        Connections open now, and their maximum.
    over_connections
        Connections closed because too many were open.
    stale_epochs
        Requests refused because a request of a newer owner had arrived.
    runs_by_request, runs_by_key
        How often each request, and each tenant's idempotency key, was run.
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
    """Body of ``POST /-/misbehave``."""

    misbehaviour: Misbehaviour
