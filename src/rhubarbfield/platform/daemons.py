"""Entry and controller programs for the users' platform."""

from __future__ import annotations

import random
from datetime import timedelta
from pathlib import Path

import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.peering import Credentials, GrpcTransport, open_bridge
from rhubarbfield.platform.control import create_control_app
from rhubarbfield.platform.ingress import create_ingress_app
from rhubarbfield.platform.runners import RunnerCalls
from rhubarbfield.replication import run_in_thread
from rhubarbfield.scheduling.controller import SchedulingController, open_log_store
from rhubarbfield.scheduling.deployment import DeploymentSettings
from rhubarbfield.scheduling.gateway import Gateway
from rhubarbfield.scheduling.serving import (
    READINESS_PROPAGATION_DELAY,
    Program,
    run_program,
)

# Covers an election and the calls in flight.
LEADERSHIP_RELEASE_DELAY = timedelta(milliseconds=700)


async def run_entry(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry: serve clients until a stop is requested."""
    clock = TrioClock()
    async with open_bridge():
        transport = GrpcTransport(Credentials(secret=settings.secret))
        gateway = Gateway(settings, transport, clock)
        program = Program(
            run=gateway.run,
            app=create_ingress_app(gateway),
            binds=(settings.callers, settings.readiness),
            begin_stop=gateway.begin_stop,
            stop_delay=READINESS_PROPAGATION_DELAY,
            add_seeds=gateway.add_seeds,
        )
        await run_program(program, settings, path, clock, task_status)


async def run_controller(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a controller: replicate the log, and lead when elected, until stopped."""
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
            begin_stop=controller.release_leadership,
            stop_delay=LEADERSHIP_RELEASE_DELAY,
            add_seeds=controller.add_seeds,
        )
        await run_program(program, settings, path, clock, task_status)
