"""How the tail latency of tasks that serve follows their load and neighbours.

The logarithm of a task's tail latency is taken as a level of its own, which
follows its load, plus a rate times a share for each image beside it: the share
of the worker's processors that the image uses. Rates belong to pairs of images,
levels to tasks. Rates are learned by recursive least squares from how tails
change when neighbours come and go, levels from what the rates leave.
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

ONLY_BAND = 0  # levels take the place of load bands
MAX_IMAGES = 24  # beside one image; the one seen least is forgotten
BASE_IMAGE = ImageName("")  # stands for the mean level of an image's tasks

# Of logarithms. Measured on played days of both deployments: after a task's own
# load is taken away, tails scatter by 0.11 to 0.17; load moves them by up to
# 0.17 a second; a third of the pairs have rates of 2 to 9, the others nearly 0.
NOISE_VARIANCE = 0.02
LEVEL_DRIFT = 0.05  # variance a second
FIRST_LEVEL_VARIANCE = 0.25
FIRST_RATE = 0.8
FIRST_RATE_VARIANCE = 6.0
MIN_RESTORED_VARIANCE = 0.1  # of a rate with many samples behind it
UPPER_BOUND_DEVIATIONS = 0.7  # standard deviations above what is believed of a rate
RATE_DRIFT = 0.004  # variance a sample; rates change over minutes
OUTLIER_DEVIATIONS = 3.0
MIN_SHARE = 0.003  # of the processors; less says nothing of an image
MIN_SHARE_CHANGE = 0.015  # of a share, between two samples that say something of it
LOAD_SLOPE = 0.12  # usual change of a level a second
MEASUREMENT_WINDOW_SECONDS = 0.5  # before a sample, over which workers measure
MAX_SAMPLES = 6  # of one task; views come each 150 ms at most
BASE_WEIGHT = 0.01  # of a sample in the mean level of an image
SLOPE_SMOOTHING_SECONDS = 1.5  # over which the slope of a level is smoothed
MAX_GAP_SECONDS = 2.0  # seconds between two samples that are compared


class Sample(msgspec.Struct, frozen=True):
    """One measurement of a task: the logarithm of its tail, and its neighbours."""

    at: timedelta
    log_latency: float
    shares: Mapping[ImageName, float]


class Level(msgspec.Struct):
    """What is known of the level of one task.

    Attributes
    ----------
    mean, variance
        Of the logarithm of its tail latency, in seconds, without neighbours.
    slope
        Its change a second.
    recent
        Its latest measurements, the oldest first.
    """

    mean: float
    variance: float
    slope: float = 0.0
    recent: list[Sample] = msgspec.field(default_factory=list)

    def update(self, log_latency: float, elapsed: float) -> None:
        """Move towards what was seen of the level after ``elapsed`` seconds."""
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
    """The rates of the images beside one serving image."""

    def __init__(self) -> None:
        self.means: dict[ImageName, float] = {}
        self.samples: dict[ImageName, int] = {}
        self.covariance: dict[ImageName, dict[ImageName, float]] = {}
        self.base: float | None = None
        self.spread = 0.0

    def set(self, image: ImageName, mean: float, variance: float, samples: int) -> None:
        """Start from what is believed of one image."""
        self.means[image] = mean
        self.samples[image] = samples
        self.covariance[image] = {image: variance}

    def ensure_estimates(self, images: Iterable[ImageName]) -> None:
        """Have an estimate for each image, and room for it."""
        for image in images:
            if image not in self.means:
                self.set(image, FIRST_RATE, FIRST_RATE_VARIANCE, 0)
        while len(self.means) > MAX_IMAGES:
            rare = min(self.means, key=lambda each: (self.samples[each], each))
            del self.means[rare], self.samples[rare], self.covariance[rare]
            for row in self.covariance.values():
                row.pop(rare, None)

    def update_base(self, level: float) -> None:
        """Let the mean level of the image and its spread follow a sample."""
        if self.base is None:
            self.base = level
        deviation = level - self.base
        self.base += BASE_WEIGHT * deviation
        self.spread += BASE_WEIGHT * (deviation * deviation - self.spread)

    def learn_from_change(self, earlier: Sample, later: Sample) -> None:
        """Learn from how a tail changed with its neighbours' shares.

        Load changes little between two samples, so that its level need not be
        known.
        """
        images = (earlier.shares.keys() | later.shares.keys()) & self.means.keys()
        change = {
            image: later.shares.get(image, 0.0) - earlier.shares.get(image, 0.0)
            for image in images
        }
        if not any(abs(x) > MIN_SHARE_CHANGE for x in change.values()):
            return
        leverage = {
            image: sum(row.get(other, 0.0) * x for other, x in change.items())
            for image, row in self.covariance.items()
        }
        elapsed = (later.at - earlier.at).total_seconds()
        spread = 2 * NOISE_VARIANCE + (LOAD_SLOPE * elapsed) ** 2
        spread += sum(leverage[image] * x for image, x in change.items())
        error = later.log_latency - earlier.log_latency - self.predict_growth(change)
        most = OUTLIER_DEVIATIONS * math.sqrt(spread)
        error = max(-most, min(most, error))
        touched = [(image, value) for image, value in leverage.items() if value]
        for image, value in touched:
            self.means[image] += value / spread * error
            row = self.covariance[image]
            for other, other_leverage in touched:
                row[other] = row.get(other, 0.0) - value * other_leverage / spread
        for image in change:
            self.covariance[image][image] += RATE_DRIFT
            self.samples[image] += 1

    def predict_growth(self, shares: Mapping[ImageName, float]) -> float:
        """Return the sum of rates times shares."""
        return sum(self.means.get(image, 0.0) * x for image, x in shares.items())


class TailLatencyModel:
    """Levels of tasks and rates of pairs of images, as learned."""

    def __init__(self) -> None:
        self._rates: dict[ImageName, InterferenceRates] = {}
        self._levels: dict[TaskName, Level] = {}
        self._changed: set[ImageName] = set()

    def learn(
        self,
        task: TaskName,
        image: ImageName,
        shares: Mapping[ImageName, float],
        tail_ms: float,
        now: timedelta,
    ) -> None:
        """Learn from one measurement of a task.

        Parameters
        ----------
        task, image
            The task and what it runs.
        shares
            Share of the worker's processors that each image beside it uses.
        tail_ms
            Its tail latency in ms; above zero.
        now
            The monotonic time.
        """
        log_latency = math.log(tail_ms / MS_PER_SECOND)
        rates = self._rates.setdefault(image, InterferenceRates())
        rates.ensure_estimates(other for other, x in shares.items() if x > MIN_SHARE)
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
        """Drop a task that is gone."""
        self._levels.pop(task, None)

    def find_level(self, task: TaskName) -> Level | None:
        """Return what is known of the level of a task."""
        return self._levels.get(task)

    def find_base(self, image: ImageName) -> tuple[float, float] | None:
        """Return the mean level of an image's tasks, and how far they spread."""
        rates = self._rates.get(image)
        if rates is None or rates.base is None:
            return None
        return rates.base, math.sqrt(rates.spread)

    def get_rate(self, serving: ImageName, image: ImageName) -> float:
        """Return the growth of log latency if ``image`` used the whole worker."""
        rates = self._rates.get(serving)
        mean = None if rates is None else rates.means.get(image)
        return FIRST_RATE if mean is None else max(0.0, mean)

    def get_rate_upper_bound(self, serving: ImageName, image: ImageName) -> float:
        """Return the same, higher the less is known."""
        rates = self._rates.get(serving)
        if rates is None or image not in rates.means:
            return FIRST_RATE + UPPER_BOUND_DEVIATIONS * math.sqrt(FIRST_RATE_VARIANCE)
        variance = max(rates.covariance[image][image], 0.0)
        return max(
            0.0, rates.means[image] + UPPER_BOUND_DEVIATIONS * math.sqrt(variance)
        )

    def restore(self, estimates: Iterable[HarmEstimate]) -> None:
        """Start from the estimates that an earlier leader has left."""
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
        """Return the estimates of images that were measured since the last time."""
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
    """Return the latest sample whose window does not overlap the present one."""
    for sample in reversed(recent):
        age = (now - sample.at).total_seconds()
        if age > MAX_GAP_SECONDS:
            return None
        if age >= MEASUREMENT_WINDOW_SECONDS:
            return sample
    return None
