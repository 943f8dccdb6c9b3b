"""Run a daemon until a signal stops it."""

from __future__ import annotations

import logging
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import trio

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
        Called on each SIGHUP.
    stop
        Set by the first signal to request a graceful stop; a second signal
        cancels the daemon. If None, the first signal cancels it.
    task_status
        Reported as started once the daemon has started.
    """
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        if report_early_stop():
            return
        for number in take_signals():
            _reload(number, reload)
        async with trio.open_nursery() as nursery:
            handle = partial(_handle_signals, signals, reload, stop)
            nursery.start_soon(handle, nursery.cancel_scope)
            await nursery.start(_run_then_cancel, run, nursery.cancel_scope)
            task_status.started()


def report_early_stop() -> bool:
    """Log a stop that was requested before the loop ran; return whether there was one.

    A daemon asks before it opens anything.
    """
    number = find_stop()
    if number is None:
        return False
    logger.info("stopped-while-starting number=%d", number)
    return True


async def _run_then_cancel(
    run: Callable[..., Awaitable[None]],
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await run(task_status=task_status)
    scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[int],
    reload: Callable[[], None],
    stop: trio.Event | None,
    scope: trio.CancelScope,
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            _reload(number, reload)
            continue
        logger.info("signal-received number=%d", number)
        if stop is None or stop.is_set():
            scope.cancel()
            return
        stop.set()


def _reload(number: int, reload: Callable[[], None]) -> None:
    logger.info("signal-received number=%d", number)
    reload()
