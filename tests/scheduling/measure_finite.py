"""Measurement of what becomes of finite jobs beside standing work.

``python -m tests.scheduling.measure_finite --seeds 3`` plays each kind of work at
several loads and prints what became of the jobs.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence

import msgspec
from absl import app, flags

from tests.scheduling.finite_overload import Disturbance, Kind, play

LOADS = (0.8, 1.0, 1.3, 2.0)


def main(_: Sequence[str]) -> None:
    """Print a line for each play."""
    logging.disable()
    for kind in map(Kind, flags.FLAGS.kinds):
        for disturbance in map(Disturbance, flags.FLAGS.disturbances):
            for load in map(float, flags.FLAGS.loads):
                for seed in range(1, flags.FLAGS.seeds + 1):
                    shares = play(seed, kind, load, disturbance)
                    figures = " ".join(
                        f"{name}={value:.2f}"
                        for name, value in msgspec.structs.asdict(shares).items()
                    )
                    line = f"{kind} {disturbance} {load} seed={seed} {figures}\n"
                    sys.stdout.write(line)
                    sys.stdout.flush()


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 3, "Number of seeds.")
    flags.DEFINE_list("kinds", list(Kind), "Kinds of work.")
    flags.DEFINE_list("disturbances", list(Disturbance), "Disturbances.")
    flags.DEFINE_list("loads", [str(load) for load in LOADS], "Loads.")
    app.run(main)
