"""Model of the harm that batch work does to the tail latency of co-located services.

The logarithm of a service's tail latency is modelled as a base plus, for each
kind of batch work, a rate times the share of the worker's processors that the
kind uses. Base and rates are learned for each load band of the service by
recursive least squares; a small drift variance lets them follow changes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from rhubarbfield.placement.state import BatchKind, HarmEstimate
from rhubarbfield.types import ServiceName

BANDS = 4
MAX_KINDS = 24  # per service and load band
BASE_KIND = BatchKind("")  # stands for the base in estimates
PRIOR_RATE = 0.5
PRIOR_VARIANCE = 2.0
PRIOR_BASE_VARIANCE = 4.0
RESTORED_VARIANCE = 0.05
ADJACENT_BAND_VARIANCE = 0.5  # of an estimate copied from another load band
SAMPLE_VARIANCE = 0.06
DRIFT_VARIANCE = 2e-5
OUTLIER_DEVIATIONS = 2.0
MIN_LATENCY_SECONDS = 1e-6


def find_band(load: float) -> int:
    """Return the load band of a load between 0 and 1."""
    return max(0, min(BANDS - 1, int(load * BANDS)))


class HarmKey(msgspec.Struct, frozen=True):
    """A service, a kind of co-located batch work, and the service's load band."""

    service: ServiceName
    kind: BatchKind
    band: int


class Regression:
    """Base and rates of one service in one load band, with their covariance."""

    def __init__(self) -> None:
        self.means: dict[BatchKind, float] = {}
        self.samples: dict[BatchKind, int] = {}
        self._covariance: dict[BatchKind, dict[BatchKind, float]] = {}

    def set(self, kind: BatchKind, mean: float, variance: float, samples: int) -> None:
        """Set the estimate of one kind, uncorrelated with the others."""
        self.means[kind] = mean
        self.samples[kind] = samples
        for row in self._covariance.values():
            row.pop(kind, None)
        self._covariance[kind] = {kind: variance}

    def drop_rarest_kind(self) -> None:
        """Drop the kind with the fewest samples if there are too many kinds."""
        if len(self.means) > MAX_KINDS:
            kinds = (kind for kind in self.means if kind != BASE_KIND)
            rarest = min(kinds, key=lambda kind: (self.samples[kind], kind))
            del self.means[rarest], self.samples[rarest], self._covariance[rarest]
            for row in self._covariance.values():
                row.pop(rarest, None)

    def learn(self, inputs: Mapping[BatchKind, float], observed: float) -> None:
        """Update the estimates from one sample.

        Parameters
        ----------
        inputs
            Share of each kind; 1 for the base.
        observed
            Observed value of the sum of rates times inputs.
        """
        leverage = {
            kind: sum(row.get(other, 0.0) * x for other, x in inputs.items())
            for kind, row in self._covariance.items()
        }
        variance = SAMPLE_VARIANCE
        error = observed
        for kind, x in inputs.items():
            variance += leverage[kind] * x
            error -= self.means[kind] * x
        # An outlier is more likely caused by the service itself than by co-located
        # tasks.
        max_error = OUTLIER_DEVIATIONS * math.sqrt(variance)
        error = max(-max_error, min(max_error, error))
        touched = [(kind, value) for kind, value in leverage.items() if value]
        for kind, value in touched:
            self.means[kind] += value / variance * error
            row = self._covariance[kind]
            for other, other_leverage in touched:
                row[other] = row.get(other, 0.0) - value * other_leverage / variance
        for kind in inputs:
            self._covariance[kind][kind] += DRIFT_VARIANCE
            self.samples[kind] += 1


class HarmModel:
    """Learned harm for each service, kind of batch work and load band."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, list[Regression]] = {}
        self._changed: dict[HarmKey, bool] = {}

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
            Share of the worker's processors used by each co-located kind of batch
            work at that time.
        latency_seconds
            Tail latency in seconds.
        """
        observed = math.log(max(latency_seconds, MIN_LATENCY_SECONDS))
        regression = self._find_bands(service)[band]
        inputs = {BASE_KIND: 1.0}
        inputs.update((kind, x) for kind, x in shares.items() if x > 0)
        for kind in inputs:
            if kind not in regression.means:
                self._add_kind(service, band, kind, observed)
        regression.learn(inputs, observed)
        regression.drop_rarest_kind()
        for kind in inputs:
            self._changed[HarmKey(service, kind, band)] = True

    def find_rate(self, service: ServiceName, kind: BatchKind, band: int) -> float:
        """Return the growth of log latency if ``kind`` used the whole worker."""
        mean = self._find_mean(service, band, kind)
        return PRIOR_RATE if mean is None else max(0.0, mean)

    def find_base(self, service: ServiceName, band: int) -> float | None:
        """Return the logarithm of tail latency without batch work, if known."""
        return self._find_mean(service, band, BASE_KIND)

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Start from the estimates that an earlier leader stored in the log."""
        for entry in estimates:
            self._find_bands(entry.service)[entry.band].set(
                entry.batch_kind, entry.rate, RESTORED_VARIANCE, entry.samples
            )

    def list_changed(self) -> list[HarmEstimate]:
        """Return the estimates sampled since :meth:`forget_changes`."""
        return [
            HarmEstimate(key.service, key.kind, key.band, mean, samples[key.kind])
            for key in self._changed
            for regression in (self._services[key.service][key.band],)
            for samples in (regression.samples,)
            for mean in (regression.means.get(key.kind),)
            if mean is not None
        ]

    def forget_changes(self) -> None:
        """Reset the set of changed estimates."""
        self._changed.clear()

    def _find_bands(self, service: ServiceName) -> list[Regression]:
        bands = self._services.get(service)
        if bands is None:
            bands = self._services[service] = [Regression() for _ in range(BANDS)]
        return bands

    def _add_kind(
        self, service: ServiceName, band: int, kind: BatchKind, observed: float
    ) -> None:
        regression = self._services[service][band]
        nearest = self._find_mean(service, band, kind)
        if nearest is not None:
            regression.set(kind, nearest, ADJACENT_BAND_VARIANCE, 0)
        elif kind == BASE_KIND:
            regression.set(kind, observed, PRIOR_BASE_VARIANCE, 0)
        else:
            regression.set(kind, PRIOR_RATE, PRIOR_VARIANCE, 0)

    def _find_mean(
        self, service: ServiceName, band: int, kind: BatchKind
    ) -> float | None:
        """Return the estimate for the load band or the nearest band that has one."""
        bands = self._services.get(service)
        if bands is None:
            return None
        mean = bands[band].means.get(kind)
        if mean is not None:
            return mean
        for distance in range(1, BANDS):
            for other in (band - distance, band + distance):
                if 0 <= other < BANDS and kind in bands[other].means:
                    return bands[other].means[kind]
        return None
