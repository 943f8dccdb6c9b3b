"""gRPC server for the streams and calls of other processes."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

import msgspec
import trio
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from trio_asyncio import aio_as_trio, trio_as_aio

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.intake import Intake
from rhubarbfield.peering._grpclib import TRANSPORT_ERRORS, GrpcStream, make_codec
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.listener import BoundedServer
from rhubarbfield.peering.ports import (
    CallHandler,
    CallMethod,
    Encoding,
    StreamHandler,
    StreamMethod,
)
from rhubarbfield.waits import bind_when_free

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 100
# A connection that is given up is closed only after those that are accepted with it.
ACCEPTED_AT_ONCE = 16

GrpcHandler = Callable[[Any], Awaitable[None]]


def _raise_if_cancelled() -> None:
    """Report to grpclib that the handler ended because grpclib cancelled it."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


def _find_broken_invariant(error: Exception) -> BrokenInvariantError | None:
    """Return the broken invariant that a handler raised, in a nursery or outside."""
    while isinstance(error, ExceptionGroup):
        broken = error.subgroup(BrokenInvariantError)
        if broken is None:
            return None
        error = broken.exceptions[0]
    return error if isinstance(error, BrokenInvariantError) else None


class _Service:
    """grpclib service with trio functions as methods."""

    def __init__(self, credentials: Credentials) -> None:
        self._credentials = credentials
        self._handlers: dict[str, Handler] = {}
        self.server: BoundedServer | None = None
        self.invariant_error: BrokenInvariantError | None = None
        self.invariant_broken = trio.Event()

    def __mapping__(self) -> dict[str, Handler]:
        return self._handlers

    def add_stream(self, method: StreamMethod, handle: StreamHandler) -> None:
        async def run(stream: Any) -> None:
            message_stream = GrpcStream(stream)
            async with message_stream.pump():
                await handle(message_stream)
                await message_stream.close()

        self._handlers[method.path] = Handler(
            self._guard(method.path, run),
            Cardinality.STREAM_STREAM,
            method.inbound,
            method.outbound,
        )

    def add_call(self, method: CallMethod, handle: CallHandler) -> None:
        async def run(stream: Any) -> None:
            request = await aio_as_trio(stream.recv_message)()
            try:
                reply = await handle(request)
            except msgspec.MsgspecError as error:
                # Only a request that was not read is refused.
                logger.exception("request-failed")
                raise GRPCError(Status.INTERNAL, str(error)) from error
            await aio_as_trio(stream.send_message)(reply)

        self._handlers[method.path] = Handler(
            self._guard(method.path, run),
            Cardinality.UNARY_UNARY,
            method.request,
            method.reply,
        )

    def _guard(self, path: str, run: GrpcHandler) -> GrpcHandler:
        """Wrap ``run``: check credentials, log errors, stop on broken invariants."""

        async def run_guarded(stream: Any) -> None:
            if not self._credentials.accepts(stream.metadata):
                logger.warning("peer-refused path=%s", path)
                raise GRPCError(Status.UNAUTHENTICATED, "the shared secret is wrong")
            assert self.server is not None
            connection = self.server.find_protocol(stream)
            if connection is not None:
                connection.begin_stream()
            try:
                await trio_as_aio(run)(stream)
            except (BrokenInvariantError, ExceptionGroup) as error:
                broken = _find_broken_invariant(error)
                if broken is None:
                    raise
                self.invariant_error = broken
                self.invariant_broken.set()
                raise GRPCError(Status.INTERNAL, "an invariant is broken") from error
            except msgspec.MsgspecError as error:
                raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
            except TRANSPORT_ERRORS as error:
                logger.debug("stream-lost path=%s error=%r", path, error)
            finally:
                if connection is not None:
                    connection.end_stream()
            _raise_if_cancelled()

        return run_guarded


async def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)


async def serve_methods(
    host: str,
    port: int,
    *,
    credentials: Credentials,
    encoding: Encoding,
    streams: Mapping[StreamMethod, StreamHandler],
    calls: Mapping[CallMethod, CallHandler],
    intake: Intake,
    task_status: trio.TaskStatus[None],
) -> None:
    """Serve streams and calls over gRPC; see :meth:`Transport.serve`."""
    service = _Service(credentials)
    for stream_method, stream_handler in streams.items():
        service.add_stream(stream_method, stream_handler)
    for call_method, call_handler in calls.items():
        service.add_call(call_method, call_handler)
    server = BoundedServer([service], codec=make_codec(encoding), intake=intake)
    service.server = server
    context = credentials.make_server_context()
    listening = await bind_when_free(f"{host}:{port}", partial(_listen, host, port))
    await aio_as_trio(server.start)(
        sock=listening, ssl=context, backlog=ACCEPTED_AT_ONCE
    )
    # asyncio takes the number that it accepts at once for the queue's length, too.
    listening.listen(LISTEN_BACKLOG)
    task_status.started()
    try:
        await service.invariant_broken.wait()
        assert service.invariant_error is not None
        raise service.invariant_error
    finally:
        server.close()
