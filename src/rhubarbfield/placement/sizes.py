"""How large tasks really are, against how large they were declared."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import MAX_SIZES, EstimateKey, JobSpec, SizeEstimate
from rhubarbfield.types import JobId

PROVEN_SAMPLES = 10
MEMORY_RISE, MEMORY_FALL = 0.4, 0.004
PROCESSOR_RISE, PROCESSOR_FALL = 0.1, 0.02
FIRST_MARGIN, LAST_MARGIN = 0.4, 0.1
MAX_KEYS = 20_000
MIN_MILLICORES, MIN_MEMORY_MB = 50, 32


class CachedKey(msgspec.Struct, frozen=True):
    """A job's spec and the key made of it."""

    spec: JobSpec
    key: EstimateKey


class SizeModel:
    """Sizes learned from reports for each tenant and kind of work.

    Memory follows use quickly upwards and slowly downwards, which settles at
    a high quantile; processor use likewise, less steeply.
    """

    def __init__(self) -> None:
        self._sizes: dict[EstimateKey, SizeEstimate] = {}
        self._changed: dict[EstimateKey, bool] = {}
        self._keys: dict[JobId, CachedKey] = {}

    def find_key(self, spec: JobSpec) -> EstimateKey:
        """Return the key under which a job's sizes are learned."""
        known = self._keys.get(spec.job)
        if known is not None and known.spec is spec:
            return known.key
        if len(self._keys) >= MAX_KEYS:
            self._keys.clear()
        key = spec.estimate_key
        self._keys[spec.job] = CachedKey(spec, key)
        return key

    def learn(self, spec: JobSpec, millicores: float, memory_mb: float) -> None:
        """Learn from the reported use of one of a job's tasks."""
        key = self.find_key(spec)
        known = self._sizes.get(key)
        if known is None:
            known = SizeEstimate(key, millicores, memory_mb, 0)
        self._sizes.pop(key, None)
        self._sizes[key] = SizeEstimate(
            key,
            _track_quantile(
                known.millicores, millicores, PROCESSOR_RISE, PROCESSOR_FALL
            ),
            _track_quantile(known.memory_mb, memory_mb, MEMORY_RISE, MEMORY_FALL),
            known.samples + 1,
        )
        self._changed[key] = True
        if len(self._sizes) > MAX_SIZES:
            oldest = next(iter(self._sizes))
            del self._sizes[oldest]
            self._changed.pop(oldest, None)

    def is_proven(self, spec: JobSpec) -> bool:
        """Return whether enough reports stand behind a job's estimate."""
        known = self._sizes.get(self.find_key(spec))
        return known is not None and known.samples >= PROVEN_SAMPLES

    def estimate(self, spec: JobSpec) -> Resources:
        """Return what to commit to one task of a job.

        Starts at the declaration plus a margin and moves to what was seen as
        reports come in. Accelerators are always as declared.
        """
        bare = self.estimate_without_margin(spec)
        known = self._sizes.get(self.find_key(spec))
        weight = _weigh_samples(known) if known else 0.0
        margin = 1 + FIRST_MARGIN + weight * (LAST_MARGIN - FIRST_MARGIN)
        memory_mb = max(MIN_MEMORY_MB, round(bare.memory_mb * margin))
        return Resources(bare.millicores, memory_mb, bare.accelerators)

    def estimate_without_margin(self, spec: JobSpec) -> Resources:
        """Return the estimate without its margin."""
        declared = spec.declared
        known = self._sizes.get(self.find_key(spec))
        if known is None:
            return declared
        weight = _weigh_samples(known)
        millicores = weight * known.millicores + (1 - weight) * declared.millicores
        memory_mb = weight * known.memory_mb + (1 - weight) * declared.memory_mb
        return Resources(
            max(MIN_MILLICORES, round(millicores)),
            round(max(memory_mb, known.memory_mb)),
            declared.accelerators,
        )

    def estimate_within(
        self, spec: JobSpec, available: Resources, largest: Resources
    ) -> Resources:
        """Return the estimate with its margin cut.

        Parameters
        ----------
        spec
            The job.
        most
            What can be had now. A task that needs more without margin waits.
        largest
            What the largest known worker has, absent ones too. A task that was
            seen to need more is given all of it, and that worker alone.
        """
        size, bare = self.estimate(spec), self.estimate_without_margin(spec)
        least = min(bare.millicores, spec.declared.millicores)
        return Resources(
            max(least, min(size.millicores, available.millicores)),
            max(
                min(bare.memory_mb, largest.memory_mb),
                min(size.memory_mb, available.memory_mb),
            ),
            size.accelerators,
        )

    def restore(self, estimates: Iterable[SizeEstimate]) -> None:
        """Start from the estimates that an earlier leader left in the log."""
        for entry in estimates:
            self._sizes[entry.key] = entry

    def list_changed(self) -> list[SizeEstimate]:
        """Return the estimates that changed since :meth:`forget_changes`."""
        return [self._sizes[key] for key in self._changed]

    def forget_changes(self) -> None:
        """Count changes from here on."""
        self._changed.clear()


def _track_quantile(mean: float, observed: float, rise: float, fall: float) -> float:
    return mean + (rise if observed > mean else fall) * (observed - mean)


def _weigh_samples(known: SizeEstimate) -> float:
    """Return how far an estimate is believed over the declaration, from 0 to 1."""
    return known.samples / (known.samples + PROVEN_SAMPLES)
