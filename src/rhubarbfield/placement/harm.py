"""What batch work does to the tail latency of services beside it.

The logarithm of a service's tail latency is taken as a base plus, for each
kind of batch work, a rate times the share of the worker's processors that the
kind uses. Base and rates are learned for each load band of the service by a
Kalman filter with a diagonal covariance: one pass over the kinds a sample.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from rhubarbfield.placement.state import BatchKind, HarmEstimate
from rhubarbfield.types import ServiceName

BANDS = 4
BASE_KIND = BatchKind("")
PRIOR_RATE = 0.5
PRIOR_VARIANCE = 1.0
PRIOR_BASE_VARIANCE = 4.0
RESTORED_VARIANCE = 0.05
NEIGHBOUR_VARIANCE = 0.3
SAMPLE_VARIANCE = 0.06
DRIFT_VARIANCE = 2e-5


def find_band(load: float) -> int:
    """Return the load band of a load between 0 and 1."""
    return max(0, min(BANDS - 1, int(load * BANDS)))


class PairKey(msgspec.Struct, frozen=True):
    """A service, a kind of batch work beside it, and the service's load band."""

    service: ServiceName
    batch_kind: BatchKind
    band: int


class Belief(msgspec.Struct):
    """A learned number and the variance of its error."""

    mean: float
    variance: float
    samples: int = 0


class HarmModel:
    """Learned harm for each service, kind of batch work and load band."""

    def __init__(self) -> None:
        self._beliefs: dict[PairKey, Belief] = {}
        self._changed: dict[PairKey, bool] = {}

    def learn(
        self,
        service: ServiceName,
        band: int,
        shares: Mapping[BatchKind, float],
        latency_seconds: float,
    ) -> None:
        """Learn from one sample of tail latency.

        Parameters
        ----------
        service, band
            The service and its load band when the sample was taken.
        shares
            Share of the worker's processors used by each kind beside it then.
        latency_seconds
            The tail latency.
        """
        seen = math.log(max(latency_seconds, 1e-6))
        base_key = PairKey(service, BASE_KIND, band)
        if base_key not in self._beliefs:
            self._beliefs[base_key] = self._start_base(base_key, seen)
        terms = [(base_key, 1.0)]
        terms += [(PairKey(service, kind, band), x) for kind, x in shares.items() if x]
        error, spread = seen, SAMPLE_VARIANCE
        beliefs = [self._find(key) for key, _ in terms]
        for belief, (_, x) in zip(beliefs, terms, strict=True):
            error -= belief.mean * x
            spread += belief.variance * x * x
        for belief, (key, x) in zip(beliefs, terms, strict=True):
            gain = belief.variance * x / spread
            belief.mean += gain * error
            belief.variance = belief.variance * (1 - gain * x) + DRIFT_VARIANCE
            belief.samples += 1
            if key is not base_key:
                belief.mean = max(0.0, belief.mean)
            self._changed[key] = True

    def find_rate(self, service: ServiceName, kind: BatchKind, band: int) -> float:
        """Return growth of log latency if ``kind`` used the whole worker."""
        belief = self._beliefs.get(PairKey(service, kind, band))
        if belief is None:
            belief = self._find_neighbour(PairKey(service, kind, band))
        return belief.mean if belief else PRIOR_RATE

    def find_base(self, service: ServiceName, band: int) -> float | None:
        """Return the logarithm of undisturbed tail latency, if one is known."""
        key = PairKey(service, BASE_KIND, band)
        belief = self._beliefs.get(key) or self._find_neighbour(key)
        return belief.mean if belief else None

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Start from the estimates that an earlier leader left in the log."""
        for entry in estimates:
            key = PairKey(entry.service, entry.batch_kind, entry.band)
            self._beliefs[key] = Belief(entry.rate, RESTORED_VARIANCE, entry.samples)

    def list_changed(self) -> list[HarmEstimate]:
        """Return the estimates that changed since :meth:`forget_changes`."""
        return [self._describe(key) for key in self._changed]

    def forget_changes(self) -> None:
        """Count changes from here on."""
        self._changed.clear()

    def _describe(self, key: PairKey) -> HarmEstimate:
        belief = self._beliefs[key]
        return HarmEstimate(
            key.service, key.batch_kind, key.band, belief.mean, belief.samples
        )

    def _find(self, key: PairKey) -> Belief:
        belief = self._beliefs.get(key)
        if belief is None:
            near = self._find_neighbour(key)
            if near is None:
                belief = Belief(PRIOR_RATE, PRIOR_VARIANCE)
            else:
                belief = Belief(near.mean, near.variance + NEIGHBOUR_VARIANCE)
            self._beliefs[key] = belief
        return belief

    def _start_base(self, key: PairKey, seen: float) -> Belief:
        near = self._find_neighbour(key)
        if near is None:
            return Belief(seen, PRIOR_BASE_VARIANCE)
        return Belief(near.mean, near.variance + NEIGHBOUR_VARIANCE)

    def _find_neighbour(self, key: PairKey) -> Belief | None:
        """Return what is believed for the nearest load band."""
        for distance in range(1, BANDS):
            for band in (key.band - distance, key.band + distance):
                near = self._beliefs.get(PairKey(key.service, key.batch_kind, band))
                if near is not None:
                    return near
        return None
