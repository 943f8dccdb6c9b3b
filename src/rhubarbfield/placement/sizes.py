"""Estimates of the real size of tasks, in contrast to their declared size."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.state import MAX_SIZES, EstimateKey, JobSpec, SizeEstimate
from rhubarbfield.types import JobId

PROVEN_SAMPLES = 10
MEMORY_RISE, MEMORY_FALL = 0.4, 0.004  # fraction of the difference, per sample
PROCESSOR_RISE, PROCESSOR_FALL = 0.1, 0.02
FIRST_MARGIN, LAST_MARGIN = 0.4, 0.1  # fraction of memory with no and many samples
MAX_CACHED_KEYS = 20_000
MIN_MILLICORES, MIN_MEMORY_MB = 50, 32


class CachedKey(msgspec.Struct, frozen=True):
    """A job's spec and the estimate key derived from it."""

    spec: JobSpec
    key: EstimateKey


class SizeModel:
    """Task sizes learned from reports for each tenant and kind of work.

    The memory estimate rises quickly and falls slowly, so that it converges to a
    high quantile of use; the processor estimate does the same less strongly.
    """

    def __init__(self) -> None:
        self._sizes: dict[EstimateKey, SizeEstimate] = {}
        self._changed: dict[EstimateKey, bool] = {}
        self._keys: dict[JobId, CachedKey] = {}

    def find_key(self, spec: JobSpec) -> EstimateKey:
        """Return the key under which sizes of a job's tasks are learned."""
        known = self._keys.get(spec.job)
        if known is not None and known.spec is spec:
            return known.key
        if len(self._keys) >= MAX_CACHED_KEYS:
            self._keys.clear()
        key = spec.estimate_key
        self._keys[spec.job] = CachedKey(spec, key)
        return key

    def learn(self, spec: JobSpec, millicores: float, memory_mb: float) -> None:
        """Learn from the reported usage of one of a job's tasks."""
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
        """Return whether a job's estimate is based on enough reports."""
        known = self._sizes.get(self.find_key(spec))
        return known is not None and known.samples >= PROVEN_SAMPLES

    def estimate(self, spec: JobSpec) -> Resources:
        """Return the resources to commit to one task of a job.

        The estimate starts at the declared size plus a margin and moves to the
        observed size as reports arrive. Accelerators are always as declared.
        """
        unpadded = self.estimate_without_margin(spec)
        known = self._sizes.get(self.find_key(spec))
        weight = _weigh_samples(known) if known else 0.0
        margin = 1 + FIRST_MARGIN + weight * (LAST_MARGIN - FIRST_MARGIN)
        memory_mb = max(MIN_MEMORY_MB, round(unpadded.memory_mb * margin))
        return Resources(unpadded.millicores, memory_mb, unpadded.accelerators)

    def estimate_without_margin(self, spec: JobSpec) -> Resources:
        """Return the estimate without its memory margin."""
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
        """Return the estimate with its margin reduced so that it fits.

        Parameters
        ----------
        spec
            The job's spec.
        available
            Largest size that can be committed now. A task that needs more even
            without margin waits.
        largest
            Usable capacity of the largest known worker, including absent ones. A
            task that was observed to need more memory is committed all usable
            memory of that worker, and fits it only while it is empty.
        """
        size, unpadded = self.estimate(spec), self.estimate_without_margin(spec)
        least = min(unpadded.millicores, spec.declared.millicores)
        return Resources(
            max(least, min(size.millicores, available.millicores)),
            max(
                min(unpadded.memory_mb, largest.memory_mb),
                min(size.memory_mb, available.memory_mb),
            ),
            size.accelerators,
        )

    def restore(self, estimates: Iterable[SizeEstimate]) -> None:
        """Start from the estimates that an earlier leader stored in the log."""
        for entry in estimates:
            self._sizes[entry.key] = entry

    def list_changed(self) -> list[SizeEstimate]:
        """Return the estimates that changed since :meth:`forget_changes`."""
        return [self._sizes[key] for key in self._changed]

    def forget_changes(self) -> None:
        """Reset the set of changed estimates."""
        self._changed.clear()


def _track_quantile(old: float, observed: float, rise: float, fall: float) -> float:
    return old + (rise if observed > old else fall) * (observed - old)


def _weigh_samples(known: SizeEstimate) -> float:
    """Return the weight of observed size against declared size, from 0 to 1."""
    return known.samples / (known.samples + PROVEN_SAMPLES)
