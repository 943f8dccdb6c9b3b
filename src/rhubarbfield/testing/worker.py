"""A stand-in worker: speaks the protocol of workers, simulates their tasks.

It honours its lease by itself. Once the lease has lapsed it takes
checkpoints and holds its attempts, and goes on in place when the lease is
renewed. It never runs an attempt twice and refuses orders of old sessions.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from pathlib import Path

import msgspec
import trio

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.leases import HeldLease, Lease
from rhubarbfield.testing.attempts import TaskModel, make_seeded_task_model
from rhubarbfield.testing.observer import Observer, RecordingObserver, Runner
from rhubarbfield.testing.usage import LatencyModel, UsageReporter, measure_nothing
from rhubarbfield.testing.workload import Workload
from rhubarbfield.types import (
    AttemptId,
    Epoch,
    FailureDomain,
    Incarnation,
    RackName,
    WorkerId,
)
from rhubarbfield.workers.bounds import (
    Resources,
)
from rhubarbfield.workers.messages import (
    RenewLease,
    WorkerHello,
)
from rhubarbfield.workers.orders import (
    GoToLeader,
    LeaseGranted,
    Order,
    ReportsCommitted,
    SessionOpened,
)
from rhubarbfield.workers.streams import (
    Connect,
    ConnectionRefused,
    MessageStream,
    WatchedStream,
    use_stream,
)

logger = logging.getLogger(__name__)

DRIFT = 0.01
SEND_DEADLINE = timedelta(seconds=2)
CONNECT_DEADLINE = timedelta(seconds=2)
ADMISSION_LIMIT = timedelta(seconds=3)
SILENCE_RENEWALS = 2.3
RECONNECT_DELAY = timedelta(milliseconds=250)
REFUSED_DELAY = timedelta(seconds=5)
USAGE_LAG = timedelta(seconds=10)


class WorkerProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Who a stand-in worker is and what it has."""

    worker: WorkerId
    rack: RackName
    domain: FailureDomain
    capacity: Resources


class StandInWorker:
    """One process of a stand-in worker.

    Parameters
    ----------
    profile
        Who it is.
    incarnation
        New for each process of the same worker.
    connect
        Opens a stream to a controller.
    addresses
        The controllers of its domain, as ``host:port``.
    clock
        The worker's clock.
    rng
        For the order of addresses and for delays.
    work
        The truth about tasks.
    observer
        Told of everything that runs.
    latency
        What requests of services take on this worker.
    drift
        The drift of the lease terms.

    Attributes
    ----------
    lease
        Its lease.
    workload
        Its attempts, and how it treats them.
    frozen_until
        The worker does nothing before its clock reads this.
    """

    def __init__(
        self,
        profile: WorkerProfile,
        *,
        incarnation: Incarnation,
        connect: Connect,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random,
        task_model: TaskModel,
        observer: Observer,
        latency: LatencyModel = measure_nothing,
        drift: float = DRIFT,
    ) -> None:
        self.frozen_until = timedelta()
        self.lease = HeldLease(drift=drift, clock=clock)
        self._profile = profile
        self._incarnation = incarnation
        self._connect = connect
        self._addresses = list(addresses)
        self._clock = clock
        self._rng = rng
        self._observer = observer
        self._runner = Runner(worker=profile.worker, incarnation=incarnation)
        self.workload = Workload(
            self._runner,
            profile.capacity,
            lease=self.lease,
            clock=clock,
            task_model=task_model,
            observer=observer,
            wait_while_frozen=self._wait_while_frozen,
        )
        self._usage = UsageReporter(clock, latency, lag=USAGE_LAG)
        self._session = Epoch(0)
        self._scope = trio.CancelScope()

    def freeze(self, duration: timedelta) -> None:
        """Stall every step of the worker from now on for ``duration``."""
        self.frozen_until = self._clock.monotonic() + duration

    def kill(self) -> None:
        """End the process at once; all it had in memory is gone."""
        self._scope.cancel()
        self._observer.record_process_end(self._runner)

    async def run(self) -> None:
        """Work until cancelled or dead."""
        with self._scope:
            async with trio.open_nursery() as tasks:
                self.workload.run_in(tasks)
                await self._keep_session()

    async def _keep_session(self) -> None:
        address = self._rng.choice(self._addresses)
        while True:
            end = await use_stream(
                self._connect,
                address,
                self._hold_session,
                connect_deadline=CONNECT_DEADLINE,
            )
            goes_to = end.address if isinstance(end, GoToLeader) else ""
            delay = RECONNECT_DELAY
            if isinstance(end, ConnectionRefused):
                delay = REFUSED_DELAY
                name = self._profile.worker
                logger.error("worker-refused worker=%s reason=%s", name, end.reason)
            await self._pause(delay)
            address = goes_to or self._rng.choice(self._addresses)

    async def _pause(self, delay: timedelta) -> None:
        await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
        await self._wait_while_frozen()

    async def _hold_session(self, plain: MessageStream) -> msgspec.Struct:
        stream = WatchedStream(
            plain,
            send_deadline=SEND_DEADLINE,
            silence_limit=ADMISSION_LIMIT,
        )
        await self._wait_while_frozen()
        hello = WorkerHello(
            worker=self._profile.worker,
            rack=self._profile.rack,
            domain=self._profile.domain,
            incarnation=self._incarnation,
            number=self.lease.request(),
            capacity=self._profile.capacity,
            running=self.workload.describe(),
        )
        await stream.send(hello)
        opened = await stream.receive()
        await self._wait_while_frozen()
        if not isinstance(opened, SessionOpened) or opened.epoch <= self._session:
            return opened
        self._session = opened.epoch
        self._usage.interval = timedelta(seconds=opened.usage_seconds)
        self.workload.keep_only(opened.keep)
        return await self._serve(stream, timedelta(seconds=opened.renew_seconds))

    async def _serve(
        self, stream: WatchedStream, renew_interval: timedelta
    ) -> msgspec.Struct:
        ends: list[msgspec.Struct] = []
        async with trio.open_nursery() as nursery:

            async def run_part(part: Callable[[], Awaitable[msgspec.Struct]]) -> None:
                ends.append(await part())
                nursery.cancel_scope.cancel()

            nursery.start_soon(run_part, lambda: self._receive(stream, renew_interval))
            nursery.start_soon(run_part, lambda: self._renew(stream, renew_interval))
            nursery.start_soon(run_part, lambda: self._send_reports(stream))
            nursery.start_soon(run_part, lambda: self._send_usage(stream))
        return ends[0]

    async def _receive(
        self, stream: WatchedStream, renew_interval: timedelta
    ) -> msgspec.Struct:
        while True:
            message = await stream.receive(renew_interval * SILENCE_RENEWALS)
            await self._wait_while_frozen()
            match message:
                case LeaseGranted():
                    self._take_lease(message)
                case Order():
                    self.workload.apply_order(message, self._session)
                case ReportsCommitted():
                    self.workload.forget_committed(message.reports)
                case _:
                    return message

    async def _renew(
        self, stream: WatchedStream, interval: timedelta
    ) -> msgspec.Struct:
        while True:
            request = RenewLease(number=self.lease.request(), epoch=self._session)
            if not await stream.send(request):
                return request
            await self._clock.sleep(interval)
            await self._wait_while_frozen()

    async def _send_reports(self, stream: WatchedStream) -> msgspec.Struct:
        told: dict[AttemptId, int] = {}
        while True:
            await self.workload.changed.wait()
            await self._wait_while_frozen()
            for report in self.workload.collect_reports(told):
                if not await stream.send(report):
                    return report

    async def _send_usage(self, stream: WatchedStream) -> msgspec.Struct:
        while True:
            report = await self._usage.measure(self.workload.attempts)
            await self._wait_while_frozen()
            if not await stream.send(report):
                return report

    async def _wait_while_frozen(self) -> None:
        while (left := self.frozen_until - self._clock.monotonic()) > timedelta():
            await self._clock.sleep(left)

    def _take_lease(self, granted: LeaseGranted) -> None:
        lease = Lease(
            number=granted.number,
            epoch=granted.epoch,
            duration=timedelta(seconds=granted.duration_seconds),
        )
        self.lease.accept(lease)


async def run_worker(
    profile: WorkerProfile,
    *,
    connect: Connect,
    addresses: Sequence[str],
    seed: int = 0,
    record_file: Path | None = None,
) -> None:
    """Run a stand-in worker on the loop's clock until cancelled.

    Parameters
    ----------
    profile
        Who it is.
    connect
        Opens a stream to a controller.
    addresses
        The controllers of its domain, as ``host:port``.
    seed
        Of all its randomness, the truth about tasks included.
    record_file
        Where to write down what ran, for
        :func:`~rhubarbfield.testing.observer.judge_records`.
    """
    clock = TrioClock()
    observer = Observer()
    if record_file is not None:
        observer = RecordingObserver(record_file, clock)
    rng = random.Random(f"{seed}/{profile.worker}")
    worker = StandInWorker(
        profile,
        incarnation=Incarnation(secrets.token_hex(8)),
        connect=connect,
        addresses=addresses,
        clock=clock,
        rng=rng,
        task_model=make_seeded_task_model(seed),
        observer=observer,
    )
    await worker.run()
