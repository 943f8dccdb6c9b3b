"""HTTP/1.1 client for many small requests to one server.

It carries whole requests and whole responses over h11 and trio, like
:mod:`rhubarbfield.httpserver`. A client library with a pool costs more than twice
the processor time of a request (``docs/design/platform.md``), which a controller
pays for each order and each view.
"""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

import h11
import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.types import MAX_PORT

READ_BYTES = 65_536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class HttpReply(msgspec.Struct, frozen=True):
    """A whole response.

    Attributes
    ----------
    status, body
        Status code and content.
    """

    status: int
    body: bytes


class HttpFailure(msgspec.Struct, frozen=True):
    """A request without a whole response; the server may have carried it out.

    Attributes
    ----------
    detail
        What went wrong.
    was_sent
        Whether any of the request was sent. If not, the server has done nothing.
    """

    detail: str
    was_sent: bool = True


class _Progress:
    """How far a request has come.

    Attributes
    ----------
    is_sending
        Whether any of it may have been sent.
    """

    def __init__(self) -> None:
        self.is_sending = False


class HttpClient:
    """Sends requests to one server over a few connections that are kept open.

    Parameters
    ----------
    host, port
        Address of the server.
    max_connections
        Number of requests that may be in progress; further ones wait.
    connect_timeout
        Longest time to open a connection.
    keep_alive_expiry
        How long a connection without a request is kept.

    Raises
    ------
    ValueError
        If the port is out of range.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        max_connections: int,
        connect_timeout: timedelta,
        keep_alive_expiry: timedelta,
    ) -> None:
        if not 0 < port <= MAX_PORT:
            raise ValueError(f"port {port} is out of range")
        self._host = host
        self._port = port
        self._free = trio.Semaphore(max_connections)
        self._connect_timeout = connect_timeout
        self._keep_alive_expiry = keep_alive_expiry.total_seconds()
        self._idle: deque[_Connection] = deque()
        self._connections: set[_Connection] = set()
        self._is_closed = False

    async def post(
        self,
        path: str,
        content: bytes,
        headers: Iterable[tuple[str, str]],
        timeout: timedelta,
    ) -> Result[HttpReply, HttpFailure]:
        """Send a ``POST`` request and return the response.

        Parameters
        ----------
        path
            Path of the request.
        content, headers
            Content, and headers besides ``Host`` and ``Content-Length``.
        timeout
            Longest time for the whole exchange.
        """
        request = h11.Request(
            method="POST",
            target=path,
            headers=[
                ("Host", f"{self._host}:{self._port}"),
                ("Content-Length", str(len(content))),
                *headers,
            ],
        )
        progress = _Progress()
        detail = "no response in time"
        with trio.move_on_after(timeout.total_seconds()):
            try:
                await self._wait_for_turn()
                try:
                    return Success(await self._exchange(request, content, progress))
                finally:
                    self._free.release()
            except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
                detail = repr(error)
            except trio.ClosedResourceError:
                detail = "the client was closed"
        return Failure(HttpFailure(detail, progress.is_sending))

    async def close(self) -> None:
        """Close all connections; requests in progress fail."""
        self._is_closed = True
        self._idle.clear()
        for connection in list(self._connections):
            await self._discard(connection)

    async def _wait_for_turn(self) -> None:
        try:
            self._free.acquire_nowait()
        except trio.WouldBlock:
            await self._free.acquire()

    async def _exchange(
        self, request: h11.Request, content: bytes, progress: _Progress
    ) -> HttpReply:
        connection = await self._take_idle() or await self._connect()
        progress.is_sending = True
        try:
            reply = await connection.exchange(request, content)
        except BaseException:
            await self._discard(connection)
            raise
        if connection.may_continue and not self._is_closed:
            connection.idle_since = trio.current_time()
            self._idle.append(connection)
        else:
            await self._discard(connection)
        return reply

    async def _take_idle(self) -> _Connection | None:
        """Return the connection that was used last, or None; discard expired ones."""
        expired_before = trio.current_time() - self._keep_alive_expiry
        while self._idle and self._idle[0].idle_since < expired_before:
            await self._discard(self._idle.popleft())
        while self._idle:
            connection = self._idle.pop()
            if not connection.was_closed_by_peer():
                return connection
            await self._discard(connection)
        return None

    async def _connect(self) -> _Connection:
        with trio.move_on_after(self._connect_timeout.total_seconds()):
            stream = await trio.open_tcp_stream(self._host, self._port)
            connection = _Connection(stream)
            self._connections.add(connection)
            if self._is_closed:
                await self._discard(connection)
                raise trio.ClosedResourceError
            return connection
        raise TimeoutError("no connection in time")

    async def _discard(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        await trio.aclose_forcefully(connection.stream)


class _Connection:
    """An open connection.

    Attributes
    ----------
    stream
        The connection.
    idle_since
        Time in seconds, on trio's clock, at which the last response ended.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.idle_since = 0.0
        self._protocol = h11.Connection(h11.CLIENT)
        self._readable = select.poll()
        self._readable.register(stream.socket.fileno(), select.POLLIN)

    @property
    def may_continue(self) -> bool:
        """Whether the connection takes another request."""
        return self._protocol.our_state is h11.IDLE

    def was_closed_by_peer(self) -> bool:
        """Return whether the peer has closed the connection, or sent unasked."""
        return bool(self._readable.poll(0))

    async def exchange(self, request: h11.Request, content: bytes) -> HttpReply:
        """Send a request and return its response.

        Raises
        ------
        h11.RemoteProtocolError
            If the response is malformed, too large or cut short.
        """
        protocol = self._protocol
        parts = [
            protocol.send(event)
            for event in (request, h11.Data(data=content), h11.EndOfMessage())
        ]
        await self.stream.send_all(b"".join(part or b"" for part in parts))
        status = 0
        body = bytearray()
        while not isinstance(event := await self._receive_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise h11.RemoteProtocolError(
                        f"content exceeds {MAX_RESPONSE_BYTES} bytes"
                    )
        if protocol.our_state is protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
        return HttpReply(status, bytes(body))

    async def _receive_event(self) -> object:
        while (event := self._protocol.next_event()) is h11.NEED_DATA:
            self._protocol.receive_data(await self.stream.receive_some(READ_BYTES))
        if isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection was closed")
        return event
