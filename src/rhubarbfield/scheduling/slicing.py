"""Division of a placement round into slices that hold the event loop briefly."""

from __future__ import annotations

from datetime import timedelta

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.placing import Placer

# A fraction of the leader's lease, as an acknowledgement needs several turns.
MAX_SLICE = timedelta(milliseconds=20)


async def choose_starts(placer: Placer, clock: Clock) -> tuple[RunStart, ...]:
    """Return the runs to start; other tasks run after each ``MAX_SLICE``.

    The state may change in between: a start that is no longer possible is left
    out when it is recorded.
    """
    slice_ends = clock.monotonic() + MAX_SLICE
    for _ in placer.iterate_steps():
        if clock.monotonic() >= slice_ends:
            await trio.lowlevel.checkpoint()
            slice_ends = clock.monotonic() + MAX_SLICE
    return placer.starts
