"""Replay of recorded traces against their stated outcomes.

A trace is played on a whole fleet in one process: the real controllers and
entries, with a network, workers and backend servers in memory and a virtual
clock, so that an hour takes seconds.
"""

from rhubarbfield.replay.command import replay_traces
from rhubarbfield.replay.events import (
    AnyEvent,
    Trace,
    TracedFleet,
    TraceEvent,
)
from rhubarbfield.replay.file import (
    TraceProblem,
    load_trace,
    parse_trace,
    write_trace,
)
from rhubarbfield.replay.generator import generate_trace
from rhubarbfield.replay.player import Played, Verdict, play_trace

__all__ = [
    "replay_traces",
    "play_trace",
    "generate_trace",
    "load_trace",
    "parse_trace",
    "write_trace",
    "AnyEvent",
    "Played",
    "Trace",
    "TraceEvent",
    "TracedFleet",
    "TraceProblem",
    "Verdict",
]
