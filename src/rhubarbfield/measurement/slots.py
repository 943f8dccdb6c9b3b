"""Tail latency with one owner per backend server and with split slots.

``python -m rhubarbfield.measurement.slots`` runs a fleet of entries with the
program's routing on a virtual clock and prints a table. It compares three ways
to allocate slots:

- ``owner``: one entry owns all slots of a backend server and forwards requests
  to other entries when its own slots are full;
- ``split``: each entry of a failure domain holds a part of the slots of each
  backend server there, and forwards nothing;
- ``split-hops``: as ``split``, but entries forward requests.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from absl import flags

from rhubarbfield.exceptions import UsageError
from rhubarbfield.measurement.commands import run_command
from rhubarbfield.measurement.fleet import (
    CallerDistribution,
    SlotAllocation,
    Trial,
    run_trial,
)
from rhubarbfield.measurement.tables import format_spread

PERCENT = 100
QUANTILES = (0.5, 0.99, 0.999)


def format_row(trials: Sequence[Trial]) -> str:
    """Run trials that differ only in their seed and return their table row."""
    runs = [run_trial(each) for each in trials]
    first = trials[0]
    cells = [
        f"{first.callers:7} {first.load * PERCENT:4.0f} {first.allocation:11}",
        *(
            format_spread([run.quantile(fraction) for run in runs])
            for fraction in QUANTILES
        ),
    ]
    answered = sum(len(run.latencies) for run in runs)
    refused = sum(run.refused for run in runs)
    forwarded = sum(run.forwarded for run in runs)
    bounced = sum(run.bounced for run in runs)
    total = answered + refused
    cells.append(f"{PERCENT * refused / total:6.2f}")
    cells.append(f"{PERCENT * forwarded / total:6.1f}")
    cells.append(f"{PERCENT * bounced / total:6.1f}")
    return " | ".join(cells)


def main(argv: Sequence[str]) -> int:
    """Print the table for the flags in ``argv`` and return the exit code.

    Raises
    ------
    UsageError
        If a flag is unknown or has a wrong value.
    """
    values = flags.FlagValues()
    flags.DEFINE_integer("seeds", 5, "Runs of each row.", 1, flag_values=values)
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=values)
    flags.DEFINE_float("seconds", 8, "Virtual time a run.", 1, flag_values=values)
    flags.DEFINE_multi_integer(
        "load", [50, 80, 95], "Load in percent.", 1, flag_values=values
    )
    flags.DEFINE_multi_enum_class(
        "callers",
        list(CallerDistribution),
        CallerDistribution,
        "Their spread.",
        flag_values=values,
    )
    flags.DEFINE_multi_enum_class(
        "way",
        list(SlotAllocation),
        SlotAllocation,
        "How slots are given.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "hint_ms", 50, "Time between words on room.", 1, flag_values=values
    )
    try:
        values(["slots", *argv])
    except flags.Error as error:
        raise UsageError(str(error)) from error
    columns = ("p50 ms", "p99 ms", "p99.9 ms", "refused %", "hops %", "bounced %")
    print(" | ".join(("callers load way        ", *columns)))
    for callers in values.callers:
        for load in values.load:
            for way in values.way:
                trials = [
                    Trial(
                        allocation=way,
                        callers=callers,
                        load=load / PERCENT,
                        seed=seed,
                        duration=timedelta(seconds=values.seconds),
                        hint_interval=timedelta(milliseconds=values.hint_ms),
                    )
                    for seed in range(values.seed, values.seed + values.seeds)
                ]
                print(format_row(trials), flush=True)
    return 0


if __name__ == "__main__":
    run_command(main)
