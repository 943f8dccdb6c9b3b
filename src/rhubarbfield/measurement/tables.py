"""How figures of several runs are printed."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def format_spread(values: Sequence[float], digits: int = 1) -> str:
    """Return the median of ``values`` with their range.

    Parameters
    ----------
    digits
        Behind the decimal point.
    """
    median, least, most = statistics.median(values), min(values), max(values)
    return f"{median:7.{digits}f} ({least:.{digits}f}-{most:.{digits}f})"
