"""Connection pools, one for each backend server."""

from __future__ import annotations

import encodings.idna  # noqa: F401  (or the first request imports it)
import socket
import ssl
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore  # noqa: F401  (or the first request imports it)
import httpx
import trio

from rhubarbfield.routing.ports import BackendTarget
from rhubarbfield.types import BackendServerId

KEEPALIVE_SECONDS = 4.0
# Closing a connection discards data that the other end has not received, so that
# an abandoned request can't be delivered after a network partition has healed.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class _Pool:
    def __init__(
        self, address: str, idle_connections: int, context: ssl.SSLContext
    ) -> None:
        self.address = address
        self.idle_connections = idle_connections
        self.transport = httpx.AsyncHTTPTransport(
            verify=context,
            trust_env=False,
            socket_options=[RESET_ON_CLOSE],
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=idle_connections,
                keepalive_expiry=KEEPALIVE_SECONDS,
            ),
        )
        self.users = 0
        self.retired = False

    def matches(self, target: BackendTarget) -> bool:
        """Return whether the pool has the address and size of ``target``."""
        return (
            self.address == target.address
            and self.idle_connections == target.idle_connections
        )


class PoolRegistry:
    """The connection pools of all backend servers that were sent requests.

    When a backend server is given up or its address or number of idle
    connections changes, its pool is closed once the requests in it have ended.
    """

    def __init__(self) -> None:
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._pools: dict[BackendServerId, _Pool] = {}

    @asynccontextmanager
    async def use(
        self, target: BackendTarget, *, dedicated: bool
    ) -> AsyncIterator[httpx.AsyncHTTPTransport]:
        """Provide the pool of ``target``, or one for this request if ``dedicated``."""
        if dedicated:
            pool = _Pool(target.address, 0, self._context)
            pool.retired = True
        else:
            pool = await self._find(target)
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

    async def _find(self, target: BackendTarget) -> _Pool:
        pool = self._pools.get(target.server)
        if pool is not None and pool.matches(target):
            return pool
        new_pool = _Pool(target.address, target.idle_connections, self._context)
        self._pools[target.server] = new_pool
        if pool is not None:
            pool.retired = True
            await _close_if_unused(pool)
        return new_pool


async def _close_if_unused(pool: _Pool) -> None:
    if pool.retired and not pool.users:
        with trio.CancelScope(shield=True):
            await pool.transport.aclose()
