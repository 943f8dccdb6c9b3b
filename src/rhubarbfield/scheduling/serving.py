"""HTTP server of a deployment's programs, from start to planned stop."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from pathlib import Path

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_app
from quart import Quart

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import UsageError
from rhubarbfield.metricspage import create_metrics_app
from rhubarbfield.scheduling.deployment import (
    DeploymentSettings,
    load_deployment_settings,
)
from rhubarbfield.signals import run_until_signal

logger = logging.getLogger(__name__)

# The balancer checks readiness once a second, and may miss two checks.
READINESS_PROPAGATION_DELAY = timedelta(seconds=3)
IDLE_CONNECTION_TIMEOUT = timedelta(seconds=15)


class Program(msgspec.Struct, frozen=True):
    """A program of an instance, and how it is served and stopped.

    Attributes
    ----------
    run
        Runs the program until cancelled; accepts a task status.
    app, binds
        The HTTP app, and the ``host:port`` addresses it is served at.
    begin_stop
        Called when a planned stop begins.
    stop_delay
        How long the app is served after ``begin_stop``.
    add_seeds
        Called with reloaded settings.
    """

    run: Callable[..., Awaitable[None]]
    app: Quart
    binds: tuple[str, ...]
    begin_stop: Callable[[], None]
    stop_delay: timedelta
    add_seeds: Callable[[DeploymentSettings], None]


async def run_program(
    program: Program,
    settings: DeploymentSettings,
    path: Path,
    clock: Clock,
    task_status: trio.TaskStatus[None],
) -> None:
    """Run and serve a program until a signal has stopped it.

    Parameters
    ----------
    program
        The program.
    settings, path
        Settings of the instance, and the file from which they are reloaded.
    clock
        Source of time.
    task_status
        Started once the app is served.
    """
    stop = trio.Event()

    async def wait_for_stop() -> None:
        await stop.wait()
        program.begin_stop()
        await clock.sleep(program.stop_delay)

    async def run(
        *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.run)
            await nursery.start(_serve_metrics, settings)
            config = _make_config(settings, *program.binds)
            await _serve(program.app, config, wait_for_stop, task_status)
            nursery.cancel_scope.cancel()

    await run_until_signal(
        run,
        reload=partial(_reload, path, program.add_seeds),
        stop=stop,
        task_status=task_status,
    )


async def _serve(
    app: Quart,
    config: Config,
    wait_for_stop: Callable[[], Awaitable[None]] | None,
    task_status: trio.TaskStatus[None],
) -> None:
    """Serve until ``wait_for_stop`` returns and the last request is answered.

    Without ``wait_for_stop`` the app is served until cancelled.
    """
    serve = partial(serve_app, app, config, shutdown_trigger=wait_for_stop)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve)
        task_status.started()


async def _serve_metrics(
    settings: DeploymentSettings,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the metrics of the process until cancelled."""
    if settings.metrics:
        config = _make_config(settings, settings.metrics)
        await _serve(create_metrics_app(), config, None, task_status)
    else:
        task_status.started()


def _reload(path: Path, apply: Callable[[DeploymentSettings], None]) -> None:
    try:
        settings = load_deployment_settings(path)
    except UsageError as error:
        logger.error("settings-refused %s", error.format_message())
        return
    logger.info("settings-reloaded")
    apply(settings)


def _make_config(settings: DeploymentSettings, *binds: str) -> Config:
    config = Config()
    config.bind = [bind for bind in binds if bind]
    config.backlog = 1024
    config.keep_alive_timeout = IDLE_CONNECTION_TIMEOUT.total_seconds()
    grace = timedelta(milliseconds=settings.grace_ms) - READINESS_PROPAGATION_DELAY
    config.graceful_timeout = max(grace.total_seconds() - 1, 1)
    config.include_server_header = False
    http_logger = logging.getLogger("rhubarbfield.http")
    # INFO only lists the bind addresses, which are in the settings.
    http_logger.setLevel(logging.WARNING)
    config.errorlog = http_logger
    config.loglevel = "WARNING"
    return config
