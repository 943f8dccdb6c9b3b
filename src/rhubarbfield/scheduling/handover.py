"""Views of workers that end before a leader hands over.

A worker lists an end to whoever asks. If the leader can no longer record it, and the
worker leaves before the next leader asks, a result that was told is lost.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event

logger = logging.getLogger(__name__)

# Covers a view that waits for an end, its reply and a commit.
HANDOVER_TIMEOUT = timedelta(milliseconds=2500)


class ViewsInProgress:
    """The views that a leader has requested and not recorded yet.

    Parameters
    ----------
    clock
        Source of time.
    leads
        Returns whether the leader may act now.
    """

    def __init__(self, clock: Clock, leads: Callable[[], bool]) -> None:
        self._clock = clock
        self._leads = leads
        self._count = 0
        self._abandoned = 0
        self._all_ended = trio.Event()
        self._closes_at: timedelta | None = None

    @property
    def is_closing(self) -> bool:
        """Whether only workers that reply are to be viewed any more."""
        return self._closes_at is not None

    @property
    def is_closed(self) -> bool:
        """Whether no view may be requested any more."""
        closes_at = self._closes_at
        return closes_at is not None and self._clock.monotonic() >= closes_at

    def limit_wait(self, wait: timedelta) -> timedelta:
        """Return how long a new view may wait for an end, at most ``wait``."""
        if self._closes_at is None:
            return wait
        return max(min(wait, self._closes_at - self._clock.monotonic()), timedelta())

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a view as in progress during the block."""
        self._count += 1
        is_recorded = False
        try:
            yield
            is_recorded = True
        finally:
            self._count -= 1
            self._abandoned += not (is_recorded or self._leads())
            if not self._count:
                self._all_ended.set()

    async def finish(self, longest: timedelta, timeout: timedelta) -> None:
        """Return once the views in progress are recorded, and let none follow.

        Until those that wait for an end have returned, others may be requested, so
        that ends need not wait for the next leader.

        Parameters
        ----------
        longest
            Longest time for which a view waits for an end.
        timeout
            How long to wait in all, as some workers do not reply.
        """
        began = self._clock.monotonic()
        self._closes_at = began + min(longest, timeout)
        with trio.move_on_after(timeout.total_seconds()):
            while self._count:
                if self._all_ended.is_set():
                    self._all_ended = trio.Event()
                await self._all_ended.wait()
        self._closes_at = self._clock.monotonic()
        log_event(
            logger,
            logging.INFO,
            "views-finished",
            took=self._closes_at - began,
            unfinished=self._count,
        )

    def log_abandoned(self) -> None:
        """Log how many views the end of the term left without a record."""
        if self._abandoned:
            log_event(logger, logging.INFO, "views-abandoned", count=self._abandoned)
