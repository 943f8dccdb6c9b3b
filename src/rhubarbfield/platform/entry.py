"""Entry program for the users' platform."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import trio

from rhubarbfield.clock import HostClock
from rhubarbfield.peering import (
    Credentials,
    GrpcTransport,
    open_bridge,
    open_streamed_calls,
)
from rhubarbfield.platform.ingress import MAX_BODY_BYTES, create_ingress_handler
from rhubarbfield.scheduling.deployment import DeploymentSettings
from rhubarbfield.scheduling.gateway import Gateway
from rhubarbfield.scheduling.requests import JOB_CALL, JOB_STREAM
from rhubarbfield.scheduling.serving import (
    READINESS_PROPAGATION_DELAY,
    Program,
    make_intake,
    run_program,
)


async def run_entry(
    settings: DeploymentSettings,
    path: Path,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry: serve clients until a stop is requested."""
    clock = HostClock()
    intake = make_intake(settings, MAX_BODY_BYTES)
    grpc = GrpcTransport(Credentials(secret=settings.secret), intake)
    async with (
        open_bridge(),
        open_streamed_calls(grpc, JOB_CALL, JOB_STREAM) as transport,
    ):
        gateway = Gateway(settings, transport, clock)
        program = Program(
            run=gateway.run,
            handler=create_ingress_handler(gateway),
            binds=(settings.callers, settings.readiness),
            max_body_bytes=MAX_BODY_BYTES,
            intake=intake,
            begin_stop=gateway.begin_stop,
            begin_timeout=timedelta(),
            stop_delay=READINESS_PROPAGATION_DELAY,
            add_seeds=gateway.add_seeds,
        )
        await run_program(program, settings, path, clock, task_status)
