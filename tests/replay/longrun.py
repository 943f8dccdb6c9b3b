"""Long randomised runs of a complete fleet on a virtual clock.

``python -m tests.replay.longrun --seed 1 --seeds 5 --minutes 5`` replays random
requests, commands and faults; the same seed gives the same run. The exit code
is 1 if a guarantee was violated or the program stopped.
"""

from __future__ import annotations

import logging
import sys
import time
import traceback
from collections import Counter
from functools import partial

from absl import app, flags

from rhubarbfield.replay import ReplayResult, Trace, generate_trace, play_trace
from tests.replication.determinism import run_deterministic


def replay_deterministically(trace: Trace) -> ReplayResult:
    """Replay ``trace``; equal traces give equal results."""
    logging.disable(logging.CRITICAL)
    try:
        return run_deterministic(partial(play_trace, trace), trace.fleet.seed)
    finally:
        logging.disable(logging.NOTSET)


def count_outcomes(result: ReplayResult) -> Counter[str]:
    """Return the number of requests and commands by outcome."""
    return Counter(
        f"{type(one.event).__name__} {one.outcome}"
        for one in result.event_results
        if type(one.event).__name__ in {"Ask", "Command"}
    )


def replay_seed(seed: int, minutes: float) -> bool:
    """Replay one seed, print its outcomes, and return whether it passed."""
    started_at = time.monotonic()
    try:
        result = replay_deterministically(generate_trace(seed, minutes))
    except Exception:
        print(f"seed {seed}: the program stopped\n{traceback.format_exc()}")
        return False
    counted = ", ".join(
        f"{outcome}: {count}"
        for outcome, count in sorted(count_outcomes(result).items())
    )
    print(
        f"seed {seed}, {minutes:g} min, {time.monotonic() - started_at:.0f} s:"
        f" {counted}; {len(result.violations)} violations",
        flush=True,
    )
    for violation in result.violations:
        print(f"  {violation}", flush=True)
    return result.passed


def main(_: list[str]) -> int:
    """Replay the seeds given by the flags."""
    options = flags.FLAGS
    seeds = range(options.seed, options.seed + options.seeds)
    passed = [replay_seed(seed, options.minutes) for seed in seeds]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "First seed.")
    flags.DEFINE_integer("seeds", 1, "How many seeds.", lower_bound=1)
    flags.DEFINE_float("minutes", 5.0, "Virtual minutes for each seed.")
    app.run(lambda argv: sys.exit(main(argv)))
