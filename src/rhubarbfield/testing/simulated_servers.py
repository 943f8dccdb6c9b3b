"""Backend servers in memory, with their own counts of requests."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.announcements import Announce
from rhubarbfield.clock import Clock
from rhubarbfield.routing import (
    BackendAnswer,
    BackendTarget,
    CallerRequest,
    DeliveryState,
    ExchangeFailure,
    FailureReason,
)
from rhubarbfield.testing.memory_transport import SimulatedNetwork
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Incarnation,
    RequestId,
    ServiceName,
)

PORT = 1
MEAN_RUN_TIME = timedelta(milliseconds=50)
STATUS_OK = 200


class ServerCounts(msgspec.Struct):
    """Counts of a backend server.

    Attributes
    ----------
    running, most_running
        Requests in progress now, and their maximum.
    over_slots
        Requests that arrived while all slots were taken.
    runs
        How often each request was run.
    keyed_runs
        How often each tenant's idempotency key was run.
    after_leaving
        Requests that arrived more than 2 s after the server began to leave.
    """

    running: int = 0
    most_running: int = 0
    over_slots: int = 0
    runs: Counter[RequestId] = msgspec.field(default_factory=Counter)
    keyed_runs: Counter[str] = msgspec.field(default_factory=Counter)
    after_leaving: int = 0


class SimulatedServer:
    """One backend server.

    Parameters
    ----------
    server, service, host, slots
        Values that the server announces.
    nursery
        Runs the requests, also after their senders are cancelled.
    rng
        Random source of the run times.
    mean_run_time
        Mean of the run times, which are distributed exponentially.

    Attributes
    ----------
    leaving_since
        Time of the loop at which the server began to leave; None before.
    """

    def __init__(
        self,
        server: BackendServerId,
        *,
        service: ServiceName,
        host: str,
        slots: int,
        nursery: trio.Nursery,
        rng: random.Random,
        mean_run_time: timedelta = MEAN_RUN_TIME,
    ) -> None:
        self.server = server
        self.host = host
        self.counts = ServerCounts()
        self.state = BackendServerState.SERVING
        self.leaving_since: float | None = None
        self._service = service
        self._slots = slots
        self._nursery = nursery
        self._rng = rng
        self._mean_run_time = mean_run_time
        self._epoch = 0
        self._incarnation = Incarnation(f"{rng.getrandbits(64):x}")

    def describe(self) -> Announce:
        """Return the current announcement."""
        return Announce(
            number=0,
            server=self.server,
            service=self._service,
            incarnation=self._incarnation,
            host=self.host,
            port=PORT,
            slots=self._slots,
            connections=self._slots * 2,
            state=self.state,
            running=self.counts.running,
        )

    def leave(self) -> None:
        """Change the state to leaving: the server accepts no new requests."""
        self.state = BackendServerState.LEAVING
        self.leaving_since = trio.current_time()

    def begin(self, request: CallerRequest, epoch: int) -> trio.Event | None:
        """Start a request and return the event of its end; None if ``epoch`` is old."""
        if epoch < self._epoch:
            return None
        self._epoch = epoch
        counts = self.counts
        counts.over_slots += counts.running >= self._slots
        counts.running += 1
        counts.most_running = max(counts.most_running, counts.running)
        counts.runs[request.request_id] += 1
        if request.idempotency_key is not None:
            counts.keyed_runs[f"{request.tenant}/{request.idempotency_key}"] += 1
        if self.leaving_since is not None:
            counts.after_leaving += trio.current_time() > self.leaving_since + 2
        done = trio.Event()
        self._nursery.start_soon(self._run, done)
        return done

    async def _run(self, done: trio.Event) -> None:
        mean_seconds = self._mean_run_time.total_seconds()
        await trio.sleep(self._rng.expovariate(1 / mean_seconds))
        self.counts.running -= 1
        done.set()


class SimulatedBackends:
    """The :class:`~rhubarbfield.routing.BackendPort` of one entry.

    Parameters
    ----------
    network, host
        The network, and the entry's host in it.
    servers
        Backend servers by host; shared by all entries.
    clock
        The entry's clock.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        host: str,
        servers: dict[str, SimulatedServer],
        clock: Clock,
    ) -> None:
        self._network = network
        self._host = host
        self._servers = servers
        self._clock = clock

    async def exchange(
        self, server: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        """Send ``request`` and return the complete answer within ``timeout``."""
        delivery = DeliveryState.NOT_SENT
        with trio.move_on_after(timeout.total_seconds()):
            target = server.address.rpartition(":")[0]
            await self._network.delay_message()
            if self._network.is_cut(self._host, target):
                await trio.sleep_forever()
            found = self._servers.get(target)
            if found is None:
                return _fail(delivery, FailureReason.CONNECT)
            if not server.lease.is_valid(self._clock.monotonic()):
                return _fail(delivery, FailureReason.LEASE_LAPSED)
            done = found.begin(request, server.epoch)
            if done is None:
                return _fail(DeliveryState.REFUSED_BY_SERVER, FailureReason.REFUSED)
            delivery = DeliveryState.SENT
            if not await self._wait_for_end(target, done):
                return _fail(delivery, FailureReason.CUT_SHORT)
            await self._network.delay_message()
            if self._network.is_cut(target, self._host):
                await trio.sleep_forever()
            body = f"{request.request_id}".encode()
            return Success(BackendAnswer(status=STATUS_OK, body=body))
        return _fail(delivery, FailureReason.TIMEOUT)

    async def _wait_for_end(self, target: str, done: trio.Event) -> bool:
        """Wait for the end of a request; False if the connection is reset first."""
        async with trio.open_nursery() as nursery:

            async def wait_until_reset() -> None:
                await self._network.wait_until_reset(self._host, target)
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_until_reset)
            await done.wait()
            nursery.cancel_scope.cancel()
        return done.is_set()

    async def forget(self, server: BackendServerId) -> None:
        """Close the idle connections to ``server``."""


def _fail(
    delivery: DeliveryState, reason: FailureReason
) -> Result[BackendAnswer, ExchangeFailure]:
    return Failure(ExchangeFailure(delivery=delivery, reason=reason))
