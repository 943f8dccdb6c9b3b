"""Model of tail latency as a function of a task's load and co-located tasks.

The logarithm of a serving task's tail latency is modelled as the sum of a level,
which follows the task's own load, and for each co-located image a rate times the
share of the worker's processors that the image uses. A rate belongs to a pair of
images, a level to a task. Rates are learned by recursive least squares from the
changes of tail latency when co-located tasks start and end; levels are learned
from the residuals.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.placement.state import BatchKind, HarmEstimate
from rhubarbfield.scheduling.model import ImageName, TaskName
from rhubarbfield.types import ServiceName

ONLY_BAND = 0  # HarmEstimate has load bands; this model uses levels instead
MAX_IMAGES = 24  # co-located images per image; the least sampled is dropped
BASE_IMAGE = ImageName("")  # key under which the mean level of an image is saved

# In units of log latency. Simulated days of both deployments showed: with the
# task's own load removed, tail latency has a standard deviation of 0.11 to 0.17;
# load changes it by up to 0.17 per second; a third of the pairs of images have
# rates of 2 to 9, the others nearly 0.
NOISE_VARIANCE = 0.02
LEVEL_DRIFT = 0.05  # variance per second
FIRST_LEVEL_VARIANCE = 0.25
FIRST_RATE = 0.8
FIRST_RATE_VARIANCE = 6.0
MIN_RESTORED_VARIANCE = 0.1  # variance of a restored rate with many samples
UPPER_BOUND_DEVIATIONS = 0.7  # standard deviations above the mean of a rate
FIRST_UPPER_BOUND = FIRST_RATE + UPPER_BOUND_DEVIATIONS * math.sqrt(FIRST_RATE_VARIANCE)
RATE_DRIFT = 0.004  # variance per sample; rates change over minutes
OUTLIER_DEVIATIONS = 3.0
NEGLIGIBLE_CORRELATION = 0.03  # of the largest covariance with the observed change
MIN_SHARE = 0.003  # share of the processors; smaller ones have no measurable effect
MIN_SHARE_CHANGE = 0.015  # smaller changes between two samples are ignored
LOAD_SLOPE = 0.12  # usual change of a level per second
MEASUREMENT_WINDOW_SECONDS = 0.5  # time over which workers measure a sample
MAX_SAMPLES = 6  # samples kept per task; views are at least 150 ms apart
BASE_WEIGHT = 0.01  # weight of a sample in the mean level of its image
SLOPE_SMOOTHING_SECONDS = 1.5  # time constant of the slope of a level
MAX_GAP_SECONDS = 2.0  # samples that are further apart are not compared


class Sample(msgspec.Struct, frozen=True):
    """One measurement of a task.

    Attributes
    ----------
    at
        Monotonic time of the measurement.
    log_latency
        Logarithm of the tail latency in seconds.
    shares
        Share of the worker's processors that each co-located image uses.
    """

    at: timedelta
    log_latency: float
    shares: Mapping[ImageName, float]


class Level(msgspec.Struct):
    """Estimate of the level of one task.

    Attributes
    ----------
    mean, variance
        Mean and variance of the logarithm of the task's tail latency, in
        seconds, without co-located tasks.
    slope
        Change of the mean per second.
    recent
        Latest measurements of the task, the oldest first.
    """

    mean: float
    variance: float
    slope: float = 0.0
    recent: list[Sample] = msgspec.field(default_factory=list)

    def update(self, log_latency: float, elapsed: float) -> None:
        """Apply an observation of the level, ``elapsed`` seconds after the last."""
        before = self.mean
        drifted = self.variance + LEVEL_DRIFT * elapsed
        gain = drifted / (drifted + NOISE_VARIANCE)
        self.mean += gain * (log_latency - self.mean)
        self.variance = (1 - gain) * drifted
        if not 0 < elapsed <= MAX_GAP_SECONDS:
            self.slope = 0.0
            return
        weight = 1 - math.exp(-elapsed / SLOPE_SMOOTHING_SECONDS)
        self.slope += weight * ((self.mean - before) / elapsed - self.slope)


class InterferenceRates:
    """Rates at which co-located images slow one serving image."""

    def __init__(self) -> None:
        self.means: dict[ImageName, float] = {}
        self.samples: dict[ImageName, int] = {}
        self.covariance: dict[ImageName, dict[ImageName, float]] = {}
        self.base: float | None = None
        self.base_variance = 0.0
        self._fewest_samples = 0  # no image has fewer; they only become more

    def set(self, image: ImageName, mean: float, variance: float, samples: int) -> None:
        """Set the estimate for one image, and its variance."""
        self.means[image] = mean
        self.samples[image] = samples
        self.covariance[image] = {image: variance}
        self._fewest_samples = 0

    def ensure_estimates(self, images: Iterable[ImageName]) -> None:
        """Add missing estimates, and drop the least sampled above ``MAX_IMAGES``."""
        if len(self.means) == MAX_IMAGES and self._fewest_samples > 0:
            return  # what is missing would be dropped at once
        for image in images:
            if image not in self.means:
                self.set(image, FIRST_RATE, FIRST_RATE_VARIANCE, 0)
        while len(self.means) > MAX_IMAGES:
            dropped = min(self.means, key=lambda each: (self.samples[each], each))
            del self.means[dropped], self.samples[dropped], self.covariance[dropped]
            for row in self.covariance.values():
                row.pop(dropped, None)
        if len(self.means) == MAX_IMAGES:
            self._fewest_samples = min(self.samples.values())

    def update_base(self, level: float) -> None:
        """Update the running mean and variance of the levels of the image's tasks."""
        if self.base is None:
            self.base = level
        deviation = level - self.base
        self.base += BASE_WEIGHT * deviation
        self.base_variance += BASE_WEIGHT * (deviation * deviation - self.base_variance)

    def learn_from_change(self, earlier: Sample, later: Sample) -> None:
        """Update the rates from two samples of one task.

        Load changes little between the samples, so the level of the task cancels
        out and need not be known.
        """
        change = self._find_change(earlier.shares, later.shares)
        if not change:
            return
        leverage = dict.fromkeys(self.covariance, 0.0)
        for other, x in change.items():
            # A row has the covariances of its image with the others in both orders.
            for image, value in self.covariance[other].items():
                leverage[image] += value * x
        elapsed = (later.at - earlier.at).total_seconds()
        error_variance = 2 * NOISE_VARIANCE + (LOAD_SLOPE * elapsed) ** 2
        error_variance += sum(leverage[image] * x for image, x in change.items())
        error = later.log_latency - earlier.log_latency - self.predict_growth(change)
        limit = OUTLIER_DEVIATIONS * math.sqrt(error_variance)
        error = max(-limit, min(limit, error))
        # With many images nearly all are a little correlated; an update of each pair
        # of them would cost more than all the rest.
        largest = max(abs(value) for value in leverage.values())
        correlated = [
            (image, value)
            for image, value in leverage.items()
            if abs(value) > largest * NEGLIGIBLE_CORRELATION
        ]
        for image, value in correlated:
            self.means[image] += value / error_variance * error
            row = self.covariance[image]
            for other, other_leverage in correlated:
                row[other] = (
                    row.get(other, 0.0) - value * other_leverage / error_variance
                )
        for image in change:
            self.covariance[image][image] += RATE_DRIFT
            self.samples[image] += 1

    def _find_change(
        self, earlier: Mapping[ImageName, float], later: Mapping[ImageName, float]
    ) -> dict[ImageName, float]:
        """Return by how much shares have changed; nothing if all changes are small."""
        change: dict[ImageName, float] = {}
        largest = 0.0
        for image in earlier.keys() | later.keys():
            if image in self.means:
                x = change[image] = later.get(image, 0.0) - earlier.get(image, 0.0)
                largest = max(largest, abs(x))
        return change if largest > MIN_SHARE_CHANGE else {}

    def compute_upper_bounds(self) -> dict[ImageName, float]:
        """Return an upper bound of the rate of each image."""
        bounds = {}
        for image, mean in self.means.items():
            variance = max(self.covariance[image][image], 0.0)
            bounds[image] = max(
                0.0, mean + UPPER_BOUND_DEVIATIONS * math.sqrt(variance)
            )
        return bounds

    def predict_growth(self, shares: Mapping[ImageName, float]) -> float:
        """Return the growth of log latency that ``shares`` cause."""
        return sum(self.means.get(image, 0.0) * x for image, x in shares.items())


class TailLatencyModel:
    """Levels of tasks, and rates of pairs of images."""

    def __init__(self) -> None:
        self._rates: dict[ImageName, InterferenceRates] = {}
        self._levels: dict[TaskName, Level] = {}
        self._changed: set[ImageName] = set()
        # By serving image and co-located image; dropped when rates are learned.
        self._upper_bounds: dict[ImageName, dict[ImageName, float]] = {}

    def learn(
        self,
        task: TaskName,
        image: ImageName,
        shares: Mapping[ImageName, float],
        tail_ms: float,
        now: timedelta,
    ) -> None:
        """Update the model from one measurement of a task.

        Parameters
        ----------
        task, image
            The task, and the image it runs.
        shares
            Share of the worker's processors that each co-located image uses.
        tail_ms
            Tail latency of the task in ms; above zero.
        now
            Monotonic time of the measurement.
        """
        log_latency = math.log(tail_ms / MS_PER_SECOND)
        self._upper_bounds.pop(image, None)
        rates = self._rates.get(image)
        if rates is None:
            rates = self._rates[image] = InterferenceRates()
        rates.ensure_estimates([name for name, x in shares.items() if x > MIN_SHARE])
        level = self._levels.get(task)
        if level is None:
            first = log_latency - rates.predict_growth(shares)
            level = self._levels[task] = Level(first, FIRST_LEVEL_VARIANCE)
        sample = Sample(now, log_latency, dict(shares))
        earlier = _find_previous_sample(level.recent, now)
        if earlier is not None:
            rates.learn_from_change(earlier, sample)
        elapsed = (now - level.recent[-1].at).total_seconds() if level.recent else 0.0
        level.update(log_latency - rates.predict_growth(shares), elapsed)
        level.recent = [*level.recent[1 - MAX_SAMPLES :], sample]
        rates.update_base(level.mean)
        self._changed.add(image)

    def forget(self, task: TaskName) -> None:
        """Drop the level of a task that no longer serves."""
        self._levels.pop(task, None)

    def find_level(self, task: TaskName) -> Level | None:
        """Return the level of a task, or None if it was never measured."""
        return self._levels.get(task)

    def find_base(self, image: ImageName) -> tuple[float, float] | None:
        """Return mean and standard deviation of the levels of an image's tasks."""
        rates = self._rates.get(image)
        if rates is None or rates.base is None:
            return None
        return rates.base, math.sqrt(rates.base_variance)

    def get_rate(self, serving: ImageName, image: ImageName) -> float:
        """Return the growth of log latency if ``image`` used the whole worker."""
        rates = self._rates.get(serving)
        mean = None if rates is None else rates.means.get(image)
        return FIRST_RATE if mean is None else max(0.0, mean)

    def get_rate_upper_bound(self, serving: ImageName, image: ImageName) -> float:
        """Return an upper bound of the rate; it falls as samples are added."""
        return self.get_rate_upper_bounds(serving).get(image, FIRST_UPPER_BOUND)

    def get_rate_upper_bounds(self, serving: ImageName) -> Mapping[ImageName, float]:
        """Return the upper bounds of all rates that are not ``FIRST_UPPER_BOUND``."""
        bounds = self._upper_bounds.get(serving)
        if bounds is None:
            rates = self._rates.get(serving)
            bounds = {} if rates is None else rates.compute_upper_bounds()
            self._upper_bounds[serving] = bounds
        return bounds

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Restore the estimates that an earlier leader saved."""
        self._upper_bounds.clear()
        for entry in estimates:
            rates = self._rates.setdefault(
                ImageName(entry.service), InterferenceRates()
            )
            image = ImageName(entry.batch_kind)
            if image == BASE_IMAGE:
                rates.base = entry.rate
            else:
                variance = FIRST_RATE_VARIANCE / (1 + entry.samples)
                variance = max(variance, MIN_RESTORED_VARIANCE)
                rates.set(image, entry.rate, variance, entry.samples)

    def take_changes(self) -> tuple[HarmEstimate, ...]:
        """Return the estimates of images that were measured since the last call."""
        changed, self._changed = self._changed, set()
        return tuple(
            HarmEstimate(
                ServiceName(serving), BatchKind(image), ONLY_BAND, mean, samples
            )
            for serving in sorted(changed)
            for image, mean, samples in _list_estimates(self._rates[serving])
        )


def _list_estimates(rates: InterferenceRates) -> list[tuple[ImageName, float, int]]:
    found = [(each, mean, rates.samples[each]) for each, mean in rates.means.items()]
    if rates.base is not None:
        found.append((BASE_IMAGE, rates.base, 1))
    return found


def _find_previous_sample(recent: Sequence[Sample], now: timedelta) -> Sample | None:
    """Return the latest sample whose window does not overlap that of ``now``."""
    for sample in reversed(recent):
        age = (now - sample.at).total_seconds()
        if age > MAX_GAP_SECONDS:
            return None
        if age >= MEASUREMENT_WINDOW_SECONDS:
            return sample
    return None
