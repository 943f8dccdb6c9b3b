"""A TCP proxy that injects network faults into connections."""

from __future__ import annotations

from datetime import timedelta

import trio

CHUNK_BYTES = 65536


class ProxiedConnection:
    """One connection through a proxy and its injected faults.

    Attributes
    ----------
    number
        Serial number among the connections of the proxy, from 0.
    delay
        Delay of each chunk of bytes.
    to_server_open, to_client_open
        Whether bytes are forwarded in that direction; if not they are read and
        dropped without an error at either end.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.delay = timedelta()
        self.to_server_open = True
        self.to_client_open = True
        self._scope = trio.CancelScope()

    def blackhole(self, *, to_server: bool = True, to_client: bool = True) -> None:
        """Drop bytes without an error from now on, in one or both directions."""
        self.to_server_open = self.to_server_open and not to_server
        self.to_client_open = self.to_client_open and not to_client

    def cut(self) -> None:
        """Close the connection at both ends."""
        self._scope.cancel()

    async def forward(
        self, client: trio.SocketStream, server: trio.SocketStream
    ) -> None:
        """Forward bytes until one end closes or the connection is cut."""
        with self._scope:
            async with client, server, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_bytes, client, server, True)
                nursery.start_soon(self._forward_bytes, server, client, False)

    async def _forward_bytes(
        self, source: trio.SocketStream, target: trio.SocketStream, to_server: bool
    ) -> None:
        try:
            while chunk := await source.receive_some(CHUNK_BYTES):
                await trio.sleep(self.delay.total_seconds())
                if self._is_open(to_server):
                    await target.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        # A blackholed direction hides the close of one end from the other, too.
        if self._is_open(to_server):
            self._scope.cancel()

    def _is_open(self, to_server: bool) -> bool:
        return self.to_server_open if to_server else self.to_client_open


class FaultProxy:
    """Forwards TCP connections to a server and injects faults on request.

    Parameters
    ----------
    host, port
        Address of the server behind the proxy.

    Attributes
    ----------
    accepting
        Whether new connections are forwarded; if not they are closed.
    delay
        Delay of each chunk of bytes on new connections.
    connections
        Open connections.
    """

    def __init__(self, host: str, port: int) -> None:
        self.accepting = True
        self.delay = timedelta()
        self.connections: list[ProxiedConnection] = []
        self._host = host
        self._port = port
        self._connection_count = 0

    async def serve(
        self,
        host: str,
        port: int = 0,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled.

        Parameters
        ----------
        host, port
            Address to listen on; port 0 takes any free port.
        task_status
            Receives the port once connections are accepted.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve_client, listeners)

    def blackhole_all(self, *, to_server: bool = True, to_client: bool = True) -> None:
        """Blackhole every open connection; new ones work."""
        for connection in self.connections:
            connection.blackhole(to_server=to_server, to_client=to_client)

    def cut_all(self) -> None:
        """Close every open connection; new ones are accepted."""
        for connection in list(self.connections):
            connection.cut()

    async def _serve_client(self, client: trio.SocketStream) -> None:
        if not self.accepting:
            await client.aclose()
            return
        try:
            server = await trio.open_tcp_stream(self._host, self._port)
        except OSError:
            await client.aclose()
            return
        connection = ProxiedConnection(self._connection_count)
        connection.delay = self.delay
        self._connection_count += 1
        self.connections.append(connection)
        try:
            await connection.forward(client, server)
        finally:
            self.connections.remove(connection)
