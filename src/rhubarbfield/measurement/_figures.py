"""What one run of a placement strategy measured."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import ServiceName


class Figures(msgspec.Struct, frozen=True):
    """What one run measured.

    Attributes
    ----------
    p99_of_goal
        For each service, 99th percentile of tail latency over its goal.
    over_goal
        Fraction of latency samples above their goal.
    finished_an_hour, evictions_an_hour
        Batch tasks finished; attempts evicted, or stopped by a worker's guard.
    done, redone
        Work finished over work offered; work thrown away over work finished.
    overflows
        Times a worker's guard stopped work because memory was overfull.
    urgent_wait
        99th percentile in seconds from accepting urgent batch work to the start
        of its task, of those that started.
    score
        The deployment's own weighted measure; lower is better.
    """

    p99_of_goal: dict[ServiceName, float]
    over_goal: float
    finished_an_hour: float
    evictions_an_hour: float
    done: float
    redone: float
    overflows: int
    urgent_wait: float
    score: float
