"""HTTP/1.1 server of daemons that handle many small requests.

It carries whole requests and whole responses over h11 and trio. A framework and
its server cost seven times the processor time of a request here and twice that of
a start (``docs/design/platform.md``), which a deployment pays in each daemon.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from urllib.parse import unquote

import h11
import msgspec
import trio

from rhubarbfield.containment import CONTAINED_ERRORS, FATAL_ERRORS, Unit
from rhubarbfield.waits import bind_when_free

logger = logging.getLogger(__name__)

READ_BYTES = 65_536
LISTEN_BACKLOG = 1024
DISCARD_TIMEOUT = timedelta(seconds=1)
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was read whole.

    Attributes
    ----------
    method
        Method, in capitals.
    path
        Path with its percent-encoding decoded, without the query.
    headers
        Header values by name in lower case; of repeated headers, the last one.
    body
        Content.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True):
    """A whole response.

    Attributes
    ----------
    status, body, content_type
        Status and content.
    headers
        Further headers. ``Connection: close`` ends the connection after the
        response.
    """

    status: HTTPStatus
    body: bytes = b""
    content_type: str = TEXT_TYPE
    headers: Mapping[str, str] = {}


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of connections.

    Attributes
    ----------
    body_bytes, header_bytes
        Largest content and headers of a request.
    idle_timeout
        Longest wait for more bytes of a request, for the next request, and for a
        client to read a response.
    drain_timeout
        How long requests in progress may take after a stop was requested.
    """

    body_bytes: int = 262_144
    header_bytes: int = 16_384
    idle_timeout: timedelta = timedelta(seconds=15)
    drain_timeout: timedelta = timedelta(seconds=2)


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
    """

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._draining = False
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
                trio.current_time() + self._limits.drain_timeout.total_seconds()
            )
            for scope in list(self._idle):
                scope.cancel()

    async def _accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        await trio.serve_listeners(
            self._serve_connection, [listener], handler_nursery=connections
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream, self._limits)
        try:
            while (request := await self._receive(connection)) is not None:
                response = await self._answer(request)
                if not await connection.send(response, close=self._draining):
                    return
        except h11.RemoteProtocolError as error:
            await self._refuse(connection, error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("http-connection-lost")
        except FATAL_ERRORS:
            raise
        except Exception:
            logger.exception("http-connection-failed")
        finally:
            await trio.aclose_forcefully(stream)

    async def _receive(self, connection: _Connection) -> HttpRequest | None:
        """Return the next request, or None if the connection is to be closed."""
        with trio.CancelScope() as idle:
            self._idle.add(idle)
            if self._draining:
                idle.cancel()
            try:
                head = await connection.receive_head()
            finally:
                self._idle.discard(idle)
        if idle.cancelled_caught or head is None:
            return None
        return await connection.receive_rest(head)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
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
        self, connection: _Connection, error: h11.RemoteProtocolError
    ) -> None:
        logger.warning("http-request-malformed reason=%s", error)
        status = HTTPStatus(error.error_status_hint)
        try:
            await connection.send(HttpResponse(status), close=True)
            await connection.discard_rest()
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            logger.debug("http-refusal-not-sent")


class _Connection:
    """Messages of one connection."""

    def __init__(self, stream: trio.SocketStream, limits: HttpLimits) -> None:
        self._stream = stream
        self._limits = limits
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._method = ""

    async def receive_head(self) -> h11.Request | None:
        """Return the head of the next request, or None at the end."""
        event = await self._receive_event()
        return event if isinstance(event, h11.Request) else None

    async def receive_rest(self, head: h11.Request) -> HttpRequest | None:
        """Return the request that ``head`` begins, or None if it is cut short.

        Raises
        ------
        h11.RemoteProtocolError
            If the request is malformed or too large.
        """
        self._method = head.method.decode("ascii")
        body = bytearray()
        if self._protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._protocol.send(proceed) or b"")
        while isinstance(event := await self._receive_event(), h11.Data):
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise h11.RemoteProtocolError(
                    f"content exceeds {self._limits.body_bytes} bytes",
                    error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                )
        if not isinstance(event, h11.EndOfMessage):
            return None
        return HttpRequest(
            method=self._method,
            path=_decode_path(head.target),
            headers={
                name.decode("ascii"): value.decode("latin-1")
                for name, value in head.headers
            },
            body=bytes(body),
        )

    async def send(self, response: HttpResponse, *, close: bool) -> bool:
        """Send a response; return whether the connection takes another request."""
        content = response.body
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(content))),
            *response.headers.items(),
        ]
        if close and "Connection" not in response.headers:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        message = [self._protocol.send(head)]
        if content and self._method != "HEAD":
            message.append(self._protocol.send(h11.Data(data=content)))
        message.append(self._protocol.send(h11.EndOfMessage()))
        with trio.move_on_after(self._limits.idle_timeout.total_seconds()) as scope:
            await self._stream.send_all(b"".join(part or b"" for part in message))
        states = {self._protocol.our_state, self._protocol.their_state}
        if scope.cancelled_caught or states != {h11.DONE}:
            return False
        self._protocol.start_next_cycle()
        return True

    async def discard_rest(self) -> None:
        """Read what the peer still sends, so that a reset does not lose a response."""
        await self._stream.send_eof()
        with trio.move_on_after(DISCARD_TIMEOUT.total_seconds()):
            while await self._stream.receive_some(READ_BYTES):
                pass

    async def _receive_event(self) -> object:
        """Return the next event, or None if none comes in time."""
        while (event := self._protocol.next_event()) is h11.NEED_DATA:
            with trio.move_on_after(self._limits.idle_timeout.total_seconds()):
                self._protocol.receive_data(await self._stream.receive_some(READ_BYTES))
                continue
            return None
        return event


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


def _decode_path(target: bytes) -> str:
    """Return the decoded path of a request target, also of an absolute one."""
    text = target.decode("ascii", errors="replace").partition("?")[0]
    if not text.startswith("/"):
        text = "/" + text.partition("://")[2].partition("/")[2]
    return unquote(text)
