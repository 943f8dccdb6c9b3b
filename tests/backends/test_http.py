"""Tests of the HTTP adapter for backend servers, over real connections."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import time
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio
from returns.result import Result

from rhubarbfield.backends import HttpBackends
from rhubarbfield.clock import TrioClock
from rhubarbfield.routing import (
    BackendAnswer,
    BackendTarget,
    DeliveryState,
    DispatchId,
    ExchangeFailure,
    FailureReason,
    Header,
    Lease,
    LiveSettings,
    RoutingSettings,
)
from rhubarbfield.testing.backend import (
    Misbehaviour,
    StandInBackend,
    StandInSettings,
    serve_backend,
)
from rhubarbfield.types import BackendServerId, Epoch
from tests.routing.fakes import MS, SECOND, make_request, scenario

POST = {"method": "POST", "idempotent": False}
MOST_STEPS = 100


class AdapterFixture:
    """The adapter and the port of a backend server."""

    def __init__(self, port: int, answer_limit: int = 1 << 20) -> None:
        self.clock = TrioClock()
        settings = RoutingSettings(answer_limit=answer_limit)
        self.backends = HttpBackends(self.clock, LiveSettings(settings))
        self.port = port

    async def exchange(
        self, timeout: timedelta = SECOND, target: Any = None, **changes: Any
    ) -> Result[BackendAnswer, ExchangeFailure]:
        fields: dict[str, Any] = {
            "server": BackendServerId("s1"),
            "address": f"127.0.0.1:{self.port}",
            "epoch": Epoch(2),
            "dispatch_id": DispatchId("2.1"),
            "lease": Lease(self.clock.monotonic() + timedelta(minutes=1)),
            "idle_connections": 2,
        }
        made = BackendTarget(**(fields | (target or {})))
        return await self.backends.exchange(made, make_request(**changes), timeout)


class HttpBackendsTest(unittest.TestCase):
    def run_with_server(
        self, scenario: Callable[[AdapterFixture, StandInBackend], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                settings = StandInSettings(mean_latency=5 * MS)
                stand_in = await nursery.start(serve_backend, settings)
                await scenario(AdapterFixture(stand_in.port), stand_in)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def assert_failed(
        self,
        result: Result[BackendAnswer, ExchangeFailure],
        delivery: DeliveryState,
        reason: FailureReason,
    ) -> None:
        failure = result.failure()
        self.assertEqual((failure.delivery, failure.reason), (delivery, reason))

    @scenario("run_with_server")
    async def test_idle_connections_serve_idempotent_requests_only(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        for _ in range(3):
            (await fixture.exchange()).unwrap()
        self.assertEqual(stand_in.observe().most_connections, 1)
        (await fixture.exchange(**POST)).unwrap()
        self.assertEqual(stand_in.observe().most_connections, 2)

    @scenario("run_with_server")
    async def test_a_connection_that_timed_out_is_closed(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        stand_in.misbehave(Misbehaviour.HANG)
        result = await fixture.exchange(100 * MS)
        self.assert_failed(result, DeliveryState.SENT, FailureReason.TIMEOUT)
        await trio.sleep(0.1)
        self.assertEqual(stand_in.observe().connections, 0)
        self.assertEqual(stand_in.observe().running, 1)

    @scenario("run_with_server")
    async def test_each_misbehaviour_has_its_failure(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        failures = {
            Misbehaviour.CUT_SHORT: (DeliveryState.SENT, FailureReason.CUT_SHORT),
            Misbehaviour.SILENT: (DeliveryState.SENT, FailureReason.TIMEOUT),
            Misbehaviour.REFUSE: (
                DeliveryState.REFUSED_BY_SERVER,
                FailureReason.REFUSED,
            ),
        }
        for misbehaviour, (delivery, reason) in failures.items():
            stand_in.misbehave(misbehaviour)
            for changes in ({}, POST):
                result = await fixture.exchange(**changes)
                self.assert_failed(result, delivery, reason)

    @scenario("run_with_server")
    async def test_a_lapsed_lease_sends_no_byte(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        lapsed = {"lease": Lease(fixture.clock.monotonic())}
        result = await fixture.exchange(target=lapsed)
        self.assert_failed(result, DeliveryState.NOT_SENT, FailureReason.LEASE_LAPSED)
        self.assertEqual(stand_in.observe().runs_by_request, {})

    @scenario("run_with_server")
    async def test_an_older_epoch_is_refused_by_the_server(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        (await fixture.exchange()).unwrap()
        result = await fixture.exchange(target={"epoch": Epoch(1)})
        self.assert_failed(
            result, DeliveryState.REFUSED_BY_SERVER, FailureReason.REFUSED
        )
        self.assertEqual(stand_in.observe().stale_epochs, 1)

    @scenario("run_with_server")
    async def test_a_forgotten_server_keeps_no_connection(
        self, fixture: AdapterFixture, stand_in: StandInBackend
    ) -> None:
        (await fixture.exchange()).unwrap()
        await fixture.backends.forget(BackendServerId("s1"))
        await trio.sleep(0.1)
        self.assertEqual(stand_in.observe().connections, 0)

    @scenario("run_with_server")
    async def test_a_refused_connection_counts_as_not_sent(
        self, fixture: AdapterFixture, _: StandInBackend
    ) -> None:
        result = await fixture.exchange(target={"address": "127.0.0.1:1"})
        self.assert_failed(result, DeliveryState.NOT_SENT, FailureReason.CONNECT)


# Prints the modules that the first exchange of a process imports.
FIRST_EXCHANGE = """
import sys
import trio
from tests.backends.test_http import AdapterFixture

before = set(sys.modules)
fixture = AdapterFixture(1)
trio.run(fixture.exchange)
print(*sorted(set(sys.modules) - before))
"""


class FirstExchangeTest(unittest.TestCase):
    def test_first_exchange_imports_nothing_within_its_time(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", FIRST_EXCHANGE],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(ended.stdout.split(), [])


class RawRequestTest(unittest.TestCase):
    def receive(self, **changes: Any) -> tuple[bytes, type[Exception] | None]:
        received: list[bytes] = []
        ended: list[type[Exception]] = []

        async def listen(stream: trio.SocketStream) -> None:
            try:
                while data := await stream.receive_some(65536):
                    received.append(data)
            except trio.BrokenResourceError as error:
                ended.append(type(error.__cause__))  # type: ignore[arg-type]

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, listen, 0)
                fixture = AdapterFixture(listeners[0].socket.getsockname()[1])
                await fixture.exchange(100 * MS, **changes)
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(run)
        return b"".join(received), ended[0] if ended else None

    def test_an_abandoned_request_is_not_delivered_later(self) -> None:
        _, ended = self.receive()
        self.assertIs(ended, ConnectionResetError)

    def test_headers_are_passed_on_unchanged(self) -> None:
        name = Header("X-Name", "Jo\xe3o")
        sent, _ = self.receive(headers=(name,), path="/a%2Fb?c=%C3%A3")
        self.assertIn("X-Name: Jo\xe3o\r\n".encode("latin-1").lower(), sent.lower())
        self.assertTrue(sent.startswith(b"GET /a%2Fb?c=%C3%A3 HTTP/1.1\r\n"))


class LoopHolder(trio.abc.Instrument):
    """Holds the loop once, before a chosen step of its tasks."""

    def __init__(self, step: int, held: timedelta) -> None:
        self.steps_left = step
        self._held = held

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.steps_left -= 1
        if self.steps_left == 0:
            time.sleep(self._held.total_seconds())


class HeldLoopTest(unittest.TestCase):
    def exchange(self, holder: LoopHolder) -> tuple[DeliveryState, bytes]:
        received: list[bytes] = []

        async def listen(stream: trio.SocketStream) -> None:
            with contextlib.suppress(trio.BrokenResourceError):
                while data := await stream.receive_some(65536):
                    received.append(data)

        async def run() -> DeliveryState:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, listen, 0)
                fixture = AdapterFixture(listeners[0].socket.getsockname()[1])
                trio.lowlevel.add_instrument(holder)
                result = await fixture.exchange(30 * MS, body=b"sander", **POST)
                trio.lowlevel.remove_instrument(holder)
                await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            return result.failure().delivery

        return trio.run(run), b"".join(received)

    def test_a_request_that_may_have_arrived_never_counts_as_not_sent(self) -> None:
        unsent = 0
        for step in range(1, MOST_STEPS):
            holder = LoopHolder(step, 40 * MS)
            delivery, received = self.exchange(holder)
            if holder.steps_left > 0:
                break
            if delivery is DeliveryState.NOT_SENT:
                unsent += 1
                self.assertEqual(received, b"", step)
        else:
            self.fail("the exchange takes too many steps")
        self.assertGreater(unsent, 0)


class RawAnswerTest(unittest.TestCase):
    def exchange(
        self, answer: bytes, **target: Any
    ) -> Result[BackendAnswer, ExchangeFailure]:
        async def respond(stream: trio.SocketStream) -> None:
            await stream.receive_some(65536)
            await stream.send_all(answer)
            await stream.aclose()

        async def run() -> Result[BackendAnswer, ExchangeFailure]:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, respond, 0)
                port = listeners[0].socket.getsockname()[1]
                fixture = AdapterFixture(port, answer_limit=10)
                result = await fixture.exchange(target=target)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(run)

    def assert_invalid(self, answer: bytes, reason: FailureReason) -> None:
        failure = self.exchange(b"HTTP/1.1 200 OK\r\n" + answer).failure()
        self.assertEqual(
            (failure.delivery, failure.reason), (DeliveryState.SENT, reason)
        )

    def test_a_truncated_answer_is_a_failure(self) -> None:
        self.assert_invalid(b"Content-Length: 9\r\n\r\nhalf", FailureReason.CUT_SHORT)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
        self.assert_invalid(chunked, FailureReason.CUT_SHORT)

    def test_an_answer_without_length_counts_only_if_announced(self) -> None:
        self.assert_invalid(b"\r\nhalf", FailureReason.UNBOUNDED)
        answer = b"HTTP/1.1 200 OK\r\n\r\nwhole"
        result = self.exchange(answer, answers_until_close=True)
        self.assertEqual(result.unwrap().body, b"whole")

    def test_an_answer_without_content_is_whole(self) -> None:
        answer = b"HTTP/1.1 204 No Content\r\nX-Name: Jo\xe3o\r\n\r\n"
        result = self.exchange(answer).unwrap()
        self.assertEqual((result.status, result.body), (204, b""))
        self.assertIn(Header("x-name", "Jo\xe3o"), result.headers)

    def test_an_answer_to_another_request_is_dropped(self) -> None:
        head = b"Rhubarbfield-Request-Id: r9\r\nContent-Length: 0\r\n\r\n"
        self.assert_invalid(head, FailureReason.MISMATCHED)

    def test_an_answer_above_the_limit_is_dropped(self) -> None:
        long = b"Content-Length: 11\r\n\r\n01234567890"
        self.assert_invalid(long, FailureReason.TOO_LARGE)
        chunked = b"Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n"
        self.assert_invalid(chunked, FailureReason.TOO_LARGE)
