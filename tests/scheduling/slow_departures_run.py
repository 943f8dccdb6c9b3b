"""Random days on which workers leave beside stopped controllers and slow replies.

``python -m tests.scheduling.slow_departures_run --seeds 50`` plays them. They are those
of :mod:`tests.scheduling.departures_run`, with replies to views that are under way for
so long that a stopped controller, which relays them, often loses one.
"""

from __future__ import annotations

from functools import partial

from tests.scheduling import late_days
from tests.scheduling.departures_run import DeparturesDay
from tests.scheduling.late_days import RandomDay


class SlowDeparturesDay(DeparturesDay):
    """A day on which relays that stop lose replies, beside workers that leave."""

    kinds = ("leave", "stop and leave", "stop and leave")
    reply_seconds = (0.05, 0.4)


def play_day(
    seed: int, *, has_single_lease: bool = False, is_wide: bool = False
) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(
        SlowDeparturesDay, seed, has_single_lease=has_single_lease, is_wide=is_wide
    )
    return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day)
