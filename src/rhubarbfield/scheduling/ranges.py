"""Ranges of the numbers that callers, operators and workers send.

A number within its range can be stored, summed, multiplied and compared with any other
one without an error. The adapter applies them where it decodes a message. They are no
part of the replicated types, which must stay readable whatever was stored.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

# The log's encoding carries integers of 64 bits. Sums and products of such numbers
# (the demand of all tasks, the time at which an occurrence is due) are integers or
# floats without such a limit, and are not stored.
MAX_INTEGER = 2**63 - 1

Millicores = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Megabytes = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Of tasks, steps, accelerators, occurrences or messages.
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Durations in ms that are compared as numbers, or limited before they become one.
Milliseconds = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Readings of a worker's own clock, and durations by it, in ms. Leases and ages are
# added to them, and the longest valid duration is almost a hundred times this one.
MAX_WORKER_MS = 10**15
WorkerMilliseconds = Annotated[int, Meta(ge=-MAX_WORKER_MS, le=MAX_WORKER_MS)]
# Goals are a multiple of a job's critical path, of 256 steps of 30 days at most, and a
# time added to that. Three times such a goal is still a valid duration.
MAX_SLOWDOWN = 10_000
MAX_LATENCY_GOAL_MS = 10**15
Slowdown = Annotated[float, Meta(ge=0, le=MAX_SLOWDOWN)]
LatencyGoal = Annotated[int, Meta(ge=0, le=MAX_LATENCY_GOAL_MS)]
# Of a call, in ms; it is stored and not used.
Timeout = Annotated[int, Meta(gt=0, le=MAX_INTEGER)]
Priority = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# In ms since 1970; earlier times are negative.
TimeOfDay = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
