"""Results of one run of a placement strategy."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import ServiceName


class RunResult(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes
    ----------
    p99_goal_ratio
        99th percentile of the ratio of tail latency to its goal, by service.
    over_goal_fraction
        Fraction of latency samples above their goal.
    finished_per_hour, evictions_per_hour
        Batch tasks that finished, and attempts that were evicted or stopped by
        a worker's guard.
    done_fraction, redone_fraction
        Ratios of finished to offered work and of lost to finished work.
    memory_overflows
        Number of attempts that a worker's guard stopped because its memory was
        exceeded.
    urgent_wait_seconds
        99th percentile of the time from accepting urgent batch work to the
        start of its task, of the tasks that started.
    score
        Weighted score of the deployment; lower is better.
    """

    p99_goal_ratio: dict[ServiceName, float]
    over_goal_fraction: float
    finished_per_hour: float
    evictions_per_hour: float
    done_fraction: float
    redone_fraction: float
    memory_overflows: int
    urgent_wait_seconds: float
    score: float
