"""A relay in front of a server that counts connections and can break them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import trio

CHUNK_BYTES = 65536


class RelayMode(StrEnum):
    """What the relay does with the bytes it is given."""

    PASS = "pass"
    CUT_ANSWERS = "cut-answers"
    SILENT = "silent"


class Relay:
    """Passes connections on to a server, up to a limit.

    Parameters
    ----------
    limit
        The most connections open at once; more are closed at once.
    upstream_port
        The port of the server on loopback.

    Attributes
    ----------
    open
        How many connections are open.
    most_open
        The most that were open at a time.
    over_limit
        How many were closed because of the limit.
    mode
        What happens to the bytes; it holds for open connections too.
    """

    def __init__(self, limit: int, upstream_port: int) -> None:
        self.mode = RelayMode.PASS
        self.open = 0
        self.most_open = 0
        self.over_limit = 0
        self._limit = limit
        self._upstream_port = upstream_port

    async def handle(self, client: trio.SocketStream) -> None:
        """Carry one connection to its end."""
        if self.open >= self._limit:
            self.over_limit += 1
            await client.aclose()
            return
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await self._carry(client)
        except OSError:
            pass
        finally:
            self.open -= 1

    async def _carry(self, client: trio.SocketStream) -> None:
        upstream = await trio.open_tcp_stream("127.0.0.1", self._upstream_port)
        async with client, upstream, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._pump, client, upstream, scope, _pass_whole)
            nursery.start_soon(self._pump, upstream, client, scope, self._shape)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
        shape: Callable[[bytes], bytes],
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.mode is RelayMode.SILENT:
                    continue
                shaped = shape(data)
                await sink.send_all(shaped)
                if len(shaped) < len(data):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    def _shape(self, data: bytes) -> bytes:
        if self.mode is RelayMode.CUT_ANSWERS:
            return data[: len(data) // 2]
        return data


def _pass_whole(data: bytes) -> bytes:
    return data
