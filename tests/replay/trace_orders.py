"""Replays of the shipped traces with other orders of tasks.

``python -m tests.replay.trace_orders --seeds 20`` replays each trace with that many
orders, and prints what differs from its expected outcomes. ``--trace NAME`` replays
one; the same seed gives the same replay.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence
from functools import partial

import msgspec
from absl import app, flags

from rhubarbfield.replay import load_trace, play_trace
from tests.replay.test_traces import FILES
from tests.replication.determinism import run_deterministic

FLAGS = flags.FLAGS


def main(_: Sequence[str]) -> None:
    """Replay the traces that the flags choose."""
    logging.disable(logging.CRITICAL)
    files = [file for file in FILES if FLAGS.trace in ("", file.stem)]
    failed = 0
    for file in files:
        trace = load_trace(file).unwrap()
        for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
            result = run_deterministic(partial(play_trace, trace), seed)
            failed += not result.passed
            for each in result.differences:
                event = msgspec.json.encode(each.event).decode()
                print(f"{file.stem}, seed {seed}: {event} came out as {each.outcome}")
            for violation in result.violations:
                print(f"{file.stem}, seed {seed}: {violation}")
        print(f"{file.stem}: {FLAGS.seeds} orders", flush=True)
    print(f"{len(files) * FLAGS.seeds} replays, {failed} not as stated")
    sys.exit(1 if failed or not files else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 20, "Number of orders for each trace.")
    flags.DEFINE_integer("first", 1, "Seed of the first order.")
    flags.DEFINE_string("trace", "", "Name of the only trace to replay.")
    app.run(main)
