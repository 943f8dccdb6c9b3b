"""The two programs that run on the platform."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from pathlib import Path

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_app
from quart import Quart

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.exceptions import UsageError
from rhubarbfield.metricspage import create_metrics_app
from rhubarbfield.peering import Credentials, GrpcTransport, open_bridge
from rhubarbfield.platform.control import create_control_app
from rhubarbfield.platform.ingress import create_ingress_app
from rhubarbfield.platform.runners import RunnerCalls
from rhubarbfield.replication import run_in_thread
from rhubarbfield.scheduling.controller import SchedulingController, open_log_store
from rhubarbfield.scheduling.deployment import (
    DeploymentSettings,
    load_deployment_settings,
)
from rhubarbfield.scheduling.gateway import Gateway
from rhubarbfield.signals import run_until_signal

logger = logging.getLogger(__name__)

LOOK_AWAY = timedelta(seconds=3)  # the balancer misses two checks, one a second
HAND_OVER_TIME = timedelta(milliseconds=700)  # an election, and calls on their way
IDLE_CONNECTION = timedelta(seconds=15)


class Program(msgspec.Struct, frozen=True):
    """What runs on an instance, and how it is served and stopped.

    Attributes
    ----------
    run
        Runs it until cancelled; started with a task status.
    app, binds
        What it serves, at which ``host:port``.
    begin_stop
        Called when a planned stop begins.
    stop_time
        How long it is served on from there.
    add_seeds
        Takes in settings that were read again.
    """

    run: Callable[..., Awaitable[None]]
    app: Quart
    binds: tuple[str, ...]
    begin_stop: Callable[[], None]
    stop_time: timedelta
    add_seeds: Callable[[DeploymentSettings], None]


async def run_entry(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve clients until told to stop."""
    clock = TrioClock()
    async with open_bridge():
        transport = GrpcTransport(Credentials(secret=settings.secret))
        gateway = Gateway(settings, transport, clock)
        program = Program(
            run=gateway.run,
            app=create_ingress_app(gateway),
            binds=(settings.callers, settings.readiness),
            begin_stop=gateway.begin_stop,
            stop_time=LOOK_AWAY,
            add_seeds=gateway.add_seeds,
        )
        await _run_program(program, settings, path, clock, task_status)


async def run_controller(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Keep the log, and lead when elected, until told to stop."""
    scheduling = settings.make_scheduling_settings()
    clock = TrioClock()
    async with open_bridge():
        controller = SchedulingController(
            settings,
            transport=GrpcTransport(Credentials(secret=settings.secret)),
            store=open_log_store(settings),
            calls=RunnerCalls(scheduling.order_timeout),
            clock=clock,
            rng=random.SystemRandom(),
            run_blocking=run_in_thread,
        )
        program = Program(
            run=controller.run,
            app=create_control_app(controller.service, settings.control_port),
            binds=(settings.control,),
            begin_stop=controller.hand_over,
            stop_time=HAND_OVER_TIME,
            add_seeds=controller.add_seeds,
        )
        await _run_program(program, settings, path, clock, task_status)


async def _run_program(
    program: Program,
    settings: DeploymentSettings,
    path: Path,
    clock: Clock,
    task_status: trio.TaskStatus[None],
) -> None:
    """Run and serve a program until a signal has stopped it."""
    stop = trio.Event()

    async def wait_for_stop() -> None:
        await stop.wait()
        program.begin_stop()
        await clock.sleep(program.stop_time)

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
    """Serve until told to stop and the last request is answered.

    Without ``wait_for_stop`` it is served until cancelled.
    """
    serve = partial(serve_app, app, config, shutdown_trigger=wait_for_stop)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve)
        task_status.started()


async def _serve_metrics(
    settings: DeploymentSettings,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Show the counters of the process until cancelled."""
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
    config.keep_alive_timeout = IDLE_CONNECTION.total_seconds()
    grace = timedelta(milliseconds=settings.grace_ms) - LOOK_AWAY
    config.graceful_timeout = max(grace.total_seconds() - 1, 1)
    config.include_server_header = False
    http_logger = logging.getLogger("rhubarbfield.http")
    http_logger.setLevel(logging.WARNING)  # where it listens stands in the settings
    config.errorlog = http_logger
    config.loglevel = "WARNING"
    return config
