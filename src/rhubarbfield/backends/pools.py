"""One pool of connections for each backend server."""

from __future__ import annotations

import socket
import ssl
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx
import trio

from rhubarbfield.routing.ports import BackendTarget
from rhubarbfield.types import BackendServerId

IDLE_SECONDS = 4.0
# Closing a connection drops what its other end hasn't received, so that a
# request that was given up on can't be delivered once a cut has healed.
DROP_UNSENT = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class _Pool:
    def __init__(
        self, address: str, idle_connections: int, context: ssl.SSLContext
    ) -> None:
        self.address = address
        self.idle_connections = idle_connections
        self.transport = httpx.AsyncHTTPTransport(
            verify=context,
            trust_env=False,
            socket_options=[DROP_UNSENT],
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=idle_connections,
                keepalive_expiry=IDLE_SECONDS,
            ),
        )
        self.users = 0
        self.retired = False

    def fits(self, server: BackendTarget) -> bool:
        """Say whether the pool has the address and size of ``server``."""
        return (
            self.address == server.address
            and self.idle_connections == server.idle_connections
        )


class PoolRegistry:
    """The pools of all backend servers that were sent requests.

    A pool whose backend server was given up, or moved, is closed once the
    requests in it have ended.
    """

    def __init__(self) -> None:
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._pools: dict[BackendServerId, _Pool] = {}

    @asynccontextmanager
    async def use(
        self, server: BackendTarget, *, fresh: bool
    ) -> AsyncIterator[httpx.AsyncHTTPTransport]:
        """Lend the pool of ``server``, or one of a single connection if ``fresh``."""
        if fresh:
            pool = _Pool(server.address, 0, self._context)
            pool.retired = True
        else:
            pool = await self._find(server)
        pool.users += 1
        try:
            yield pool.transport
        finally:
            pool.users -= 1
            await _close_if_unused(pool)

    async def close(self, server: BackendServerId) -> None:
        """Close the pool of ``server`` once no request uses it."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.retired = True
            await _close_if_unused(pool)

    async def close_all(self) -> None:
        """Close every pool once no request uses it."""
        for server in list(self._pools):
            await self.close(server)

    async def _find(self, server: BackendTarget) -> _Pool:
        pool = self._pools.get(server.server)
        if pool is not None and pool.fits(server):
            return pool
        made = _Pool(server.address, server.idle_connections, self._context)
        self._pools[server.server] = made
        if pool is not None:
            pool.retired = True
            await _close_if_unused(pool)
        return made


async def _close_if_unused(pool: _Pool) -> None:
    if pool.retired and not pool.users:
        with trio.CancelScope(shield=True):
            await pool.transport.aclose()
