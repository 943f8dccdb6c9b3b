"""Comparison of harm-aware placement with simpler placement strategies.

``python -m rhubarbfield.measurement.placement`` simulates the same arrivals,
waves and failures with harm-aware placement, first fit, random placement and
harm-blind best fit, and prints medians and ranges over seeds.
``--scaling`` prints the processor time of planning and of commands by fleet size.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

import msgspec
from absl import app, flags

from rhubarbfield.measurement._model import Deployment
from rhubarbfield.measurement._results import RunResult
from rhubarbfield.measurement._simulation import Simulation
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
    tail_weight=0.2,
    throughput_weight=0.45,
    eviction_weight=0.35,
)
LENDING = Deployment(
    name="lending",
    workers=25,
    cores=64,
    memory_mb=250_000,
    per_rack=8,
    services={COUNTER: 25, COLOURS: 8},
    tail_weight=0.6,
    throughput_weight=0.2,
    eviction_weight=0.2,
)
DEPLOYMENTS = {one.name: one for one in (CONSORTIUM, LENDING)}
STRATEGIES = ("harm-aware", "first-fit", "random", "harm-blind")
NO_RELIEF_SUFFIX = ":no-relief"
COLUMNS: dict[str, Callable[[RunResult], float]] = {
    "p99/goal counter": lambda result: result.p99_goal_ratio[COUNTER],
    "p99/goal colours": lambda result: result.p99_goal_ratio[COLOURS],
    "over goal %": lambda result: 100 * result.over_goal_fraction,
    "finished/h": lambda result: result.finished_per_hour,
    "done %": lambda result: 100 * result.done_fraction,
    "evictions/h": lambda result: result.evictions_per_hour,
    "redone %": lambda result: 100 * result.redone_fraction,
    "overflows": lambda result: float(result.memory_overflows),
    "urgent wait p99 s": lambda result: result.urgent_wait_seconds,
    "score": lambda result: result.score,
}


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_integer("seeds", 5, "Number of seeds.", lower_bound=1)
    flags.DEFINE_integer("first_seed", 101, "The first seed; the others follow.")
    flags.DEFINE_float("hours", 2.0, "Virtual hours of a run.", lower_bound=0.1)
    flags.DEFINE_list("deployments", list(DEPLOYMENTS), "Deployments to measure.")
    flags.DEFINE_list(
        "strategies",
        list(STRATEGIES),
        "Strategies to compare; the first one against the others. With :no-relief "
        "after its name a strategy only places.",
    )
    flags.register_validator(
        "deployments",
        lambda names: set(names) <= set(DEPLOYMENTS),
        message=f"allowed are {', '.join(DEPLOYMENTS)}",
    )
    flags.register_validator(
        "strategies",
        lambda names: {_strip_no_relief(name) for name in names} <= set(STRATEGIES),
        message=f"allowed are {', '.join(STRATEGIES)}, "
        f"each also with {NO_RELIEF_SUFFIX}",
    )
    flags.DEFINE_bool("scaling", False, "Measure processor time by size instead.")


def _strip_no_relief(strategy: str) -> str:
    return strategy.removesuffix(NO_RELIEF_SUFFIX)


def run_strategy(
    deployment: Deployment, strategy: str, seeds: Sequence[int], hours: float
) -> list[RunResult]:
    """Simulate a strategy and return the results for each seed."""
    settings = choose_settings(Profile(deployment.name))
    name = _strip_no_relief(strategy)
    settings = msgspec.structs.replace(
        settings, strategy=name, relieves_latency=name == strategy
    )
    return [Simulation(deployment, settings, seed).run(hours) for seed in seeds]


def describe_spread(values: Sequence[float]) -> str:
    """Return the median, followed by the minimum and maximum in brackets."""
    median = statistics.median(values)
    return f"{median:.3g} [{min(values):.3g}, {max(values):.3g}]"


def print_table(deployment: Deployment, measured: dict[str, list[RunResult]]) -> None:
    """Print one row for each measure and one column for each strategy."""
    print(f"\n{deployment.name}: median [least, most]; score: lower is better")
    print("| measure | " + " | ".join(measured) + " |")
    print("|---|" + "---|" * len(measured))
    for title, read in COLUMNS.items():
        cells = [
            describe_spread([read(result) for result in runs])
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
    """Run the measurement that the flags select."""
    if FLAGS.scaling:
        from rhubarbfield.measurement._scaling import print_scaling

        print_scaling()
        return
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    for name in FLAGS.deployments:
        deployment = DEPLOYMENTS[name]
        measured = {
            strategy: run_strategy(deployment, strategy, seeds, FLAGS.hours)
            for strategy in FLAGS.strategies
        }
        print_table(deployment, measured)


if __name__ == "__main__":
    define_flags()
    app.run(main)
