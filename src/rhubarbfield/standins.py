"""Run the stand-ins of :mod:`rhubarbfield.testing` as processes."""

from __future__ import annotations

import contextlib
import logging
import secrets
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from returns.result import Failure, Success

from rhubarbfield.announcements import Announce
from rhubarbfield.exceptions import UsageError
from rhubarbfield.logs import configure_logging, log_event
from rhubarbfield.peering import (
    Credentials,
    Encoding,
    GrpcTransport,
    StreamMethod,
    dial,
    open_bridge,
)
from rhubarbfield.protocol.workers import BACKEND_SERVER_STREAM, WORKER_STREAM
from rhubarbfield.settings.secrets import load_secret
from rhubarbfield.signals import report_early_stop, run_until_signal
from rhubarbfield.testing.announcer import announce
from rhubarbfield.testing.backend import (
    StandInBackend,
    StandInSettings,
    serve_backend,
)
from rhubarbfield.testing.worker import WorkerProfile, run_worker
from rhubarbfield.types import (
    BackendServerId,
    FailureDomain,
    Incarnation,
    RackName,
    ServiceName,
    WorkerId,
)
from rhubarbfield.workers import Resources

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 8


class AnnouncedBackend:
    """Announcements of a stand-in backend server.

    Parameters
    ----------
    backend
        The stand-in.
    server
        Id of the backend server.
    """

    def __init__(self, backend: StandInBackend, server: BackendServerId) -> None:
        self._backend = backend
        self._server = server
        self._incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))

    def describe(self) -> Announce:
        """Return the announcement for the current state."""
        settings = self._backend.settings
        return Announce(
            number=0,
            server=self._server,
            service=ServiceName(settings.service),
            incarnation=self._incarnation,
            host="127.0.0.1",
            port=self._backend.port,
            slots=settings.slots,
            connections=settings.connections,
            state=self._backend.state,
            running=self._backend.observe().running,
            echoes_request_id=True,
        )


def run_stand_in(kind: str, values: Any) -> int:
    """Run stand-ins of one kind until SIGTERM or SIGINT.

    Parameters
    ----------
    kind
        ``backend`` or ``worker``.
    values
        Flags of the subcommand.

    Returns
    -------
    int
        The exit code.
    """
    for name in ("name", "secret_file"):
        if getattr(values, name) is None:
            raise UsageError(f"--{name} is required")
    if not values.to:
        raise UsageError("at least one --to is required")
    configure_logging("info")
    run = _run_backend if kind == "backend" else _run_worker
    log_event(logger, logging.INFO, "daemon-starting", instance=values.name)
    if not report_early_stop():
        trio.run(_run_until_signal, partial(run, values))
    log_event(logger, logging.INFO, "daemon-stopped", instance=values.name)
    return 0


async def _run_until_signal(run: Callable[[], Any]) -> None:
    async def start(
        *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        task_status.started()
        await run()

    async with open_bridge():
        await run_until_signal(start, reload=_keep_settings)


def _keep_settings() -> None:
    """Ignore a request to reload: a stand-in has no settings file."""


def _make_connect(
    method: StreamMethod, secret_file: str
) -> Callable[[str], contextlib.AbstractAsyncContextManager[Any]]:
    match load_secret(secret_file):
        case Success(secret):
            credentials = Credentials(secret=secret.decode())
        case Failure(errors):
            raise UsageError(errors.format())
    transport = GrpcTransport(credentials)
    return partial(dial, transport, method=method, encoding=Encoding.JSON)


def _list_names(values: Any) -> list[str]:
    if values.count == 1:
        return [str(values.name)]
    return [f"{values.name}-{number}" for number in range(values.count)]


async def _run_backend(values: Any) -> None:
    settings = StandInSettings(
        service=values.service, slots=values.slots, connections=values.connections
    )
    connect = _make_connect(BACKEND_SERVER_STREAM, values.secret_file)

    async def run_one(name: str) -> None:
        async with trio.open_nursery() as nursery:
            backend = await nursery.start(serve_backend, settings, values.port)
            announced = AnnouncedBackend(backend, BackendServerId(name))
            await announce(announced, connect=connect, addresses=values.to)

    async with trio.open_nursery() as nursery:
        for name in _list_names(values):
            nursery.start_soon(run_one, name)


async def _run_worker(values: Any) -> None:
    connect = _make_connect(WORKER_STREAM, values.secret_file)
    capacity = Resources(
        cores=values.cores,
        memory_mb=values.memory_mb,
        accelerators=values.accelerators,
    )
    async with trio.open_nursery() as nursery:
        for name in _list_names(values):
            profile = WorkerProfile(
                worker=WorkerId(name),
                rack=RackName(values.rack),
                domain=FailureDomain(values.domain),
                capacity=capacity,
            )
            run_one = partial(run_worker, connect=connect, addresses=values.to)
            nursery.start_soon(run_one, profile)
