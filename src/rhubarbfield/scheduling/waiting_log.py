"""Log of the waiting steps that a round could not place, and why."""

from __future__ import annotations

import heapq
import logging
import math
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.headroom import WaitingStep
from rhubarbfield.scheduling.placing import Placer

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

WAITING_LOG_INTERVAL = timedelta(seconds=1)
# Waiting steps logged at a time; the others are only counted.
MAX_URGENT_LOGGED = 15
MAX_OLDEST_LOGGED = 5


class WaitingLog:
    """Logs at intervals why waiting steps are not placed, the most urgent first.

    Parameters
    ----------
    backlog
        Ages of open jobs.
    clock
        Source of time.
    """

    def __init__(self, backlog: Backlog, clock: Clock) -> None:
        self._backlog = backlog
        self._clock = clock
        self._written_at = timedelta()

    def write(self, placer: Placer) -> None:
        """Log steps that a round left waiting, unless it was done just before."""
        now = self._clock.monotonic()
        if now - self._written_at < WAITING_LOG_INTERVAL:
            return
        steps = placer.list_unplaced()
        if not steps:
            return
        self._written_at = now
        for waiting in self._choose(steps):
            wait = placer.explain_wait(waiting)
            log_event(
                logger,
                logging.INFO,
                "step-waiting",
                job=waiting.job.job,
                step=waiting.number,
                reason=wait.reason.value,
                image=waiting.step.image,
                outlook=self._backlog.find_outlook(
                    waiting.job, waiting.queue
                ).name.lower(),
                millicores=waiting.step.reserved.millicores,
                cores=waiting.step.demand.millicores,
                age=self._backlog.find_age(waiting.job),
                started=waiting.job.started,
                runs=waiting.job.has_live_runs,
                reserved=round(wait.reserved, 2),
                fitting=wait.fitting,
                with_cores=wait.with_cores,
                expected=_round(wait.left.expected),
                least=_round(wait.left.least),
                waiting=len(steps),
            )

    def _choose(self, steps: list[WaitingStep]) -> list[WaitingStep]:
        """Return the most urgent steps, and of the others the longest waiting ones."""
        urgent, others = steps[:MAX_URGENT_LOGGED], steps[MAX_URGENT_LOGGED:]
        oldest = heapq.nlargest(
            MAX_OLDEST_LOGGED,
            others,
            key=lambda each: self._backlog.find_age(each.job),
        )
        return [*urgent, *oldest]


def _round(margin: float) -> float | None:
    """Return a margin in hundredths; None if there is none."""
    return None if math.isinf(margin) else round(margin, 2)
