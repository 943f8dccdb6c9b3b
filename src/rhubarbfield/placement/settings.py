"""Settings of the placement policy and their predefined profiles."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec


class Profile(StrEnum):
    """Predefined weights and thresholds of a kind of deployment."""

    LENDING = "lending"
    CONSORTIUM = "consortium"


class Weights(msgspec.Struct, frozen=True):
    """Relative weights of conflicting goals.

    Attributes
    ----------
    tail_latency
        Cost if one service's tail latency grows by as much as its goal.
    throughput
        Cost of keeping batch work for one whole worker waiting.
    eviction
        Cost of redoing one hour of work of a task.
    """

    tail_latency: float = 1.0
    throughput: float = 1.0
    eviction: float = 1.0


class PlacementSettings(msgspec.Struct, frozen=True):
    """Settings and limits of the placement policy.

    Attributes
    ----------
    strategy
        Name of a registered strategy.
    weights
        Relative weights of conflicting goals.
    relieves_latency
        Whether batch work is throttled and evicted for a slow service.
    latency_ceiling
        No batch task is placed where predicted tail latency exceeds this multiple
        of its goal. The multiple grows with the time a job has waited.
    throttle_above, evict_above
        Ratios of smoothed tail latency to its goal above which batch work is
        throttled, and above which work that is throttled already is evicted.
    memory_throttle_above, memory_evict_above
        Fractions of a worker's memory in use above which batch work is throttled
        and evicted.
    unproven_per_worker
        Maximum number of attempts of unproven size per worker, unless more would
        fit even if they were ten times larger.
    candidates
        Number of workers compared for one task; one more is added for every four
        starts in the plan.
    max_starts, max_preemptions, max_drained
        Limits per plan: on starts, on evictions for urgent work, and on evictions
        from each draining worker.
    starvation_delay
        Waiting time after which a job that would fit an empty fleet holds back the
        jobs behind it. It does so for the same time, with pauses of the same
        length.
    """

    strategy: str = "harm-aware"
    weights: Weights = Weights()
    relieves_latency: bool = True
    latency_ceiling: float = 1.0
    throttle_above: float = 1.0
    evict_above: float = 1.5
    memory_throttle_above: float = 0.88
    memory_evict_above: float = 0.94
    unproven_per_worker: int = 2
    candidates: int = 16
    max_starts: int = 200
    max_preemptions: int = 8
    max_drained: int = 4
    starvation_delay: timedelta = timedelta(minutes=20)


def choose_settings(profile: Profile) -> PlacementSettings:
    """Return the settings for a profile.

    Parameters
    ----------
    profile
        ``LENDING`` puts tail latency first, ``CONSORTIUM`` batch throughput and
        few evictions.
    """
    if profile is Profile.LENDING:
        weights = Weights(tail_latency=4.0, throughput=1.0, eviction=0.5)
        return PlacementSettings(
            weights=weights, latency_ceiling=0.8, throttle_above=0.85
        )
    return PlacementSettings(
        weights=Weights(tail_latency=1.0, throughput=2.0, eviction=2.0),
        latency_ceiling=1.3,
        throttle_above=1.2,
        evict_above=3.0,
    )
