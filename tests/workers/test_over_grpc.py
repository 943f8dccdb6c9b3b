"""Tests of worker sessions over gRPC on loopback, through a faulty proxy."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import trio
import trio_asyncio

from rhubarbfield.clock import TrioClock
from rhubarbfield.leases import LeaseTerms
from rhubarbfield.peering import (
    Credentials,
    Encoding,
    GrpcTransport,
    StreamMethod,
    dial,
)
from rhubarbfield.testing.attempts import make_seeded_task_model
from rhubarbfield.testing.observer import Observer
from rhubarbfield.testing.proxy import FaultProxy
from rhubarbfield.testing.worker import StandInWorker, WorkerProfile
from rhubarbfield.testing.worklog import ControllerLog, MemoryWorkLog
from rhubarbfield.types import (
    FailureDomain,
    Incarnation,
    RackName,
    TaskId,
    WorkerId,
)
from rhubarbfield.workers import (
    ConnectionRefused,
    FromWorker,
    Resources,
    ToWorker,
    WorkerSessions,
    WorkerSessionSettings,
)
from rhubarbfield.workers.streams import Message
from tests.workers.fleet import UsageRecorder

LOOPBACK = "127.0.0.1"
TRANSPORT = GrpcTransport(Credentials(secret="test"))
METHOD = StreamMethod("/rhubarbfield.Workers/Session", FromWorker, ToWorker)
W1 = WorkerId("w1")
connect = partial(dial, TRANSPORT, method=METHOD, encoding=Encoding.JSON)
SETTINGS = WorkerSessionSettings(
    lease=LeaseTerms(duration=timedelta(seconds=8), drift=0.01),
    renew_interval=timedelta(milliseconds=300),
    silence_timeout=timedelta(milliseconds=700),
    send_timeout=timedelta(milliseconds=500),
    sweep_interval=timedelta(milliseconds=100),
)


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.02)


async def find_port() -> int:
    (listener,) = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    return int(port)


class BadHello(Message, frozen=True, kw_only=True, tag="worker-hello"):
    worker: str


class OverGrpcTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log, self.observer = MemoryWorkLog(), Observer()

    def run_served(
        self, check: Callable[[trio.Nursery, WorkerSessions, int], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            sessions = WorkerSessions(
                SETTINGS,
                clock=TrioClock(),
                log=ControllerLog(self.log),
                observations=UsageRecorder(),
            )
            async with trio.open_nursery() as nursery:
                port = await find_port()
                serve = partial(
                    TRANSPORT.serve,
                    encoding=Encoding.JSON,
                    streams={METHOD: sessions.serve},
                )
                await nursery.start(serve, LOOPBACK, port)
                nursery.start_soon(sessions.sweep)
                await check(nursery, sessions, port)
                nursery.cancel_scope.cancel()

        trio_asyncio.run(run)

    def test_a_bad_message_is_answered_with_its_field(self) -> None:
        answers: list[object] = []

        async def check(_: trio.Nursery, __: WorkerSessions, port: int) -> None:
            async with connect(f"{LOOPBACK}:{port}") as stream:
                assert stream is not None
                await stream.send(BadHello(worker=""))
                with trio.move_on_after(5):
                    answers.append(await stream.receive())

        self.run_served(check)
        (answer,) = answers
        assert isinstance(answer, ConnectionRefused), answer
        self.assertIn("$.worker", answer.reason)

    def test_a_task_survives_connections_that_go_silent(self) -> None:
        log, observer = self.log, self.observer

        async def check(
            nursery: trio.Nursery, sessions: WorkerSessions, port: int
        ) -> None:
            proxy = FaultProxy(LOOPBACK, port)
            proxy_port = await nursery.start(proxy.serve, LOOPBACK)
            worker = make_worker(f"{LOOPBACK}:{proxy_port}", observer)
            nursery.start_soon(worker.run)
            await wait_until(worker.lease.holds)
            attempt = log.place(W1, TaskId("t1"), resources=Resources(cores=1))
            for directions in ({}, {"to_server": False}, {"to_client": False}):
                epoch = worker.lease.epoch
                proxy.blackhole_all(**directions)
                await wait_until(lambda before=epoch: worker.lease.epoch > before)
            await wait_until(lambda: log.attempts[attempt].ended)

        self.run_served(check)
        self.assertEqual([r.state.value for r in log.reports][-1], "succeeded")
        self.assertEqual(observer.violations, [])
        self.assertEqual(len({span.attempt for span in observer.spans}), 1)


def make_worker(address: str, observer: Observer) -> StandInWorker:
    run_time = timedelta(seconds=5)
    return StandInWorker(
        WorkerProfile(
            worker=W1,
            rack=RackName("r1"),
            domain=FailureDomain("d1"),
            capacity=Resources(cores=8, memory_mb=8000),
        ),
        incarnation=Incarnation("1"),
        connect=connect,
        addresses=[address],
        clock=TrioClock(),
        rng=random.Random(1),
        task_model=make_seeded_task_model(1, shortest=run_time, longest=run_time),
        observer=observer,
    )
