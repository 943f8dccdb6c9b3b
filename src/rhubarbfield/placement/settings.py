"""Settings of the placement policy and the weights of each deployment."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import msgspec


class Profile(StrEnum):
    """Ready-made weights."""

    LENDING = "lending"
    CONSORTIUM = "consortium"


class Weights(msgspec.Struct, frozen=True):
    """What counts how much when goals clash.

    Attributes
    ----------
    tail_latency
        Cost of letting one service's tail latency grow by its goal.
    throughput
        Cost of keeping a whole worker's worth of batch work waiting.
    eviction
        Cost of redoing the work of one task for an hour.
    """

    tail_latency: float = 1.0
    throughput: float = 1.0
    eviction: float = 1.0


class PlacementSettings(msgspec.Struct, frozen=True):
    """What the policy may do, and how readily.

    Attributes
    ----------
    strategy
        Name of a registered strategy.
    relieves_latency
        Whether batch work is throttled and evicted for a slow service.
    latency_ceiling
        No batch task is placed where tail latency is predicted above this many
        times its goal. Grows with the time a job has waited.
    throttle_above, evict_above
        Smoothed tail latency over goal from which to throttle, and from which to
        evict what is throttled already.
    memory_throttle_above, memory_evict_above
        Fractions of a worker's memory in real use from which to act.
    unproven_per_worker
        Attempts of unproven size that one worker is given at once, unless it would
        hold more even if they were ten times larger.
    candidates
        Workers weighed for one task, and one more for every four starts in the plan.
    max_starts, max_preemptions, max_drained
        Bounds on what one plan does.
    starvation_patience
        Waiting time after which a job that would fit an empty fleet holds back
        those behind it, for as long again and again.
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
    """Return the settings of a deployment.

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
