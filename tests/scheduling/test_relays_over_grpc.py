"""Tests of relayed calls over real loopback connections."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.groups import REPLICATION_LINK
from rhubarbfield.peering import (
    Credentials,
    GrpcTransport,
    MessageStream,
    StreamMethod,
    open_bridge,
)
from rhubarbfield.peering.ports import StreamHandler
from rhubarbfield.scheduling.ports import (
    OtherLife,
    PaceOrder,
    Refusal,
    WorkerAddress,
)
from rhubarbfield.scheduling.relay import WorkerRelay
from rhubarbfield.scheduling.relay_messages import RELAY_STREAM
from rhubarbfield.scheduling.relayed_calls import RelayedCalls
from rhubarbfield.testing.scheduling_fleet import StandInFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import InstanceName, WorkerId
from tests.scheduling.relaying_controllers import RecordedCalls
from tests.scheduling.relays import make_start, make_stop, make_view_request

HOST, PORT = "127.0.0.41", 17761
TRANSPORT = GrpcTransport(Credentials("a secret"))
TIMEOUT_SECONDS = 10
BURST = 500


class Loopback:
    """A leader and one controller on a loopback address."""

    def __init__(self) -> None:
        clock = TrioClock()
        self.fleet = StandInFleet(clock)
        self.worker = StandInWorker(WorkerId("w1"), clock, duration=None)
        self.fleet.add(self.worker)
        self.to = WorkerAddress(self.worker.worker, self.worker.address)
        self.direct = RecordedCalls(self.fleet)
        self.made = RecordedCalls(self.fleet)
        self.relay = WorkerRelay(self.made, clock, lambda: False)
        self.relayed = RelayedCalls(
            self.direct,
            list_relays=lambda: [InstanceName(HOST)],
            locate=lambda name: (name, PORT),
            transport=TRANSPORT,
            clock=clock,
            order_timeout=timedelta(seconds=1),
        )

    @asynccontextmanager
    async def serve(
        self, method: StreamMethod, handler: StreamHandler
    ) -> AsyncIterator[None]:
        """Let the other controller serve one stream, and connect to it."""

        async def serve(task_status: trio.TaskStatus[None]) -> None:
            await TRANSPORT.serve(
                HOST, PORT, streams={method: handler}, task_status=task_status
            )

        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            await nursery.start(self.relayed.run)
            yield
            nursery.cancel_scope.cancel()


def run(body: Callable[[Loopback], Awaitable[None]]) -> None:
    async def check() -> None:
        with trio.fail_after(TIMEOUT_SECONDS):
            async with open_bridge():
                await body(Loopback())

    trio.run(check)


class RelaysOverGrpcTest(unittest.TestCase):
    def test_orders_and_results_are_carried(self) -> None:
        run(self._check_orders)

    async def _check_orders(self, loopback: Loopback) -> None:
        calls, to, order = loopback.relayed, loopback.to, make_start()
        pace = PaceOrder(task=order.task, run=order.run, percent=50, term=order.term)
        async with loopback.serve(RELAY_STREAM, loopback.relay.serve):
            self.assertIsInstance(await calls.start(to, order), Success)
            self.assertIsInstance(await calls.pace(to, pace), Success)
            view = (await calls.view(to, make_view_request())).unwrap()
            self.assertEqual([each.task for each in view.active], [order.task])
            self.assertIsInstance(await calls.stop(to, make_stop()), Success)
            view = (await calls.view(to, make_view_request())).unwrap()
            self.assertEqual([end.task for end in view.ends], [order.task])
            refused = (await calls.start(to, order)).failure()
            self.assertEqual(refused.refusal, Refusal.SUPERSEDED)
            other = WorkerAddress(WorkerId("w0"), to.address)
            self.assertEqual(await calls.start(other, order), Failure(OtherLife()))
        self.assertEqual([each for _, each in loopback.made.orders][:2], [order, pace])
        self.assertEqual(loopback.direct.orders, [])

    def test_burst_of_calls_is_answered(self) -> None:
        run(self._check_burst)

    async def _check_burst(self, loopback: Loopback) -> None:
        answered = 0

        async def view() -> None:
            nonlocal answered
            result = await loopback.relayed.view(loopback.to, make_view_request())
            answered += isinstance(result, Success)

        async with (
            loopback.serve(RELAY_STREAM, loopback.relay.serve),
            trio.open_nursery() as nursery,
        ):
            for _ in range(BURST):
                nursery.start_soon(view)
        self.assertEqual(answered, BURST)
        self.assertEqual(len(loopback.made.orders), BURST)

    def test_controller_without_the_stream_is_no_relay(self) -> None:
        run(self._check_earlier_version)

    async def _check_earlier_version(self, loopback: Loopback) -> None:
        async def ignore(stream: MessageStream) -> None:
            await stream.receive()

        async with loopback.serve(REPLICATION_LINK, ignore):
            for _ in range(2):
                result = await loopback.relayed.start(loopback.to, make_start())
                self.assertIsInstance(result, Success)
                await trio.sleep(0.6)
        self.assertEqual(len(loopback.direct.orders), 2)

    def test_port_that_never_answers_is_no_relay(self) -> None:
        run(self._check_silent_port)

    async def _check_silent_port(self, loopback: Loopback) -> None:
        (listener,) = await trio.open_tcp_listeners(PORT, host=HOST)
        async with listener, trio.open_nursery() as nursery:
            await nursery.start(loopback.relayed.run)
            result = await loopback.relayed.start(loopback.to, make_start())
            self.assertIsInstance(result, Success)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
            cancelled_at = trio.current_time()
        self.assertLess(trio.current_time() - cancelled_at, 1)
        self.assertEqual(len(loopback.direct.orders), 1)


if __name__ == "__main__":
    unittest.main()
