"""Replay of traces, with a check of each event's expected outcome.

A trace runs against a complete fleet in one process: the real controllers and
entries, with an in-memory network, simulated workers and backend servers, and
a virtual clock, so that an hour takes seconds.
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
from rhubarbfield.replay.player import EventResult, ReplayResult, play_trace

__all__ = [
    "replay_traces",
    "play_trace",
    "generate_trace",
    "load_trace",
    "parse_trace",
    "write_trace",
    "AnyEvent",
    "EventResult",
    "Trace",
    "TraceEvent",
    "TracedFleet",
    "TraceProblem",
    "ReplayResult",
]
