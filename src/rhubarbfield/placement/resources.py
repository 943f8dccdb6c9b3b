"""Amounts of processor, memory and accelerators."""

from __future__ import annotations

import msgspec

MILLICORES_PER_CORE = 1000


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource of an instance.

    All amounts are integers, so that running sums stay exact over days.

    Attributes
    ----------
    millicores
        Processor time, in thousandths of a core.
    memory_mb
        Memory, in megabytes.
    accelerators
        Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, cores: float, memory_mb: int, accelerators: int = 0) -> Resources:
        """Return the amount for a possibly fractional number of cores."""
        millicores = round(cores * MILLICORES_PER_CORE)
        return cls(millicores, memory_mb, accelerators)

    def __add__(self, other: Resources) -> Resources:
        """Return the sum in every dimension."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference in every dimension; it may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def scale(self, factor: int) -> Resources:
        """Return ``factor`` times the amount."""
        return Resources(
            self.millicores * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
        )

    def divide(self, parts: int) -> Resources:
        """Return the amount divided by ``parts``, rounded down."""
        return Resources(
            self.millicores // parts,
            self.memory_mb // parts,
            self.accelerators // parts,
        )

    def reduce(self, other: Resources) -> Resources:
        """Return the smaller of both in every dimension."""
        return Resources(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def fits(self, limit: Resources) -> bool:
        """Return whether the amount is within ``limit`` in every dimension."""
        return (
            self.millicores <= limit.millicores
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

    def enlarge(self, other: Resources) -> Resources:
        """Return the larger of both in every dimension."""
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def dominant_share(self, whole: Resources) -> float:
        """Return the largest fraction of ``whole`` over all dimensions."""
        return max(
            self.millicores / max(1, whole.millicores),
            self.memory_mb / max(1, whole.memory_mb),
            self.accelerators / max(1, whole.accelerators),
        )

    def describe(self) -> str:
        """Return the amount as human-readable text."""
        cores = self.millicores / MILLICORES_PER_CORE
        text = f"{cores:g} cores, {self.memory_mb} MB"
        return (
            f"{text}, {self.accelerators} accelerators" if self.accelerators else text
        )
