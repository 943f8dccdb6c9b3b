"""Strategies for choosing among the workers that can run a task."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import msgspec

from rhubarbfield.exceptions import UsageError
from rhubarbfield.placement.fleet import Fleet, PlacementRequest, PlannedWorker
from rhubarbfield.types import WorkKind

Scorer = Callable[[Fleet, PlannedWorker, PlacementRequest, Random], float]

FILL_COST = 0.05
INFEASIBLE = math.inf


class Strategy(msgspec.Struct, frozen=True):
    """A way to choose a worker for a task.

    Attributes
    ----------
    name
        Name in the settings.
    score
        Function that returns the cost of a worker; the worker with the lowest cost
        is chosen, and with infinite cost the task waits.
    harm_aware
        Whether the strategy considers harm; services are relieved of batch work
        only then.
    ordered
        Whether candidates are searched in order of joining rather than from a
        random start.
    """

    name: str
    score: Scorer
    harm_aware: bool = False
    ordered: bool = False


class StrategyTraits(NamedTuple):
    """Properties of a strategy, with the same meaning as in :class:`Strategy`."""

    harm_aware: bool = False
    ordered: bool = False


DEFAULT_TRAITS = StrategyTraits()

_strategies: dict[str, Strategy] = {}


def strategy(
    name: str, traits: StrategyTraits = DEFAULT_TRAITS
) -> Callable[[Scorer], Scorer]:
    """Register the decorated function as the strategy ``name``."""

    def register(scorer: Scorer) -> Scorer:
        _strategies[name] = Strategy(name, scorer, traits.harm_aware, traits.ordered)
        return scorer

    return register


def list_strategies() -> tuple[str, ...]:
    """Return the names of all strategies."""
    return tuple(_strategies)


def find_strategy(name: str) -> Strategy:
    """Return a strategy by name.

    Raises
    ------
    UsageError
        If there is no strategy of that name.
    """
    if name not in _strategies:
        known = ", ".join(_strategies)
        raise UsageError(f"there is no strategy {name!r}", f"Known are: {known}.")
    return _strategies[name]


@strategy("harm-aware", StrategyTraits(harm_aware=True))
def score_harm(
    fleet: Fleet, planned: PlannedWorker, request: PlacementRequest, _random: Random
) -> float:
    """Return a cost that weighs predicted harm to services against spreading load."""
    weights = fleet.settings.weights
    after = request.size - planned.headroom
    fill = 1 + after.millicores / max(1, planned.capacity.millicores)
    cost = weights.throughput * FILL_COST * fill
    if request.spec.kind is WorkKind.SERVICE:
        return cost + weights.tail_latency * fleet.predict_service_slowdown(
            planned, request
        )
    growth, worst = fleet.predict_harm(planned, request)
    if growth > 0 and worst > request.ceiling:
        return INFEASIBLE
    return cost + weights.tail_latency * growth


@strategy("first-fit", StrategyTraits(ordered=True))
def score_first(
    _fleet: Fleet, planned: PlannedWorker, _request: PlacementRequest, _random: Random
) -> float:
    """Return a cost that prefers the worker that joined first."""
    return float(planned.index)


@strategy("random")
def score_random(
    _fleet: Fleet, _planned: PlannedWorker, _request: PlacementRequest, rng: Random
) -> float:
    """Return a random cost."""
    return rng.random()


@strategy("harm-blind")
def score_best_fit(
    _fleet: Fleet, planned: PlannedWorker, request: PlacementRequest, _random: Random
) -> float:
    """Return a cost that prefers the worker with the least headroom left."""
    left = planned.headroom - request.size
    return left.dominant_share(planned.capacity)
