"""The controller process: stores, HTTP for operators and signals."""

from __future__ import annotations

import random
from datetime import timedelta
from functools import partial
from pathlib import Path

import trio
from prometheus_client import REGISTRY

from rhubarbfield.clock import Clock, HostClock
from rhubarbfield.controller.daemon import Controller
from rhubarbfield.daemons import load_credentials, make_intake_limits
from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.httpserver import HttpLimits, serve_app
from rhubarbfield.intake import Intake
from rhubarbfield.operators.answers import make_unread_response
from rhubarbfield.operators.app import BODY_TIMEOUT, create_operators_app
from rhubarbfield.operators.messages import MAX_BODY_BYTES
from rhubarbfield.peering import GrpcTransport, open_bridge
from rhubarbfield.replication import LEADERSHIP_RELEASE_DELAY
from rhubarbfield.settings import Settings
from rhubarbfield.settings.secrets import Secret
from rhubarbfield.signals import run_until_signal
from rhubarbfield.storage import FileStore, LogStore, MemoryStore
from rhubarbfield.types import GroupId

KEEP_ALIVE = timedelta(seconds=5)
DRAIN_TIMEOUT = timedelta(seconds=5)


async def serve_operators(
    controller: Controller,
    settings: Settings,
    secret: Secret,
    intake: Intake,
    clock: Clock,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve operators by HTTP until cancelled.

    Raises
    ------
    BrokenInvariantError
        If answering a request broke an invariant.
    """
    broken: list[BrokenInvariantError] = []
    seen = trio.Event()

    def record_broken(error: BrokenInvariantError) -> None:
        broken.append(error)
        seen.set()

    app = create_operators_app(
        controller.operators,
        secret=secret,
        metrics=REGISTRY,
        on_broken_invariant=record_broken,
    )
    addresses = settings.addresses
    limits = HttpLimits(
        body_bytes=MAX_BODY_BYTES,
        keep_alive=KEEP_ALIVE,
        body_timeout=BODY_TIMEOUT,
        drain_timeout=DRAIN_TIMEOUT,
    )
    run = partial(
        serve_app,
        app,
        f"{addresses.host}:{addresses.operators_port}",
        trio.sleep_forever,
        limits=limits,
        intake=intake,
        clock=clock,
        refuse=make_unread_response,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(run)
        task_status.started()
        await seen.wait()
        raise broken[0]


def open_store(settings: Settings, group: GroupId) -> LogStore:
    """Return the store of a group's log, in memory on an instance without a disk."""
    if settings.data_folder is None:
        return MemoryStore()
    return FileStore(Path(settings.data_folder) / group)


async def run_controller(
    settings: Settings,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a controller until SIGTERM or SIGINT; another leads once it stops.

    Parameters
    ----------
    settings
        Settings of the instance.
    task_status
        Reported as started once the controller serves.
    """
    secret, credentials = load_credentials(settings)
    clock = HostClock()
    intake = Intake(make_intake_limits(settings))
    async with open_bridge():
        controller = Controller(
            settings,
            transport=GrpcTransport(credentials, intake),
            open_store=partial(open_store, settings),
            clock=clock,
            rng=random.SystemRandom(),
        )

        stop = trio.Event()

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(controller.run)
                await nursery.start(
                    serve_operators, controller, settings, secret, intake, clock
                )
                task_status.started()
                await stop.wait()
                controller.release_leadership()
                await clock.sleep(LEADERSHIP_RELEASE_DELAY)
                nursery.cancel_scope.cancel()

        await run_until_signal(
            run,
            reload=controller.in_force.reload,
            stop=stop,
            task_status=task_status,
        )
