"""HTTP server of a deployment's programs, from start to planned stop."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import msgspec
import trio

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.exceptions import UsageError
from rhubarbfield.httpserver import Handler, HttpLimits, HttpServer
from rhubarbfield.intake import Intake, choose_limits
from rhubarbfield.metricspage import show_metrics
from rhubarbfield.peering import find_least_bytes
from rhubarbfield.scheduling.deployment import (
    DeploymentSettings,
    load_deployment_settings,
)
from rhubarbfield.signals import run_until_signal

logger = logging.getLogger(__name__)

# The balancer checks readiness once a second, and may miss two checks.
READINESS_PROPAGATION_DELAY = timedelta(seconds=3)
# Short beside the time for which a replaced controller stays among the seeds.
SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)
# Left of the grace period when connections are cut, to end the process in time.
EXIT_MARGIN = timedelta(seconds=1)


class Program(msgspec.Struct, frozen=True):
    """A program of an instance, and how it is served and stopped.

    Attributes
    ----------
    run
        Runs the program until cancelled; accepts a task status.
    handler, binds
        Answers HTTP requests, at these ``host:port`` addresses.
    max_body_bytes
        Largest content of a request.
    intake
        What the process holds of unfinished requests.
    begin_stop
        Called when a planned stop begins, with how long it may take.
    begin_timeout
        How long ``begin_stop`` may take, if the grace period allows it.
    stop_delay
        How long the app is served after ``begin_stop``.
    add_seeds
        Called with reloaded settings.
    """

    run: Callable[..., Awaitable[None]]
    handler: Handler
    binds: tuple[str, ...]
    max_body_bytes: int
    intake: Intake
    begin_stop: Callable[[timedelta], Awaitable[None]]
    begin_timeout: timedelta
    stop_delay: timedelta
    add_seeds: Callable[[DeploymentSettings], None]

    def limit_begin(self, settings: DeploymentSettings) -> timedelta:
        """Return how long ``begin_stop`` may take within the grace period."""
        grace = timedelta(milliseconds=settings.grace_ms)
        spare = grace - self.stop_delay - 2 * EXIT_MARGIN
        return max(min(self.begin_timeout, spare), timedelta())

    def limit_drain(
        self, settings: DeploymentSettings, stopping_for: timedelta
    ) -> timedelta:
        """Return how long requests in progress may take within the grace period.

        Parameters
        ----------
        settings
            Settings of the instance.
        stopping_for
            Time since the stop began.
        """
        grace = timedelta(milliseconds=settings.grace_ms)
        return max(grace - stopping_for - EXIT_MARGIN, EXIT_MARGIN)


class SettingsFile:
    """The settings file of a running program, which may change without a signal.

    Parameters
    ----------
    path
        The file.
    settings
        The settings that the program was started with.
    apply
        Called with settings that differ from the last ones.
    """

    def __init__(
        self,
        path: Path,
        settings: DeploymentSettings,
        apply: Callable[[DeploymentSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._content: bytes | None = None

    async def watch(self, clock: Clock) -> None:
        """Reload the settings whenever the file has changed, until cancelled."""
        while True:
            await clock.sleep(SETTINGS_CHECK_INTERVAL)
            content = self._read()
            if content is not None and content != self._content:
                self._content = content
                try:
                    self.reload()
                except Exception as error:
                    contain(Unit.ACTIVITY, error, activity="reload")

    def reload(self) -> None:
        """Read the file, and apply its settings if they are valid and differ."""
        try:
            settings = load_deployment_settings(self._path)
        except UsageError as error:
            logger.error("settings-refused %s", error.format_message())
            return
        if settings == self._settings:
            return
        self._settings = settings
        logger.info("settings-reloaded")
        self._apply(settings)

    def _read(self) -> bytes | None:
        """Return the content of the file; None while it can't be read."""
        try:
            return self._path.read_bytes()
        except OSError:
            return None


def make_intake(settings: DeploymentSettings, max_body_bytes: int) -> Intake:
    """Return the intake of a process, by the memory of its machine."""
    return Intake(
        choose_limits(
            memory_mb=settings.memory_mb,
            least_bytes=find_least_bytes(max_body_bytes),
        )
    )


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
    file = SettingsFile(path, settings, program.add_seeds)
    server = HttpServer(
        program.handler, HttpLimits(body_bytes=program.max_body_bytes), program.intake
    )

    async def wait_for_stop() -> None:
        await stop.wait()
        began = clock.monotonic()
        await program.begin_stop(program.limit_begin(settings))
        await clock.sleep(program.stop_delay)
        server.limit_drain(program.limit_drain(settings, clock.monotonic() - began))

    async def run(
        *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve_metrics, settings, program.intake)
            await nursery.start(program.run)
            nursery.start_soon(file.watch, clock)
            binds = [bind for bind in program.binds if bind]
            async with trio.open_nursery() as serving:
                await serving.start(server.serve, binds, wait_for_stop)
                task_status.started()
            nursery.cancel_scope.cancel()

    await run_until_signal(
        run,
        reload=file.reload,
        stop=stop,
        task_status=task_status,
    )


async def _serve_metrics(settings: DeploymentSettings, intake: Intake) -> None:
    """Serve the metrics of the process until cancelled, or log why it can't."""
    server = HttpServer(show_metrics, HttpLimits(), intake)
    binds = [settings.metrics] if settings.metrics else []
    try:
        await server.serve(binds, trio.sleep_forever)
    except* (OSError, ValueError, OverflowError) as errors:
        logger.error("metrics-not-served", exc_info=errors)
