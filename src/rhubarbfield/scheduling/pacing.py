"""Pace of placement rounds, which look at all workers.

The load it answers: hundreds of workers, whose views and commits ask for a round
several hundred times a second. A job that was just accepted, or a step that can now
start, is placed at once; capacity that became free soon after; and a view, which only
moves the margins of serving tasks a little, with the next round of either kind or
after a tenth of a second.
"""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.machine import Command
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    EndRuns,
    OpenOccurrences,
    SaveHarm,
    StartRuns,
)
from rhubarbfield.scheduling.model import TaskName
from rhubarbfield.scheduling.state import RunEnd, SchedulingState


class Urgency(IntEnum):
    """How soon a round is wanted.

    Attributes
    ----------
    ROUTINE
        Measurements changed, or time has passed.
    NORMAL
        Capacity may have become free.
    URGENT
        Tasks wait that no round has seen.
    """

    ROUTINE = 0
    NORMAL = 1
    URGENT = 2


# Shortest time between two rounds, and the largest share of the loop's time that
# rounds take, as a multiple of the duration of the last one that is left to others.
MIN_INTERVALS = {
    Urgency.ROUTINE: timedelta(milliseconds=100),
    Urgency.NORMAL: timedelta(milliseconds=30),
    Urgency.URGENT: timedelta(milliseconds=10),
}
REST_FACTORS = {Urgency.ROUTINE: 4, Urgency.NORMAL: 2, Urgency.URGENT: 1}


class RoundPacer:
    """Decides when the next round begins.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wanted: Urgency | None = None
        self._raised = trio.Event()
        self._ended_at: timedelta | None = None
        self._took = timedelta()

    def request(self, urgency: Urgency) -> None:
        """Request a round; the most urgent of several requests counts."""
        if self._wanted is None or urgency > self._wanted:
            self._wanted = urgency
            self._raised.set()

    async def wait(self) -> None:
        """Wait until a round is due; requests from now on are for the next one."""
        while (rest := self._find_rest()) > timedelta():
            self._raised = trio.Event()
            with trio.move_on_after(rest.total_seconds()):
                await self._raised.wait()
        self._wanted = None

    def record_round(self, took: timedelta) -> None:
        """Record that a round has ended whose choice took this long."""
        self._ended_at = self._clock.monotonic()
        self._took = took

    def _find_rest(self) -> timedelta:
        if self._wanted is None:
            return timedelta.max
        if self._ended_at is None:
            return timedelta()
        interval = max(
            MIN_INTERVALS[self._wanted], self._took * REST_FACTORS[self._wanted]
        )
        return self._ended_at + interval - self._clock.monotonic()


def find_urgency(state: SchedulingState, command: Command) -> Urgency:
    """Return how soon a round is wanted after a command was applied to ``state``."""
    match command:
        case AcceptJob() | OpenOccurrences():
            return Urgency.URGENT
        case EndRuns(workers=workers):
            ends = (ended for report in workers for ended in report.ends)
            if any(
                ended.end is RunEnd.DONE and _has_completed_step(state, ended.task)
                for ended in ends
            ):
                return Urgency.URGENT
            return Urgency.NORMAL
        case StartRuns() | SaveHarm():
            return Urgency.ROUTINE
    return Urgency.NORMAL


def _has_completed_step(state: SchedulingState, task: TaskName) -> bool:
    """Return whether the step of a task is done, so that others may start."""
    found = state.find_task(task)
    if found is None:
        return False
    job, occurrence, step, _ = found
    return job.is_open and job.occurrences[occurrence][step].is_done
