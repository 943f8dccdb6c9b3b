"""How long the stages of a start take, from the waiting step to the worker's answer.

A first start that is late tells nothing about its cause: rounds that are slow or
seldom, commits, or orders. Each is measured by itself.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from enum import Enum

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.metrics import START_STAGE_SECONDS

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

REPORT_INTERVAL = timedelta(seconds=10)
MAX_SAMPLES = 4096  # of one stage between two reports; later ones are only counted
MEDIAN = 0.5
HIGH_QUANTILE = 0.95


class StartStage(Enum):
    """Stages of a start.

    Attributes
    ----------
    FIRST
        From the acceptance of a job until its first run is recorded.
    PAUSE
        From the end of one placement round to the beginning of the next.
    ROUND
        A placement round that chose runs, without its commit.
    RECORD
        From the choice of a run until it is committed.
    ORDER
        From the commit of a run until its worker has answered the order.
    END
        From a reply that lists ends of runs until they are committed.
    """

    FIRST = "first"
    PAUSE = "pause"
    ROUND = "round"
    RECORD = "record"
    ORDER = "order"
    END = "end"


class _Samples(msgspec.Struct):
    """Durations of one stage since the last report."""

    durations: list[timedelta] = msgspec.field(default_factory=list)
    count: int = 0

    def add(self, duration: timedelta) -> None:
        self.count += 1
        if len(self.durations) < MAX_SAMPLES:
            self.durations.append(duration)

    def find_quantile(self, share: float) -> timedelta:
        ordered = sorted(self.durations)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class StageTimes:
    """Durations of the stages of starts, logged at intervals as ``start-stages``.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported_at = clock.monotonic()
        self._round_ended_at: timedelta | None = None
        self._samples = {stage: _Samples() for stage in StartStage}
        self._histograms = {
            stage: START_STAGE_SECONDS.labels(stage.value) for stage in StartStage
        }

    def record(self, stage: StartStage, duration: timedelta) -> None:
        """Record the duration of one stage of a start."""
        self._histograms[stage].observe(duration.total_seconds())
        self._samples[stage].add(duration)

    def record_round(
        self, began: timedelta, took: timedelta, *, has_starts: bool
    ) -> None:
        """Record a placement round and the pause before it, and report when due.

        Parameters
        ----------
        began
            Monotonic time at which it began.
        took
            Its duration.
        has_starts
            Whether it chose any run.
        """
        if self._round_ended_at is not None:
            self.record(StartStage.PAUSE, began - self._round_ended_at)
        self._round_ended_at = began + took
        if has_starts:
            self.record(StartStage.ROUND, took)
        self.report_when_due()

    def report_when_due(self) -> None:
        """Log the durations since the last report if that is old enough."""
        now = self._clock.monotonic()
        if now - self._reported_at < REPORT_INTERVAL:
            return
        self._reported_at = now
        for stage, samples in self._samples.items():
            if not samples.count:
                continue
            self._samples[stage] = _Samples()
            log_event(
                logger,
                logging.INFO,
                "start-stages",
                stage=stage.value,
                count=samples.count,
                median=samples.find_quantile(MEDIAN),
                high=samples.find_quantile(HIGH_QUANTILE),
            )
