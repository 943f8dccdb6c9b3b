"""HTTP server for callers, with a planned stop that drains requests in progress."""

from __future__ import annotations

import logging
import random
from datetime import timedelta

import msgspec
import trio
from quart import Quart

from rhubarbfield.callers.answers import make_unread_response
from rhubarbfield.callers.app import BODY_TIMEOUT_SECONDS, make_request_id
from rhubarbfield.callers.readiness import Readiness
from rhubarbfield.clock import Clock
from rhubarbfield.httpserver import (
    HttpLimits,
    HttpRefusal,
    HttpResponse,
    serve_app,
)
from rhubarbfield.intake import Intake

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
    body_timeout
        How long the content of a request may take to arrive.
    largest_body
        Largest content of a request, in bytes.
    """

    keep_alive: timedelta = timedelta(seconds=4)
    readiness_propagation_delay: timedelta = timedelta(seconds=5)
    drain_timeout: timedelta = timedelta(seconds=35)
    body_timeout: timedelta = timedelta(seconds=BODY_TIMEOUT_SECONDS)
    largest_body: int = 1 << 20


async def serve(
    app: Quart,
    address: str,
    *,
    stop: trio.Event,
    readiness: Readiness,
    clock: Clock,
    settings: ServingSettings | None = None,
    intake: Intake | None = None,
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
    intake
        What the process holds of unfinished requests.
    task_status
        Started with the bound addresses, including the chosen port; with none
        if ``stop`` was set before the address was free.
    """
    serving_settings = settings if settings is not None else ServingSettings()
    rng = random.SystemRandom()

    def refuse(refusal: HttpRefusal) -> HttpResponse:
        return make_unread_response(
            refusal, make_request_id(rng), body_limit=serving_settings.largest_body
        )

    async def wait_for_stop() -> None:
        await stop.wait()
        readiness.begin_stop()
        _logger.info("planned stop: not ready")
        await clock.sleep(serving_settings.readiness_propagation_delay)
        _logger.info("planned stop: no new connections")

    async def run(
        *, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve_app(
            app,
            address,
            wait_for_stop,
            limits=_make_limits(serving_settings),
            intake=Intake() if intake is None else intake,
            clock=clock,
            refuse=refuse,
            content_in_scope=True,
            task_status=task_status,
        )

    async with trio.open_nursery() as nursery:
        binds = await nursery.start(run)
        if binds:
            readiness.set_listening()
        task_status.started([f"http://{bind}" for bind in binds])
    _logger.info("planned stop: finished")


def _make_limits(settings: ServingSettings) -> HttpLimits:
    return HttpLimits(
        body_bytes=settings.largest_body,
        keep_alive=settings.keep_alive,
        body_timeout=settings.body_timeout,
        drain_timeout=settings.drain_timeout,
    )
