"""What both daemons do when they start and when they are told to stop."""

from __future__ import annotations

import logging
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from returns.result import Failure, Success

from rhubarbfield.exceptions import UsageError
from rhubarbfield.peering import Credentials
from rhubarbfield.settings import Settings
from rhubarbfield.settings.secrets import Secret, load_secret

logger = logging.getLogger(__name__)


def load_credentials(settings: Settings) -> tuple[Secret, Credentials]:
    """Return the shared secret, and what peers present to each other.

    Raises
    ------
    UsageError
        If the secret can't be read.
    """
    loaded = load_secret(settings.secret_file)
    match loaded:
        case Success(secret):
            return secret, _make_credentials(settings, secret)
        case Failure(errors):
            raise UsageError(errors.format())
    raise AssertionError


def _make_credentials(settings: Settings, secret: Secret) -> Credentials:
    tls = settings.tls
    if tls is None:
        return Credentials(secret=secret.decode())
    return Credentials(
        secret=secret.decode(),
        certificate_file=Path(tls.certificate_file),
        key_file=Path(tls.key_file),
        authority_file=Path(tls.authority_file),
    )


async def run_until_signal(
    run: Callable[..., Awaitable[None]],
    *,
    stop: trio.Event | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    run
        The daemon; takes ``task_status``.
    stop
        Set by the first signal, so that the daemon ends by itself; a second
        signal cancels it. Without it the first signal cancels.
    task_status
        Started once the daemon is.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_follow_signals, signals, stop, nursery.cancel_scope)
            await nursery.start(_run_then_cancel, run, nursery.cancel_scope)
            task_status.started()


async def _run_then_cancel(
    run: Callable[..., Awaitable[None]],
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    await run(task_status=task_status)
    scope.cancel()


async def _follow_signals(
    signals: object, stop: trio.Event | None, scope: trio.CancelScope
) -> None:
    async for number in signals:  # type: ignore[attr-defined]
        logger.info("signal-received number=%d", number)
        if stop is None or stop.is_set():
            scope.cancel()
            return
        stop.set()
