"""HTTP server for callers, with a planned stop that drains requests in progress."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_app
from quart import Quart

from rhubarbfield.appsockets import bind_app
from rhubarbfield.callers.readiness import Readiness
from rhubarbfield.clock import Clock
from rhubarbfield.waits import finish_unless

_logger = logging.getLogger(__name__)


class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and limits of the HTTP server for callers.

    Attributes
    ----------
    keep_alive
        How long an idle connection stays open.
    readiness_propagation_delay
        How long the load balancer may take to notice that the entry isn't
        ready; longer than ``keep_alive``, so that all idle connections are
        closed by then.
    drain_timeout
        How long requests in progress may take to finish after that.
    backlog
        How many connections may wait to be accepted.
    """

    keep_alive: timedelta = timedelta(seconds=4)
    readiness_propagation_delay: timedelta = timedelta(seconds=5)
    drain_timeout: timedelta = timedelta(seconds=35)
    backlog: int = 1024


async def serve(
    app: Quart,
    address: str,
    *,
    stop: trio.Event,
    readiness: Readiness,
    clock: Clock,
    settings: ServingSettings | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` until ``stop`` is set and its last request has finished.

    A planned stop has four steps. First the readiness page reports that the
    entry isn't ready and each response closes its connection, while new
    requests are still served. After the readiness propagation delay, new
    connections are refused. Requests in progress then finish. Then the
    function returns.

    Parameters
    ----------
    address
        ``host:port`` to listen on.
    stop
        Set to begin the planned stop.
    readiness
        Told once the entry listens.
    task_status
        Started with the bound addresses, including the chosen port; with none
        if ``stop`` was set before the address was free.
    """
    serving_settings = settings if settings is not None else ServingSettings()
    config = _make_config(address, serving_settings)
    if not await finish_unless(stop, partial(bind_app, config)):
        task_status.started([])
        return

    async def wait_for_stop() -> None:
        await stop.wait()
        readiness.begin_stop()
        _logger.info("planned stop: not ready")
        await clock.sleep(serving_settings.readiness_propagation_delay)
        _logger.info("planned stop: no new connections")

    async with trio.open_nursery() as nursery:
        binds = await nursery.start(_serve_app, app, config, wait_for_stop)
        readiness.set_listening()
        task_status.started(binds)
    _logger.info("planned stop: finished")


async def _serve_app(
    app: Quart,
    config: Config,
    wait_for_stop: Callable[[], Awaitable[None]],
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve_app(
        app,
        config,
        shutdown_trigger=wait_for_stop,
        task_status=task_status,
    )


def _make_config(address: str, settings: ServingSettings) -> Config:
    config = Config()
    config.bind = [address]
    config.backlog = settings.backlog
    config.keep_alive_timeout = settings.keep_alive.total_seconds()
    config.graceful_timeout = settings.drain_timeout.total_seconds()
    config.include_server_header = False
    config.loglevel = "WARNING"
    return config
