"""Commits of commands that may safely be proposed again."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import WorkerEnds

logger = logging.getLogger(__name__)

PROPOSE_RETRY_DELAY = timedelta(milliseconds=100)


async def propose_until_committed(
    log: ReplicatedLog[SchedulingLogState],
    command: Command | Callable[[], Command],
    clock: Clock,
) -> Reply:
    """Commit a command that may safely be proposed again.

    Repeats the proposal until it is committed, or until the caller is cancelled
    at the end of its term.

    Parameters
    ----------
    log
        The deployment's log.
    command
        The command, or a function that returns what to propose each time.
    clock
        Source of time.
    """
    while True:
        proposed = command if isinstance(command, Command) else command()
        result = await log.propose(proposed)
        if isinstance(result, Success):
            return result.unwrap()
        log_event(
            logger,
            logging.WARNING,
            "proposal-repeated",
            command=type(proposed).__name__,
            reason=str(result.failure()),
        )
        await clock.sleep(PROPOSE_RETRY_DELAY)


class Batcher:
    """Batches ends of runs that are recorded concurrently into one proposal.

    Parameters
    ----------
    propose
        Commits the ends of runs; returns only once they are committed.
    """

    def __init__(
        self, propose: Callable[[tuple[WorkerEnds, ...]], Awaitable[None]]
    ) -> None:
        self._propose = propose
        self._pending: list[WorkerEnds] = []
        self._recorded = trio.Event()
        self._committed = trio.Event()  # of the batch that is proposed
        self._committed.set()
        self._added = trio.Event()

    async def record(self, ends: WorkerEnds) -> None:
        """Return once ``ends`` are committed."""
        self._pending.append(ends)
        recorded = self._recorded
        self._added.set()
        await recorded.wait()

    async def settle(self) -> None:
        """Return once all ends that were passed on before are committed."""
        settled = self._recorded if self._pending else self._committed
        await settled.wait()

    async def run(self) -> None:
        """Commit pending ends until cancelled."""
        while True:
            await self._added.wait()
            self._added = trio.Event()
            pending, self._pending = self._pending, []
            self._committed, self._recorded = self._recorded, trio.Event()
            await self._propose(tuple(pending))
            self._committed.set()
