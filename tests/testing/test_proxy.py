"""Tests of the proxy that injects network faults, over loopback."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbfield.testing.proxy import FaultProxy

LOOPBACK = "127.0.0.1"
REPLY_TIMEOUT_SECONDS = 0.3


async def echo(stream: trio.SocketStream) -> None:
    async for chunk in stream:
        await stream.send_all(chunk)


async def request_echo(stream: trio.SocketStream, data: bytes) -> bytes | None:
    """Return the reply of the echo server; None if there is none in time."""
    with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
        await stream.send_all(data)
        return await stream.receive_some(64)
    return None


class FaultProxyTest(unittest.TestCase):
    def run_proxy(self, check: Callable[[FaultProxy, int], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, echo, listeners)
                proxy = FaultProxy(LOOPBACK, port)
                proxy_port = await nursery.start(proxy.serve, LOOPBACK)
                await check(proxy, proxy_port)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_open_connections_are_blackholed_while_new_ones_work(self) -> None:
        async def check(proxy: FaultProxy, port: int) -> None:
            for direction in ("to_server", "to_client"):
                async with await trio.open_tcp_stream(LOOPBACK, port) as old:
                    self.assertEqual(await request_echo(old, b"one"), b"one")
                    proxy.blackhole_all(**{direction: True, _reverse(direction): False})
                    self.assertIsNone(await request_echo(old, b"two"))
                    async with await trio.open_tcp_stream(LOOPBACK, port) as new:
                        self.assertEqual(await request_echo(new, b"three"), b"three")

        self.run_proxy(check)

    def test_connections_are_cut_and_refused(self) -> None:
        async def check(proxy: FaultProxy, port: int) -> None:
            async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
                self.assertEqual(await request_echo(stream, b"one"), b"one")
                proxy.accepting = False
                proxy.cut_all()
                self.assertEqual(await stream.receive_some(64), b"")
            async with await trio.open_tcp_stream(LOOPBACK, port) as refused:
                self.assertEqual(await refused.receive_some(64), b"")

        self.run_proxy(check)

    def test_one_connection_is_delayed(self) -> None:
        async def check(proxy: FaultProxy, port: int) -> None:
            async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
                self.assertEqual(await request_echo(stream, b"one"), b"one")
                proxy.connections[0].delay = timedelta(
                    seconds=2 * REPLY_TIMEOUT_SECONDS
                )
                self.assertIsNone(await request_echo(stream, b"two"))
                async with await trio.open_tcp_stream(LOOPBACK, port) as other:
                    self.assertEqual(await request_echo(other, b"three"), b"three")

        self.run_proxy(check)


def _reverse(direction: str) -> str:
    return "to_client" if direction == "to_server" else "to_server"
