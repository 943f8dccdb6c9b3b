"""Replay of recorded traces, and measurements."""

from __future__ import annotations

from absl import flags

from rhubarbfield.cli.options import load_part
from rhubarbfield.cli.registry import Call, subcommand
from rhubarbfield.exceptions import UsageError


def _define_replay_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "record",
        None,
        "File to which to record the run as a trace.",
        flag_values=values,
    )


@subcommand(
    "replay",
    help="Replay a trace and print what differs from its stated outcomes.",
    usage="TRACE…",
    flags=_define_replay_flags,
)
def run_replay(call: Call) -> int:
    """Replay each trace; the exit code is 1 if anything differs."""
    if not call.arguments:
        raise UsageError("a trace is missing", "name the files to replay")
    replay_traces = load_part("replay", "replay_traces")
    return int(replay_traces(call.arguments, call.stdout, record=call.flags.record))


def _define_measure_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        "seeds", 3, "How many seeds to run.", lower_bound=1, flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=values)


@subcommand(
    "measure",
    help="Run a measurement and print its table; without a name, list them.",
    usage="[NAME]",
    flags=_define_measure_flags,
)
def run_measure(call: Call) -> int:
    """Run one measurement."""
    names = load_part("measures", "list_measures")()
    if not call.arguments:
        call.write("\n".join(names))
        return 0
    name = call.arguments[0]
    if name not in names:
        raise UsageError(
            f"there is no measurement {name!r}", f"there are: {', '.join(names)}"
        )
    seeds = range(call.flags.seed, call.flags.seed + call.flags.seeds)
    measure = load_part("measures", "run_measure")
    return int(measure(name, tuple(seeds), call.stdout))
