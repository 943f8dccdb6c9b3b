"""Formatting of the results of several runs."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def format_spread(values: Sequence[float], digits: int = 1) -> str:
    """Return the median of ``values`` with their range.

    Parameters
    ----------
    values
        One value for each run.
    digits
        Number of digits after the decimal point.
    """
    median, least, most = statistics.median(values), min(values), max(values)
    return f"{median:7.{digits}f} ({least:.{digits}f}-{most:.{digits}f})"
