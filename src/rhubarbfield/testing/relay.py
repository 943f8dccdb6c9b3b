"""A relay in front of a server that limits, counts and breaks connections."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import trio

CHUNK_BYTES = 65536


class RelayMode(StrEnum):
    """How the relay treats bytes that pass through it."""

    PASS = "pass"
    CUT_ANSWERS = "cut-answers"
    SILENT = "silent"


class Relay:
    """Forwards connections to a server, up to a limit.

    Parameters
    ----------
    limit
        Maximum number of open connections; further ones are closed at once.
    upstream_port
        Port of the server on loopback.

    Attributes
    ----------
    open
        Number of open connections.
    most_open
        Maximum number of connections that were open at the same time.
    over_limit
        Number of connections closed because of the limit.
    mode
        How bytes are treated, on open connections too.
    """

    def __init__(self, limit: int, upstream_port: int) -> None:
        self.mode = RelayMode.PASS
        self.open = 0
        self.most_open = 0
        self.over_limit = 0
        self._limit = limit
        self._upstream_port = upstream_port

    async def handle(self, client: trio.SocketStream) -> None:
        """Forward one connection until it closes."""
        if self.open >= self._limit:
            self.over_limit += 1
            await client.aclose()
            return
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await self._forward(client)
        except OSError:
            pass
        finally:
            self.open -= 1

    async def _forward(self, client: trio.SocketStream) -> None:
        upstream = await trio.open_tcp_stream("127.0.0.1", self._upstream_port)
        async with client, upstream, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(
                self._forward_bytes, client, upstream, scope, _keep_whole
            )
            nursery.start_soon(
                self._forward_bytes, upstream, client, scope, self._transform_answer
            )

    async def _forward_bytes(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
        transform: Callable[[bytes], bytes],
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.mode is RelayMode.SILENT:
                    continue
                transformed = transform(data)
                await sink.send_all(transformed)
                if len(transformed) < len(data):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    def _transform_answer(self, data: bytes) -> bytes:
        if self.mode is RelayMode.CUT_ANSWERS:
            return data[: len(data) // 2]
        return data


def _keep_whole(data: bytes) -> bytes:
    return data
