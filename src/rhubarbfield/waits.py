"""Waits for what a program needs and does not find at once, told in the log."""

from __future__ import annotations

import errno
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

import trio

from rhubarbfield.logs import LogValue, log_event

logger = logging.getLogger(__name__)

REPORT_INTERVAL = timedelta(seconds=10)
BIND_INTERVAL = timedelta(milliseconds=100)
# Another program may still use the address, or the interface is not up yet.
LATE_ADDRESS_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})

ResultT = TypeVar("ResultT")


class WaitReport:
    """Logs what a program waits for, at first and then once in 10 s.

    Parameters
    ----------
    logger
        Logger of the event.
    event
        Name of the event.
    monotonic
        Returns the time, comparable between calls.
    **ids
        Fields of the event.
    """

    def __init__(
        self,
        logger: logging.Logger,
        event: str,
        /,
        monotonic: Callable[[], timedelta],
        **ids: LogValue,
    ) -> None:
        self._logger = logger
        self._event = event
        self._monotonic = monotonic
        self._ids = ids
        self._began_at: timedelta | None = None
        self._reported_at: timedelta | None = None

    def repeat(self) -> None:
        """Log the event if it is due; called at each attempt that has failed."""
        now = self._monotonic()
        if self._began_at is None:
            self._began_at = now
        last = self._reported_at
        if last is not None and now - last < REPORT_INTERVAL:
            return
        self._reported_at = now
        waited = round((now - self._began_at).total_seconds(), 1)
        log_event(
            self._logger, logging.WARNING, self._event, **self._ids, waited=waited
        )


async def bind_when_free(
    address: str, bind: Callable[[], Awaitable[ResultT]]
) -> ResultT:
    """Return what ``bind`` returns, once its address is there and not in use.

    Parameters
    ----------
    address
        Address as it appears in the log.
    bind
        Binds the address, or raises the :class:`OSError` of the attempt. Any error
        but that of a late address is raised.
    """
    report = WaitReport(logger, "port-in-use", _read_time, address=address)
    while True:
        try:
            return await bind()
        except OSError as error:
            if error.errno not in LATE_ADDRESS_ERRORS:
                raise
            report.repeat()
        await trio.sleep(BIND_INTERVAL.total_seconds())


def _read_time() -> timedelta:
    return timedelta(seconds=trio.current_time())


async def finish_unless(stop: trio.Event, run: Callable[[], Awaitable[object]]) -> bool:
    """Run ``run``, or cancel it at a stop; return whether it finished."""
    is_finished = False

    async def cancel(scope: trio.CancelScope) -> None:
        await stop.wait()
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel, nursery.cancel_scope)
        await run()
        is_finished = True
        nursery.cancel_scope.cancel()
    return is_finished
