"""Tests of the HTTP client, over loopback sockets."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.httpclient import HttpClient, HttpFailure, HttpReply

TIMEOUT = timedelta(seconds=5)
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSING_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
UNTIL_END_REPLY = b"HTTP/1.1 200 OK\r\n\r\nok"
CUT_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
OK = Success(HttpReply(200, b"ok"))


class Peer:
    """A server that answers each request with the next of its replies.

    Attributes
    ----------
    replies
        Bytes sent for each request, on any connection; the last one is repeated.
    delay
        Wait before each reply, in seconds.
    requests
        Requests that were received.
    connections
        Number of connections that were accepted, and of those that are open.
    """

    def __init__(self, *replies: bytes, delay: float = 0.0) -> None:
        self.replies = list(replies)
        self.delay = delay
        self.requests: list[bytes] = []
        self.accepted = 0
        self.open = 0
        self.most_open = 0
        self.streams: list[trio.SocketStream] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        self.streams.append(stream)
        try:
            while request := await self.receive(stream):
                self.requests.append(request)
                await trio.sleep(self.delay)
                reply = self.replies[0]
                if len(self.replies) > 1:
                    self.replies.pop(0)
                await stream.send_all(reply)
                if reply != REPLY:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open -= 1
            await trio.aclose_forcefully(stream)

    async def receive(self, stream: trio.SocketStream) -> bytes:
        data = b""
        while not data.endswith(b"body"):
            part = await stream.receive_some()
            if not part:
                return b""
            data += part
        return data


class HttpClientTest(unittest.TestCase):
    def run_with(
        self,
        peer: Peer,
        check: Callable[[HttpClient], Awaitable[None]],
        keep_alive_expiry: timedelta = TIMEOUT,
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, peer.serve, 0, host="127.0.0.1")
                )
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient(
                    "127.0.0.1",
                    port,
                    max_connections=2,
                    connect_timeout=TIMEOUT,
                    keep_alive_expiry=keep_alive_expiry,
                )
                with trio.fail_after(20):
                    await check(client)
                await client.close()
                nursery.cancel_scope.cancel()

        trio.run(run)

    async def post(
        self, client: HttpClient, timeout: timedelta = TIMEOUT
    ) -> Result[HttpReply, HttpFailure]:
        return await client.post("/p", b"body", [("X-Name", "value")], timeout)

    def test_a_request_is_sent_whole_and_its_connection_is_used_again(self) -> None:
        peer = Peer(REPLY)

        async def check(client: HttpClient) -> None:
            for _ in range(3):
                self.assertEqual(await self.post(client), OK)

        self.run_with(peer, check)
        self.assertEqual(peer.accepted, 1)
        self.assertEqual(len(peer.requests), 3)
        head, _, body = peer.requests[0].partition(b"\r\n\r\n")
        first, *headers = head.split(b"\r\n")
        self.assertEqual((first, body), (b"POST /p HTTP/1.1", b"body"))
        self.assertIn(b"X-Name: value", headers)
        self.assertIn(b"Content-Length: 4", headers)

    def test_requests_beyond_the_limit_of_connections_wait(self) -> None:
        peer = Peer(REPLY, delay=0.05)
        results = []

        async def send(client: HttpClient) -> None:
            results.append(await self.post(client))

        async def check(client: HttpClient) -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(send, client)

        self.run_with(peer, check)
        self.assertEqual(results, [OK] * 6)
        self.assertEqual(peer.most_open, 2)

    def test_a_connection_that_the_peer_closes_is_not_used_again(self) -> None:
        for reply in (CLOSING_REPLY, UNTIL_END_REPLY):
            peer = Peer(reply, REPLY)

            async def check(client: HttpClient) -> None:
                self.assertEqual(await self.post(client), OK)
                self.assertEqual(await self.post(client), OK)

            self.run_with(peer, check)
            self.assertEqual(peer.accepted, 2)

    def test_a_connection_that_was_closed_while_idle_is_replaced(self) -> None:
        peer = Peer(REPLY)

        async def check(client: HttpClient) -> None:
            self.assertEqual(await self.post(client), OK)
            # Not send_eof, since the server's task may not have left send_all yet.
            peer.streams[0].socket.shutdown(trio.socket.SHUT_WR)
            await trio.sleep(0.05)
            self.assertEqual(await self.post(client), OK)

        self.run_with(peer, check)
        self.assertEqual(peer.accepted, 2)

    def test_an_expired_connection_is_not_used(self) -> None:
        peer = Peer(REPLY)

        async def check(client: HttpClient) -> None:
            self.assertEqual(await self.post(client), OK)
            await trio.sleep(0.1)
            self.assertEqual(await self.post(client), OK)

        self.run_with(peer, check, keep_alive_expiry=timedelta(milliseconds=50))
        self.assertEqual(peer.accepted, 2)

    def test_a_response_cut_short_or_malformed_is_a_failure(self) -> None:
        for reply in (CUT_REPLY, b"", b"SMTP\r\n\r\n"):
            peer = Peer(reply, REPLY)

            async def check(client: HttpClient) -> None:
                self.assertIsInstance(await self.post(client), Failure)
                self.assertEqual(await self.post(client), OK)

            self.run_with(peer, check)

    def test_a_late_response_is_not_taken_for_that_of_the_next_request(self) -> None:
        late = REPLY.replace(b"ok", b"no")
        peer = Peer(late, REPLY, delay=0.2)

        async def check(client: HttpClient) -> None:
            result = await self.post(client, timedelta(milliseconds=50))
            self.assertEqual(result, Failure(HttpFailure("no response in time")))
            await trio.sleep(0.3)
            self.assertEqual(await self.post(client), OK)

        self.run_with(peer, check)
        self.assertEqual(peer.accepted, 2)

    def test_request_without_a_connection_was_not_sent(self) -> None:
        async def check() -> None:
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))  # bound and not listening: refused
                client = HttpClient(
                    "127.0.0.1",
                    unused.getsockname()[1],
                    max_connections=1,
                    connect_timeout=TIMEOUT,
                    keep_alive_expiry=TIMEOUT,
                )
                failure = (await self.post(client)).failure()
            self.assertFalse(failure.was_sent, failure.detail)

        trio.run(check)

    def test_closing_fails_requests_in_progress_and_leaves_no_connection(self) -> None:
        peer = Peer(REPLY, delay=5.0)
        results = []

        async def send(client: HttpClient) -> None:
            results.append(await self.post(client))

        async def check(client: HttpClient) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, client)
                await trio.sleep(0.05)
                with trio.fail_after(1):
                    await client.close()

        self.run_with(peer, check)
        self.assertEqual(results, [Failure(HttpFailure("the client was closed"))])

    def test_nobody_listens(self) -> None:
        async def check() -> None:
            client = HttpClient(
                "127.0.0.1",
                1,
                max_connections=1,
                connect_timeout=TIMEOUT,
                keep_alive_expiry=TIMEOUT,
            )
            self.assertIsInstance(await self.post(client), Failure)

        trio.run(check)

    def test_a_port_out_of_range_is_refused(self) -> None:
        for port in (0, 65_536):
            with self.assertRaisesRegex(ValueError, f"port {port} is out of range"):
                HttpClient(
                    "127.0.0.1",
                    port,
                    max_connections=1,
                    connect_timeout=TIMEOUT,
                    keep_alive_expiry=TIMEOUT,
                )


if __name__ == "__main__":
    unittest.main()
