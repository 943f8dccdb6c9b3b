"""HTTP/1.1 server of daemons that handle many small requests.

It carries whole requests and whole responses over h11 and trio. A framework and
its server cost seven times the processor time of a request here and twice that of
a start (``docs/design/platform.md``), which a deployment pays in each daemon.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from functools import partial
from http import HTTPStatus

import h11
import trio

from rhubarbfield.containment import CONTAINED_ERRORS, FATAL_ERRORS, Unit, is_fatal
from rhubarbfield.httpserver.connection import Connection, RefusedError
from rhubarbfield.httpserver.messages import (
    OVERLOAD,
    Handler,
    HttpLimits,
    HttpRefusal,
    HttpRequest,
    HttpResponse,
    RefusalMaker,
    RefusalReason,
    make_refusal,
)
from rhubarbfield.intake import Holding, Intake
from rhubarbfield.waits import bind_when_free

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024


class HttpServer:
    """Serves one handler at several addresses until a stop.

    A malformed request is answered 400 and ends its connection; a handler that
    raises is logged and answered 500. Neither affects other connections. Only an
    error after which the process can't go on ends the server.

    Parameters
    ----------
    handler
        Answers requests; called concurrently, once at a time for each connection.
    limits
        Limits of connections.
    intake
        What the process holds of unfinished requests, shared with its other servers.
    refuse
        Makes the responses to requests that the handler does not see.
    cancels_handler
        Whether the handler is cancelled once the client has closed the connection.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        intake: Intake | None = None,
        *,
        refuse: RefusalMaker = make_refusal,
        cancels_handler: bool = False,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._intake = Intake() if intake is None else intake
        self._make_refusal = refuse
        self._cancels_handler = cancels_handler
        self._draining = False
        self._drain_timeout = limits.drain_timeout
        self._idle: set[trio.CancelScope] = set()

    async def serve(
        self,
        binds: Sequence[str],
        wait_for_stop: Callable[[], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``wait_for_stop`` returns and the last request is answered.

        Parameters
        ----------
        binds
            ``host:port`` of each address. One in use is waited for; each is served
            only once those before it are.
        wait_for_stop
            Returns when no more connections are to be accepted.
        task_status
            Started with the bound addresses, including chosen ports; some are
            missing after a stop that came before they were free.
        """
        async with AsyncExitStack() as listeners, trio.open_nursery() as connections:
            bound: list[str] = []
            is_listening = trio.Event()
            async with trio.open_nursery() as accepting:

                async def accept_all() -> None:
                    for bind in binds:
                        for listener in await _listen(bind):
                            await listeners.enter_async_context(listener)
                            bound.append(_format_address(listener))
                            accepting.start_soon(self._accept, listener, connections)
                    is_listening.set()
                    task_status.started(bound)

                accepting.start_soon(accept_all)
                await wait_for_stop()
                accepting.cancel_scope.cancel()
            if not is_listening.is_set():
                task_status.started(bound)
            await listeners.aclose()
            self._draining = True
            connections.cancel_scope.deadline = (
                trio.current_time() + self._drain_timeout.total_seconds()
            )
            for scope in list(self._idle):
                scope.cancel()

    def limit_drain(self, timeout: timedelta) -> None:
        """Set how long requests in progress may take after a stop, before it is over.

        Parameters
        ----------
        timeout
            Replaces ``drain_timeout`` of the limits.
        """
        self._drain_timeout = timeout

    async def _accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        await trio.serve_listeners(
            self._serve_connection, [listener], handler_nursery=connections
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        holding = self._intake.admit()
        if holding is None:
            await trio.aclose_forcefully(stream)
            return
        connection = Connection(stream, self._limits, self._intake, holding)
        try:
            await self._serve_requests(connection, holding)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("http-connection-lost")
        except Exception as error:
            if is_fatal(error):
                raise
            logger.exception("http-connection-failed")
        finally:
            await trio.aclose_forcefully(stream)
            holding.close()

    async def _serve_requests(self, connection: Connection, holding: Holding) -> None:
        try:
            while (request := await self._receive(connection, holding)) is not None:
                response = await self._answer(connection, request)
                if response is None:
                    return
                if not await connection.send(response, close=self._draining):
                    return
        except h11.RemoteProtocolError as error:
            status = HTTPStatus(error.error_status_hint)
            refusal = HttpRefusal(RefusalReason.MALFORMED, status)
            await self._refuse(connection, refusal, error)
        except RefusedError as error:
            await self._refuse(connection, error.refusal, error)

    async def _receive(
        self, connection: Connection, holding: Holding
    ) -> HttpRequest | None:
        """Return the next request, or None if the connection is to be closed."""
        head: h11.Request | None = None
        request: HttpRequest | None = None
        with trio.CancelScope() as waiting:
            holding.begin(waiting.cancel)
            self._idle.add(waiting)
            if self._draining:
                waiting.cancel()
            try:
                head = await connection.receive_head()
            finally:
                self._idle.discard(waiting)
            if head is not None:
                request = await connection.receive_rest(head)
        if not holding.is_given_up:
            holding.keep()
            return request
        if head is not None and self._intake.has_room:
            raise RefusedError(OVERLOAD, "the process holds too much unfinished")
        return None

    async def _answer(
        self, connection: Connection, request: HttpRequest
    ) -> HttpResponse | None:
        """Return the response, or None if the client has left."""
        if not self._cancels_handler:
            return await self._handle(request)
        response: HttpResponse | None = None
        async with trio.open_nursery() as nursery:

            async def cancel_at_end() -> None:
                await connection.wait_until_closed()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_at_end)
            response = await self._handle(request)
            nursery.cancel_scope.cancel()
        return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except FATAL_ERRORS:
            raise
        except Exception:
            logger.exception(
                "http-request-failed method=%s path=%r", request.method, request.path
            )
            CONTAINED_ERRORS.labels(Unit.REQUEST.value).inc()
            return HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR)

    async def _refuse(
        self, connection: Connection, refusal: HttpRefusal, error: Exception
    ) -> None:
        if refusal.reason in (RefusalReason.MALFORMED, RefusalReason.TOO_LARGE):
            logger.warning("http-request-malformed reason=%s", error)
        else:
            logger.warning("http-request-refused reason=%s", error)
        try:
            await connection.send(self._make_refusal(refusal), close=True)
            await connection.discard_rest()
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            logger.debug("http-refusal-not-sent")


async def _listen(bind: str) -> list[trio.SocketListener]:
    """Return listeners at ``bind`` once it is free; a name may have several."""
    host, _, port = bind.rpartition(":")
    return await bind_when_free(
        bind,
        partial(trio.open_tcp_listeners, int(port), host=host, backlog=LISTEN_BACKLOG),
    )


def _format_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"
