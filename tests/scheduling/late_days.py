"""Command line and play of the random days on which orders are carried out late."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

from absl import app, flags, logging

from tests.replication.determinism import run_deterministic
from tests.scheduling.inputs import Inputs, format_table
from tests.scheduling.lost_state_signs import collect_signs


class RandomDay(Protocol):
    """One day and what was seen to go wrong on it."""

    faults: list[str]
    counts: Counter[str]
    drawn: Inputs | None

    async def play(self) -> None:
        """Play the day."""


def play_day(make_day: Callable[[], RandomDay], seed: int) -> RandomDay:
    """Play the day of a seed and return it."""
    days: list[RandomDay] = []

    async def play() -> None:
        day = make_day()
        days.append(day)
        await day.play()

    with collect_signs() as signs:
        run_deterministic(play, seed=seed)
    days[0].faults.extend(signs)
    return days[0]


def run_days(play: Callable[..., RandomDay], *, has_wide_days: bool = False) -> None:
    """Play the days that the command line asks for.

    Parameters
    ----------
    play
        Plays the day of a seed, by the named reading of leases.
    has_wide_days
        Whether it plays wide days, too, and may be asked for narrow ones.
    """
    options = flags.FLAGS
    flags.DEFINE_integer("seeds", 50, "Number of days to play.")
    flags.DEFINE_integer("first", 1, "Seed of the first day.")
    flags.DEFINE_bool(
        "single_lease", False, "Whether a start is late by its worker's lease."
    )

    if has_wide_days:
        flags.DEFINE_bool("wide", True, "Whether all dimensions are drawn.")

    def main(_: Sequence[str]) -> None:
        """Play days and print those on which something went wrong."""
        logging.set_verbosity(logging.FATAL)
        failed = 0
        counts: Counter[str] = Counter()
        draws: Counter[tuple[str, str]] = Counter()
        choices = {"has_single_lease": options.single_lease}
        if has_wide_days:
            choices["is_wide"] = options.wide
        for seed in range(options.first, options.first + options.seeds):
            try:
                day = play(seed, **choices)
            except Exception as error:  # the next seeds still run
                failed += 1
                print(f"seed {seed}: {error!r}", flush=True)
                continue
            counts += day.counts
            if day.drawn is not None:
                draws += day.drawn.counts
            failed += bool(day.faults)
            if day.faults:
                print(f"seed {seed}: {'; '.join(day.faults[:3])}", flush=True)
        if draws:
            print(format_table(draws))
        print(f"{options.seeds} days, {failed} with faults; {dict(counts)}")
        sys.exit(1 if failed else 0)

    app.run(main)
