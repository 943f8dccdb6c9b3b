"""The gRPC transport, and helpers for any transport."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import msgspec
import trio
from grpclib.client import Channel

from rhubarbfield.intake import Intake
from rhubarbfield.logs import log_event
from rhubarbfield.peering._grpclib import make_codec
from rhubarbfield.peering.client import GrpcConnection
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.ports import (
    CallHandler,
    CallMethod,
    Connection,
    Encoding,
    MessageStream,
    StreamHandler,
    StreamMethod,
    Transport,
    UnsendableMessageError,
)
from rhubarbfield.peering.server import serve_methods

logger = logging.getLogger(__name__)


class GrpcTransport:
    """A :class:`Transport` over gRPC; runs inside :func:`open_bridge`.

    Parameters
    ----------
    credentials
        Credentials that this process presents and requires of others; peers
        without them are rejected and logged.
    intake
        What the process holds of messages that are not read yet.
    """

    def __init__(self, credentials: Credentials, intake: Intake | None = None) -> None:
        self._credentials = credentials
        self._intake = Intake() if intake is None else intake

    def open_connection(
        self, host: str, port: int, *, encoding: Encoding = Encoding.MSGPACK
    ) -> Connection:
        """Return a connection to ``host``:``port``; the caller closes it."""
        channel = Channel(
            host,
            port,
            codec=make_codec(encoding),
            ssl=self._credentials.make_client_context(),
        )
        return GrpcConnection(channel, self._credentials)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        encoding: Encoding = Encoding.MSGPACK,
        streams: Mapping[StreamMethod, StreamHandler] | None = None,
        calls: Mapping[CallMethod, CallHandler] | None = None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve streams and calls on one port until cancelled."""
        await serve_methods(
            host,
            port,
            credentials=self._credentials,
            encoding=encoding,
            streams=streams or {},
            calls=calls or {},
            intake=self._intake,
            task_status=task_status,
        )


async def send_or_drop(stream: MessageStream, message: msgspec.Struct) -> bool:
    """Send a message for which nobody waits; return False if the stream has ended.

    One that can't be encoded is logged and dropped, like one that is lost.
    """
    try:
        return await stream.send(message)
    except UnsendableMessageError as error:
        log_event(logger, logging.ERROR, "message-dropped", error=error.message)
        return True


@asynccontextmanager
async def connect(
    transport: Transport,
    host: str,
    port: int,
    *,
    encoding: Encoding = Encoding.MSGPACK,
) -> AsyncIterator[Connection]:
    """Yield a connection to ``host``:``port``, closed when the block is left."""
    connection = transport.open_connection(host, port, encoding=encoding)
    try:
        yield connection
    finally:
        connection.close()


@asynccontextmanager
async def dial(
    transport: Transport,
    address: str,
    method: StreamMethod,
    *,
    encoding: Encoding = Encoding.MSGPACK,
) -> AsyncIterator[MessageStream | None]:
    """Yield a stream to ``host:port`` on a connection of its own.

    Yields None if the other side can't be reached.
    """
    host, _, port = address.rpartition(":")
    async with (
        connect(transport, host, int(port), encoding=encoding) as connection,
        connection.open(method) as stream,
    ):
        yield stream
