"""Long randomised runs of the whole fleet on a virtual clock.

``python -m tests.replay.longrun --seed 1 --seeds 5 --minutes 5`` plays random
load, commands and faults; the same seed gives the same run. Exits with 1 if
a promise was seen broken.
"""

from __future__ import annotations

import logging
import sys
import time
import traceback
from collections import Counter
from functools import partial

from absl import app, flags

from rhubarbfield.replay import Trace, Verdict, generate_trace, play_trace
from tests.replication.determinism import run_deterministic


def play_deterministic(trace: Trace) -> Verdict:
    """Play ``trace``; equal traces give equal verdicts."""
    logging.disable(logging.CRITICAL)
    try:
        return run_deterministic(partial(play_trace, trace), trace.fleet.seed)
    finally:
        logging.disable(logging.NOTSET)


def count_outcomes(verdict: Verdict) -> Counter[str]:
    """Count what came of each kind of event."""
    return Counter(
        f"{type(one.event).__name__} {one.seen}"
        for one in verdict.played
        if type(one.event).__name__ in {"Ask", "Command"}
    )


def play_seed(seed: int, minutes: float) -> bool:
    """Play one seed, print what came out, and return whether it held."""
    began = time.monotonic()
    try:
        verdict = play_deterministic(generate_trace(seed, minutes))
    except Exception:
        print(f"seed {seed}: the program stopped\n{traceback.format_exc()}")
        return False
    counted = ", ".join(
        f"{what}: {count}" for what, count in sorted(count_outcomes(verdict).items())
    )
    print(
        f"seed {seed}, {minutes:g} min, {time.monotonic() - began:.0f} s: {counted};"
        f" {len(verdict.violations)} violations",
        flush=True,
    )
    for violation in verdict.violations:
        print(f"  {violation}", flush=True)
    return verdict.holds


def main(_: list[str]) -> int:
    """Play the seeds that the flags name."""
    options = flags.FLAGS
    seeds = range(options.seed, options.seed + options.seeds)
    held = [play_seed(seed, options.minutes) for seed in seeds]
    return 0 if all(held) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "First seed.")
    flags.DEFINE_integer("seeds", 1, "How many seeds.", lower_bound=1)
    flags.DEFINE_float("minutes", 5.0, "Virtual minutes for each seed.")
    app.run(lambda argv: sys.exit(main(argv)))
