"""Fakes for the ports of the request path, with counts of their own."""

from __future__ import annotations

import functools
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import Any

import trio
import trio.testing
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.records import (
    BeginRequest,
    ClearRequest,
    FinishRequest,
    RecordState,
    omit_large_answer,
    record_commands,
    translate_begin_reply,
)
from rhubarbfield.routing import (
    BackendAnswer,
    BackendGrant,
    BackendTarget,
    BeginReply,
    CallerRequest,
    DeliveryState,
    DispatchId,
    ExchangeFailure,
    FailureReason,
    LiveSettings,
    OwnedServers,
    PeerEntry,
    RecordFailure,
    RecordFailureReason,
    Refusal,
    Router,
    ServerReport,
)
from rhubarbfield.types import (
    BackendServerId,
    Epoch,
    FailureDomain,
    IdempotencyKey,
    InstanceName,
    RequestClass,
    RequestId,
    ServiceName,
    Tenant,
)

BOARD = ServiceName("board")
HOME = FailureDomain("home")
MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def run_virtual(test: Callable[[], Awaitable[None]]) -> None:
    """Run ``test`` on the virtual clock."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def scenario(runner: str) -> Callable[[Any], Callable[[Any], None]]:
    """Run the decorated test by the method ``runner`` of its test case."""

    def decorate(test: Any) -> Callable[[Any], None]:
        @functools.wraps(test)
        def run(case: Any) -> None:
            getattr(case, runner)(functools.partial(test, case))

        return run

    return decorate


def make_request(number: int = 0, **changes: Any) -> CallerRequest:
    fields: dict[str, Any] = {
        "request_id": RequestId(f"r{number}"),
        "tenant": Tenant("casa"),
        "service": BOARD,
        "request_class": RequestClass.INTERACTIVE,
        "method": "GET",
        "path": "/",
        "timeout": 10 * SECOND,
        "idempotent": True,
    }
    return CallerRequest(**(fields | changes))


def make_grant(clock: Clock, **changes: Any) -> BackendGrant:
    fields: dict[str, Any] = {
        "service": BOARD,
        "address": "127.0.0.1:1",
        "connections": 64,
        "epoch": Epoch(1),
        "valid_until": clock.monotonic() + timedelta(hours=1),
    }
    return BackendGrant(**(fields | changes))


class FakeServer:
    """A backend server that counts the requests it runs."""

    def __init__(self, name: str, slots: int, latency: timedelta = 100 * MS) -> None:
        self.id = BackendServerId(name)
        self.slots = slots
        self.latency = latency
        self.behaviour: Callable[[], str] = lambda: "answer"
        self.running: set[DispatchId] = set()
        self.most_running = 0
        self.epoch = 0
        self.leaving = False
        self.left_at: timedelta | None = None
        self.begun_after_leaving: list[RequestId] = []

    def report(self, counted_after: timedelta | None = None) -> ServerReport:
        return ServerReport(
            server=self.id,
            running=len(self.running),
            counted_after=counted_after,
            running_ids=frozenset(self.running),
        )


class FakeBackends:
    """Backend servers whose requests continue after their router has stopped."""

    def __init__(self, nursery: trio.Nursery, longest: timedelta) -> None:
        self.servers: dict[BackendServerId, FakeServer] = {}
        self.runs: Counter[RequestId] = Counter()
        self.runs_by_key: Counter[tuple[Tenant, IdempotencyKey]] = Counter()
        self._nursery = nursery
        self._longest = longest
        self._clock = TrioClock()

    def add(self, name: str, slots: int, latency: timedelta = 100 * MS) -> FakeServer:
        server = FakeServer(name, slots, latency)
        self.servers[server.id] = server
        return server

    async def forget(self, server: BackendServerId) -> None:
        await trio.lowlevel.checkpoint()

    async def exchange(
        self, target: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        server = self.servers[target.server]
        behaviour = server.behaviour()
        failure = await self._connect(server, target, behaviour, timeout)
        if failure is not None:
            return failure
        server.epoch = target.epoch
        self._begin(server, request)
        finished = trio.Event()
        self._nursery.start_soon(self._work, server, target, behaviour, finished)
        with trio.move_on_after(timeout.total_seconds()):
            if behaviour == "cut":
                await trio.sleep(0.01)
                return fail(DeliveryState.SENT, FailureReason.CUT_SHORT)
            await finished.wait()
            return Success(BackendAnswer(status=200, body=request.request_id.encode()))
        return fail(DeliveryState.SENT, FailureReason.TIMEOUT)

    async def _connect(
        self,
        server: FakeServer,
        target: BackendTarget,
        behaviour: str,
        timeout: timedelta,
    ) -> Failure[ExchangeFailure] | None:
        seconds = 2.5 if behaviour == "slow-connect" else 0.0005
        with trio.move_on_after(timeout.total_seconds()) as scope:
            await trio.sleep(seconds)
        if scope.cancelled_caught or behaviour == "unreachable":
            return fail(DeliveryState.NOT_SENT, FailureReason.CONNECT)
        if not target.lease.is_valid(self._clock.monotonic()):
            return fail(DeliveryState.NOT_SENT, FailureReason.LEASE_LAPSED)
        if target.epoch < server.epoch or behaviour == "refuse":
            return fail(DeliveryState.REFUSED_BY_SERVER, FailureReason.REFUSED)
        return None

    def _begin(self, server: FakeServer, request: CallerRequest) -> None:
        self.runs[request.request_id] += 1
        if request.idempotency_key is not None:
            self.runs_by_key[request.tenant, request.idempotency_key] += 1
        if server.left_at is not None:
            server.begun_after_leaving.append(request.request_id)

    async def _work(
        self,
        server: FakeServer,
        target: BackendTarget,
        behaviour: str,
        finished: trio.Event,
    ) -> None:
        server.running.add(target.dispatch_id)
        server.most_running = max(server.most_running, len(server.running))
        hanging = behaviour in {"hang", "cut"}
        duration = self._longest if hanging else min(server.latency, self._longest)
        await trio.sleep(duration.total_seconds())
        server.running.discard(target.dispatch_id)
        if not hanging:
            finished.set()


def fail(delivery: DeliveryState, reason: FailureReason) -> Failure[ExchangeFailure]:
    return Failure(ExchangeFailure(delivery=delivery, reason=reason))


class FakeRecords:
    """The records of one domain, behind a connection that may fail."""

    def __init__(self) -> None:
        self.state = RecordState()
        self.reachable: Callable[[], bool] = lambda: True
        self.replies_arrive: Callable[[], bool] = lambda: True
        self.is_hanging: Callable[[], bool] = lambda: False
        self._clock = TrioClock()

    async def begin(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        fingerprint: str,
        request_id: RequestId,
    ) -> Result[BeginReply, RecordFailure]:
        command = BeginRequest(
            tenant=tenant,
            key=key,
            fingerprint=fingerprint,
            request_id=request_id,
            at=self._clock.now(),
        )
        reply = await self._propose(command)
        return reply.bind(translate_begin_reply)

    async def finish(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: BackendAnswer,
    ) -> Result[None, RecordFailure]:
        kept = omit_large_answer(answer)
        command = FinishRequest(
            tenant=tenant, key=key, request_id=request_id, answer=kept
        )
        return (await self._propose(command)).map(lambda _: None)

    async def clear(
        self, tenant: Tenant, key: IdempotencyKey, request_id: RequestId
    ) -> Result[None, RecordFailure]:
        command = ClearRequest(tenant=tenant, key=key, request_id=request_id)
        return (await self._propose(command)).map(lambda _: None)

    async def _propose(self, command: Any) -> Result[Any, RecordFailure]:
        await trio.sleep(0.003)
        unreachable = RecordFailure(
            reason=RecordFailureReason.UNREACHABLE,
            detail="its records are out of reach",
        )
        if self.is_hanging():
            await trio.sleep_forever()
        if not self.reachable():
            return Failure(unreachable)
        reply = record_commands.apply(self.state, command)
        if not self.replies_arrive():
            return Failure(unreachable)
        return Success(reply)


class FakePeerEntries:
    """The peer entries of a test, in the same process."""

    def __init__(self, own: str, domains: dict[str, str], delay: timedelta) -> None:
        self.routers: dict[str, Router] = {}
        self.answers_lost: Callable[[], bool] = lambda: False
        self._own = own
        self._domains = domains
        self._delay = delay.total_seconds()

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        own_domain = self._domains[self._own]
        return [
            PeerEntry(
                entry=InstanceName(name),
                domain=FailureDomain(self._domains[name]),
                same_domain=self._domains[name] == own_domain,
                free_slots=router.count_free_slots(service),
            )
            for name, router in self.routers.items()
            if name != self._own and router.servers.count_slots(service)
        ]

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        await trio.sleep(self._delay)
        result = await self.routers[entry].route(request)
        await trio.sleep(self._delay)
        if self.answers_lost():
            await trio.sleep_forever()
        return result


class Entry:
    """A router with fakes at its ports."""

    def __init__(
        self,
        backends: FakeBackends,
        *,
        name: str = "entry-1",
        domains: dict[str, str] | None = None,
        records: FakeRecords | None = None,
        seed: int = 1,
        delay: timedelta = MS,
    ) -> None:
        self.backends = backends
        self.clock = TrioClock()
        self.settings = LiveSettings()
        self.servers = OwnedServers(self.clock, self.settings)
        self.peer_entries = FakePeerEntries(name, domains or {name: HOME}, delay)
        self.records = records or FakeRecords()
        self.router = Router(
            servers=self.servers,
            backend=backends,
            peer_entries=self.peer_entries,
            records=self.records,
            clock=self.clock,
            rng=random.Random(seed),
            settings=self.settings,
        )

    def grant(self, server: FakeServer, **changes: Any) -> None:
        fields = {"server": server.id, "slots": server.slots, "leaving": server.leaving}
        grant = make_grant(self.clock, **(fields | changes))
        self.servers.grant(grant).unwrap()
