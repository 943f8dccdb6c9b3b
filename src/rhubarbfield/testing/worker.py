"""A stand-in worker that speaks the workers' protocol and simulates their tasks.

It enforces its lease itself: once the lease has lapsed, it checkpoints and
holds its attempts, and continues them in place when the lease is renewed. It
never runs an attempt twice and refuses orders of old sessions.
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
    TimedStream,
    use_stream,
)

logger = logging.getLogger(__name__)

DRIFT = 0.01
SEND_TIMEOUT = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=2)
ADMISSION_TIMEOUT = timedelta(seconds=3)
SILENCE_TIMEOUT_RENEWALS = 2.3  # renewal intervals without a message
RECONNECT_DELAY = timedelta(milliseconds=250)
REFUSED_RECONNECT_DELAY = timedelta(seconds=5)
USAGE_LAG = timedelta(seconds=10)


class WorkerProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, location and capacity of a stand-in worker."""

    worker: WorkerId
    rack: RackName
    domain: FailureDomain
    capacity: Resources


class StandInWorker:
    """One process of a stand-in worker.

    Parameters
    ----------
    profile
        Identity, location and capacity of the worker.
    incarnation
        Unique to each process of the same worker.
    connect
        Opens a stream to a controller.
    addresses
        Addresses of the controllers of the worker's domain, as ``host:port``.
    clock
        The worker's clock.
    rng
        Random source for the choice of addresses and for delays.
    task_model
        Returns the actual behaviour of each task.
    observer
        Records all runs.
    latency
        Latency model of the services on this worker.
    drift
        Maximum relative clock drift in the lease terms.

    Attributes
    ----------
    lease
        The worker's lease.
    workload
        The worker's attempts.
    frozen_until
        Reading of the worker's clock until which the worker is frozen.
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
        """Pause every step of the worker for ``duration`` from now on."""
        self.frozen_until = self._clock.monotonic() + duration

    def kill(self) -> None:
        """End the process at once, and with it all its attempts."""
        self._scope.cancel()
        self._observer.record_process_end(self._runner)

    async def run(self) -> None:
        """Run attempts and sessions until cancelled or killed."""
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
                connect_timeout=CONNECT_TIMEOUT,
            )
            leader = end.address if isinstance(end, GoToLeader) else ""
            delay = RECONNECT_DELAY
            if isinstance(end, ConnectionRefused):
                delay = REFUSED_RECONNECT_DELAY
                name = self._profile.worker
                logger.error("worker-refused worker=%s reason=%s", name, end.reason)
            await self._pause(delay)
            address = leader or self._rng.choice(self._addresses)

    async def _pause(self, delay: timedelta) -> None:
        await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
        await self._wait_while_frozen()

    async def _hold_session(self, raw_stream: MessageStream) -> msgspec.Struct:
        stream = TimedStream(
            raw_stream,
            send_timeout=SEND_TIMEOUT,
            silence_timeout=ADMISSION_TIMEOUT,
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
        self, stream: TimedStream, renew_interval: timedelta
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
        self, stream: TimedStream, renew_interval: timedelta
    ) -> msgspec.Struct:
        while True:
            message = await stream.receive(renew_interval * SILENCE_TIMEOUT_RENEWALS)
            await self._wait_while_frozen()
            match message:
                case LeaseGranted():
                    self._accept_lease(message)
                case Order():
                    self.workload.apply_order(message, self._session)
                case ReportsCommitted():
                    self.workload.forget_committed(message.reports)
                case _:
                    return message

    async def _renew(self, stream: TimedStream, interval: timedelta) -> msgspec.Struct:
        while True:
            request = RenewLease(number=self.lease.request(), epoch=self._session)
            if not await stream.send(request):
                return request
            await self._clock.sleep(interval)
            await self._wait_while_frozen()

    async def _send_reports(self, stream: TimedStream) -> msgspec.Struct:
        reported_revisions: dict[AttemptId, int] = {}
        while True:
            await self.workload.changed.wait()
            await self._wait_while_frozen()
            for report in self.workload.collect_reports(reported_revisions):
                if not await stream.send(report):
                    return report

    async def _send_usage(self, stream: TimedStream) -> msgspec.Struct:
        while True:
            report = await self._usage.measure(self.workload.attempts)
            await self._wait_while_frozen()
            if not await stream.send(report):
                return report

    async def _wait_while_frozen(self) -> None:
        while (remaining := self.frozen_until - self._clock.monotonic()) > timedelta():
            await self._clock.sleep(remaining)

    def _accept_lease(self, granted: LeaseGranted) -> None:
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
        Identity, location and capacity of the worker.
    connect
        Opens a stream to a controller.
    addresses
        Addresses of the controllers of the worker's domain, as ``host:port``.
    seed
        Seed of all randomness, including the behaviour of tasks.
    record_file
        File to which runs are appended, for
        :func:`~rhubarbfield.testing.observer.find_violations`.
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
