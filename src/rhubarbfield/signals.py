"""Run a daemon until a signal stops it."""

from __future__ import annotations

import logging
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from rhubarbfield.containment import Unit, contain
from rhubarbfield.earlysignals import HANDLED_SIGNALS, find_stop, take_signals

logger = logging.getLogger(__name__)


async def run_until_signal(
    run: Callable[..., Awaitable[None]],
    *,
    reload: Callable[[], None],
    stop: trio.Event | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Signals that were recorded before are handled as if they came now; a recorded stop
    means that the daemon is not run.

    Parameters
    ----------
    run
        The daemon; takes ``task_status``.
    reload
        Called on each SIGHUP; an error that it raises is logged.
    stop
        Set by the first signal to request a graceful stop; a second signal
        cancels the daemon. If None, or while the daemon starts, the first signal
        cancels it.
    task_status
        Reported as started once the daemon has started.
    """
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        if report_early_stop():
            return
        async with trio.open_nursery() as nursery:
            handling = _Handling(reload, stop, nursery.cancel_scope)
            for number in take_signals():
                handling.handle(number)
            nursery.start_soon(handling.run, signals)
            await nursery.start(_run_then_cancel, run, handling, nursery.cancel_scope)
            task_status.started()


def report_early_stop() -> bool:
    """Log a stop that was requested before the loop ran; return whether there was one.

    A daemon asks before it opens anything.
    """
    number = find_stop()
    if number is None:
        return False
    _report_stop_while_starting(number)
    return True


async def _run_then_cancel(
    run: Callable[..., Awaitable[None]],
    handling: _Handling,
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await run(task_status=_Started(handling, task_status))
    scope.cancel()


class _Handling:
    """How signals act on a daemon.

    Parameters
    ----------
    reload, stop
        As of :func:`run_until_signal`.
    scope
        Cancelled to end the daemon at once.
    """

    def __init__(
        self,
        reload: Callable[[], None],
        stop: trio.Event | None,
        scope: trio.CancelScope,
    ) -> None:
        self._reload = reload
        self._stop = stop
        self._scope = scope
        self.has_started = False

    async def run(self, signals: AsyncIterator[int]) -> None:
        """Handle signals until cancelled."""
        async for number in signals:
            self.handle(number)

    def handle(self, number: int) -> None:
        """Handle one signal."""
        logger.info("signal-received number=%d", number)
        if number == signal.SIGHUP:
            try:
                self._reload()
            except Exception as error:
                contain(Unit.ACTIVITY, error, activity="reload")
        elif not self.has_started:
            _report_stop_while_starting(number)
            self._scope.cancel()
        elif self._stop is None or self._stop.is_set():
            self._scope.cancel()
        else:
            self._stop.set()


class _Started(trio.TaskStatus[None]):
    """Marks a daemon as started at the moment when it says so."""

    def __init__(self, handling: _Handling, task_status: trio.TaskStatus[None]) -> None:
        self._handling = handling
        self._task_status = task_status

    def started(self, value: None = None) -> None:
        """Report the daemon as started."""
        self._handling.has_started = True
        self._task_status.started()


def _report_stop_while_starting(number: int) -> None:
    logger.info("stopped-while-starting number=%d", number)
