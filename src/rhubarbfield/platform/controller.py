"""Controller program for the users' platform."""

from __future__ import annotations

import random
from pathlib import Path

import trio

from rhubarbfield.clock import HostClock
from rhubarbfield.peering import Credentials, GrpcTransport, open_bridge
from rhubarbfield.platform.control import MAX_BODY_BYTES, ControlInterface
from rhubarbfield.platform.runners import RunnerCalls
from rhubarbfield.replication import LEADERSHIP_RELEASE_DELAY, run_in_thread
from rhubarbfield.scheduling.controller import SchedulingController, open_log_store
from rhubarbfield.scheduling.deployment import DeploymentSettings
from rhubarbfield.scheduling.handover import HANDOVER_TIMEOUT
from rhubarbfield.scheduling.serving import Program, make_intake, run_program


async def run_controller(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a controller: replicate the log, and lead when elected, until stopped."""
    scheduling = settings.make_scheduling_settings()
    clock = HostClock()
    intake = make_intake(settings, MAX_BODY_BYTES)
    async with open_bridge():
        controller = SchedulingController(
            settings,
            transport=GrpcTransport(Credentials(secret=settings.secret), intake),
            store=open_log_store(settings),
            calls=RunnerCalls(scheduling.order_timeout),
            clock=clock,
            rng=random.SystemRandom(),
            run_blocking=run_in_thread,
        )
        interface = ControlInterface(controller.service, settings.control_port)
        program = Program(
            run=controller.run,
            handler=interface.answer,
            binds=(settings.control,),
            max_body_bytes=MAX_BODY_BYTES,
            intake=intake,
            begin_stop=controller.begin_stop,
            begin_timeout=HANDOVER_TIMEOUT,
            stop_delay=LEADERSHIP_RELEASE_DELAY,
            add_seeds=controller.add_seeds,
        )
        await run_program(program, settings, path, clock, task_status)
