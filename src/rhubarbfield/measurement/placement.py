"""Harm-aware placing against first fit, random and harm-blind best fit.

``python -m rhubarbfield.measurement.placement`` replays the same arrivals,
waves and failures for each strategy and prints medians and spreads over seeds.
``--scaling`` prints processor time of plans and commands by size of the fleet.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

import msgspec
from absl import app, flags

from rhubarbfield.measurement._model import Deployment
from rhubarbfield.measurement._replay import Figures, Replay
from rhubarbfield.placement import Profile, choose_settings
from rhubarbfield.types import ServiceName

FLAGS = flags.FLAGS
COUNTER = ServiceName("counter")
COLOURS = ServiceName("colours")
CONSORTIUM = Deployment(
    name="consortium",
    workers=30,
    cores=32,
    memory_mb=125_000,
    per_rack=10,
    services={COUNTER: 30, COLOURS: 8},
    tail=0.2,
    throughput=0.45,
    eviction=0.35,
)
LENDING = Deployment(
    name="lending",
    workers=25,
    cores=64,
    memory_mb=250_000,
    per_rack=8,
    services={COUNTER: 25, COLOURS: 8},
    tail=0.6,
    throughput=0.2,
    eviction=0.2,
)
DEPLOYMENTS = {one.name: one for one in (CONSORTIUM, LENDING)}
STRATEGIES = ("harm-aware", "first-fit", "random", "harm-blind")
WITHOUT_RELIEF = ":no-relief"
COLUMNS: dict[str, Callable[[Figures], float]] = {
    "p99/goal counter": lambda figures: figures.p99_of_goal[COUNTER],
    "p99/goal colours": lambda figures: figures.p99_of_goal[COLOURS],
    "over goal %": lambda figures: 100 * figures.over_goal,
    "finished/h": lambda figures: figures.finished_an_hour,
    "done %": lambda figures: 100 * figures.done,
    "evictions/h": lambda figures: figures.evictions_an_hour,
    "redone %": lambda figures: 100 * figures.redone,
    "overflows": lambda figures: float(figures.overflows),
    "score": lambda figures: figures.score,
}


def define_flags() -> None:
    """Define the flags of this program."""
    flags.DEFINE_integer("seeds", 5, "Number of seeds.", lower_bound=1)
    flags.DEFINE_float("hours", 2.0, "Virtual hours of a run.", lower_bound=0.1)
    flags.DEFINE_list("deployments", list(DEPLOYMENTS), "Deployments to measure.")
    flags.DEFINE_list(
        "strategies",
        list(STRATEGIES),
        "Strategies to compare; the first one against the others. With :no-relief "
        "after its name a strategy only places.",
    )
    flags.DEFINE_bool("scaling", False, "Measure processor time by size instead.")


def run_strategy(
    deployment: Deployment, strategy: str, seeds: int, hours: float
) -> list[Figures]:
    """Return the figures of one strategy, one for each seed."""
    settings = choose_settings(Profile(deployment.name))
    name = strategy.removesuffix(WITHOUT_RELIEF)
    settings = msgspec.structs.replace(
        settings, strategy=name, relieves_latency=name == strategy
    )
    return [
        Replay(deployment, settings, seed).run(hours) for seed in range(1, seeds + 1)
    ]


def describe_spread(values: Sequence[float]) -> str:
    """Return the median, and the least and the most in brackets."""
    median = statistics.median(values)
    return f"{median:.3g} [{min(values):.3g}, {max(values):.3g}]"


def print_table(deployment: Deployment, measured: dict[str, list[Figures]]) -> None:
    """Print one row for each measure and one column for each strategy."""
    print(f"\n{deployment.name}: median [least, most]; score: lower is better")
    print("| measure | " + " | ".join(measured) + " |")
    print("|---|" + "---|" * len(measured))
    for title, read in COLUMNS.items():
        cells = [
            describe_spread([read(figures) for figures in runs])
            for runs in measured.values()
        ]
        print(f"| {title} | " + " | ".join(cells) + " |")
    first, *others = measured
    for other in others:
        pairs = zip(measured[first], measured[other], strict=True)
        won = sum(own.score < its.score for own, its in pairs)
        seeds = len(measured[other])
        print(f"{first} has the better score than {other} in {won} of {seeds} seeds")


def main(_: Sequence[str]) -> None:
    """Measure as the flags say."""
    if FLAGS.scaling:
        from rhubarbfield.measurement._scaling import print_scaling

        print_scaling()
        return
    for name in FLAGS.deployments:
        deployment = DEPLOYMENTS[name]
        measured = {
            strategy: run_strategy(deployment, strategy, FLAGS.seeds, FLAGS.hours)
            for strategy in FLAGS.strategies
        }
        print_table(deployment, measured)


if __name__ == "__main__":
    define_flags()
    app.run(main)
