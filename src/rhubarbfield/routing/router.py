"""The router, which takes callers' requests and returns answers or refusals."""

from __future__ import annotations

import random
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.admission import Admission
from rhubarbfield.routing.attempts import ActiveRequest, Attempts, Routed
from rhubarbfield.routing.budget import TenantQuotas
from rhubarbfield.routing.choice import ServerChoice
from rhubarbfield.routing.dispatch import Dispatcher
from rhubarbfield.routing.keys import KeyRecorder, add_unchecked_key_notice
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import BackendPort, PeerEntryPort, RecordPort
from rhubarbfield.routing.refusals import refuse_not_run, refuse_unknown
from rhubarbfield.routing.requests import CallerRequest, RefusalReason
from rhubarbfield.routing.servers import OwnedServers
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, Outcome, ServiceName

FREEZE_CHECKS_PER_LIMIT = 4


class Router:
    """Routes callers' requests to backend servers.

    Parameters
    ----------
    servers
        The backend servers owned by this entry.
    backend, peer_entries, records
        The ports to backend servers, peer entries and idempotency records.
    clock, rng
        Source of time and source of random numbers.
    settings
        Limits of the request path.
    metrics
        Metrics of requests; in a registry of their own if not given.

    Examples
    --------
    Run the router concurrently with the callers of :meth:`route`::

        async with trio.open_nursery() as nursery:
            await nursery.start(router.run)
            result = await router.route(request)
    """

    def __init__(
        self,
        *,
        servers: OwnedServers,
        backend: BackendPort,
        peer_entries: PeerEntryPort,
        records: RecordPort,
        clock: Clock,
        rng: random.Random,
        settings: LiveSettings,
        metrics: RoutingMetrics | None = None,
    ) -> None:
        self.servers = servers
        self.settings = settings
        self.metrics = metrics or RoutingMetrics(
            tenants_limit=settings.current.metrics_tenants
        )
        self._backend = backend
        self._clock = clock
        self._keys = KeyRecorder(records, clock)
        self._quotas = TenantQuotas(settings)
        choice = ServerChoice(clock, rng, settings)
        self._choice = choice
        self._admission = Admission(
            servers=servers,
            choice=choice,
            peer_entries=peer_entries,
            clock=clock,
            rng=rng,
            settings=settings,
        )
        self._attempts = Attempts(
            admission=self._admission,
            dispatcher=Dispatcher(
                servers=servers,
                backend=backend,
                choice=choice,
                admission=self._admission,
                clock=clock,
                metrics=self.metrics,
            ),
            peer_entries=peer_entries,
            clock=clock,
            settings=settings,
            metrics=self.metrics,
        )
        self._nursery: trio.Nursery | None = None
        self._in_flight = 0
        self._idle = trio.Event()
        self._idle.set()
        servers.watch(self._handle_server_change)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Route requests until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._keys.use_nursery(nursery)
                nursery.start_soon(self._detect_freezes)
                task_status.started()
                while True:
                    await self._admission.wait_for_waiter()
                    await self._clock.sleep(self.settings.current.offload_interval)
                    self._admission.sweep()
        finally:
            self._nursery = None

    async def _detect_freezes(self) -> None:
        while True:
            self.servers.detect_freeze()
            await self._clock.sleep(
                self.settings.current.freeze_limit / FREEZE_CHECKS_PER_LIMIT
            )

    async def route(self, request: CallerRequest) -> Routed:
        """Return the backend server's answer to ``request``, or its refusal.

        If the caller is cancelled, a dispatched request goes on: its slot and
        its key stay occupied until it is known to have ended.
        """
        check_invariant(request.hops <= 1, "one-hop-at-most", request.hops)
        if self._nursery is None:
            return Failure(
                refuse_not_run(RefusalReason.ENTRY_STOPPED, "this entry has stopped")
            )
        started_at = self._clock.monotonic()
        active = ActiveRequest(request, started_at + request.timeout)
        self._count_in()
        self._nursery.start_soon(self._execute, active, started_at)
        try:
            await active.done.wait()
        finally:
            if active.result is None:
                self._handle_caller_left(active)
        if active.result is None:
            return Failure(
                refuse_unknown(RefusalReason.ENTRY_STOPPED, "this entry has stopped")
            )
        return active.result

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._in_flight:
            await self._idle.wait()

    def count_free_slots(self, service: ServiceName) -> int:
        """Return how many requests of ``service`` can be taken from peer entries."""
        if self._admission.count_waiting(service):
            return 0
        return self.servers.count_free_slots(service)

    def count_in_flight(self) -> int:
        """Return the number of requests in progress."""
        return self._in_flight

    async def _execute(self, active: ActiveRequest, started_at: timedelta) -> None:
        try:
            active.result = await self._route_within_quota(active)
        finally:
            active.done.set()
            self._count_out()
        duration = self._clock.monotonic() - started_at
        self.metrics.record_result(active.request, active.result, duration)

    async def _route_within_quota(self, active: ActiveRequest) -> Routed:
        request = active.request
        if request.hops:
            return await self._attempts.execute(active)
        if not self._quotas.acquire(request.tenant):
            refusal = refuse_not_run(
                RefusalReason.QUOTA, "its tenant has too many requests under way"
            )
            return Failure(add_unchecked_key_notice(request, refusal))
        try:
            if request.idempotent or request.idempotency_key is None:
                return await self._attempts.execute(active)
            return await self._route_keyed_request(active)
        finally:
            self._quotas.release(request.tenant)

    async def _route_keyed_request(self, active: ActiveRequest) -> Routed:
        request = active.request
        refusal = self._admission.precheck(request, active.deadline)
        if refusal is not None:
            return Failure(add_unchecked_key_notice(request, refusal))
        timeout = active.deadline - self._clock.monotonic()
        recorded_result = await self._keys.begin(request, timeout)
        if recorded_result is not None:
            return recorded_result
        result = await self._attempts.execute(active)
        if isinstance(result, Success):
            self._keys.finish_in_background(request, result.unwrap())
        elif result.failure().outcome is Outcome.NOT_RUN:
            await self._keys.clear(request)
        return result

    def _handle_caller_left(self, active: ActiveRequest) -> None:
        active.caller_left = True
        if active.waiter is not None:
            self._admission.withdraw(active.waiter)

    def _count_in(self) -> None:
        if not self._in_flight:
            self._idle = trio.Event()
        self._in_flight += 1

    def _count_out(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    def _handle_server_change(
        self, service: ServiceName, server: BackendServerId
    ) -> None:
        self._admission.assign_waiting(service)
        if self.servers.get(server) is None:
            self._choice.forget(server)
            if self._nursery is not None:
                self._nursery.start_soon(self._backend.forget, server)
