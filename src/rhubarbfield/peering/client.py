"""gRPC connections to other processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from typing import Any

import trio
from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from returns.result import Failure, Result, Success
from trio_asyncio import aio_as_trio

from rhubarbfield.containment import Unit, contain
from rhubarbfield.peering._grpclib import (
    CLOSE_TIMEOUT,
    TRANSPORT_ERRORS,
    GrpcStream,
    contain_faults,
)
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.ports import (
    CALL_TIMEOUT,
    CONNECT_TIMEOUT,
    CallFailure,
    CallFailureKind,
    CallMethod,
    MessageStream,
    StreamMethod,
    UnsendableMessageError,
)


class GrpcConnection:
    """Connection to one address, opened on first use.

    Parameters
    ----------
    channel
        grpclib channel.
    credentials
        Credentials that this process presents.
    """

    def __init__(self, channel: Channel, credentials: Credentials) -> None:
        self._channel = channel
        self._metadata = credentials.make_metadata()

    async def call(
        self,
        method: CallMethod,
        request: Any,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> Result[Any, CallFailure]:
        """Send ``request`` and return its reply within ``timeout``."""
        is_connected = False
        with trio.move_on_after(timeout.total_seconds()) as scope:
            failure = await self._connect(min(connect_timeout, CONNECT_TIMEOUT))
            if failure is not None:
                return Failure(failure)
            is_connected = True
            return await self._call(method, request)
        assert scope.cancelled_caught
        if not is_connected:
            detail = f"not connected in {timeout}"
            return Failure(CallFailure(CallFailureKind.UNREACHABLE, detail))
        return Failure(CallFailure(CallFailureKind.TIMEOUT, f"no reply in {timeout}"))

    async def _connect(
        self, timeout: timedelta = CONNECT_TIMEOUT
    ) -> CallFailure | None:
        """Connect, so that a failure before any request was sent is recognised."""
        try:
            with trio.fail_after(max(0.0, timeout.total_seconds())):
                await aio_as_trio(self._channel.__connect__)()
        except trio.TooSlowError:
            detail = f"not connected in {timeout}"
            return CallFailure(CallFailureKind.UNREACHABLE, detail)
        except (OSError, ValueError, OverflowError) as error:
            # The latter two are of hosts and ports that none can have.
            return CallFailure(CallFailureKind.UNREACHABLE, str(error))
        except Exception as error:
            contain(Unit.CONNECTION, error)
            return CallFailure(CallFailureKind.UNREACHABLE, repr(error))
        if not self._channel._connected:
            detail = "the connection was closed at once"
            return CallFailure(CallFailureKind.UNREACHABLE, detail)
        return None

    async def _call(self, method: CallMethod, request: Any) -> Result[Any, CallFailure]:
        remote: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            self._channel, method.path, method.request, method.reply
        )
        try:
            reply = await aio_as_trio(remote)(request, metadata=self._metadata)
        except UnsendableMessageError as error:
            return Failure(CallFailure(CallFailureKind.UNSENDABLE, error.message))
        except GRPCError as error:
            refused = error.status in (Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT)
            kind = CallFailureKind.REFUSED if refused else CallFailureKind.TIMEOUT
            return Failure(CallFailure(kind, str(error.message)))
        except TRANSPORT_ERRORS as error:
            return Failure(CallFailure(CallFailureKind.TIMEOUT, str(error)))
        except Exception as error:
            contain(Unit.CONNECTION, error)
            return Failure(CallFailure(CallFailureKind.TIMEOUT, repr(error)))
        return Success(reply)

    @asynccontextmanager
    async def open(self, method: StreamMethod) -> AsyncIterator[MessageStream | None]:
        """Open a stream, or yield None if the other side can't be reached.

        The stream is reset when the block is left for any reason.
        """
        if await self._connect() is not None:
            yield None
            return
        remote: StreamStreamMethod[Any, Any] = StreamStreamMethod(
            self._channel, method.path, method.inbound, method.outbound
        )
        stream = GrpcStream(remote.open(metadata=self._metadata))
        async with _run_stream(stream):
            yield stream

    def close(self) -> None:
        """Close the connection; calls in progress fail."""
        self._channel.close()


@asynccontextmanager
async def _run_stream(stream: GrpcStream) -> AsyncIterator[None]:
    """Keep the grpclib stream open, and contain errors of the connection."""
    grpclib_stream = stream._stream
    await aio_as_trio(grpclib_stream.__aenter__)()
    try:
        # Send the headers first, as one task may receive before another sends.
        with contain_faults():
            await aio_as_trio(grpclib_stream.send_request)()
        async with stream.pump():
            yield
            await stream.close()
    finally:
        # A peer that reads nothing would let each of them wait.
        for end in (
            grpclib_stream.cancel,
            partial(grpclib_stream.__aexit__, None, None, None),
        ):
            with (
                trio.move_on_after(CLOSE_TIMEOUT.total_seconds(), shield=True),
                contain_faults(),
            ):
                await aio_as_trio(end)()
