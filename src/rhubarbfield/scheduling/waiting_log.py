"""Log of the waiting steps that a round could not place, and why."""

from __future__ import annotations

import logging
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.placing import Placer

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

WAITING_LOG_INTERVAL = timedelta(seconds=1)
MAX_WAITING_LOGGED = 20  # waiting steps logged at a time; the others are only counted


class WaitingLog:
    """Logs at intervals why the most urgent waiting steps are not placed.

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
        for waiting in steps[:MAX_WAITING_LOGGED]:
            log_event(
                logger,
                logging.INFO,
                "step-waiting",
                job=waiting.job.job,
                step=waiting.number,
                reason=placer.explain_wait(waiting).value,
                image=waiting.step.image,
                outlook=self._backlog.find_outlook(
                    waiting.job, waiting.queue
                ).name.lower(),
                millicores=waiting.step.reserved.millicores,
                age=self._backlog.find_age(waiting.job),
                waiting=len(steps),
            )
