"""From a caller's request to a backend server's answer."""

from __future__ import annotations

import random
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.admission import Admission
from rhubarbfield.routing.attempts import Attempts, Routed, Run
from rhubarbfield.routing.budget import TenantQuotas
from rhubarbfield.routing.choice import ServerChoice
from rhubarbfield.routing.dispatch import Dispatcher
from rhubarbfield.routing.keys import KeyedRuns, note_key_unchecked
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import BackendPort, PeerEntryPort, RecordPort
from rhubarbfield.routing.refusals import refuse_not_run, refuse_unknown
from rhubarbfield.routing.requests import CallerRequest, RefusalReason
from rhubarbfield.routing.servers import OwnedServers
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, Outcome, ServiceName

AWAKE_NOTES_IN_LIMIT = 4


class Router:
    """Routes callers' requests to backend servers.

    Parameters
    ----------
    servers
        The backend servers owned by this entry.
    backend, peer_entries, records
        The ports to backend servers, other entries and idempotency records.
    clock, rng
        The time and the random source.
    settings
        Limits of the request path.
    metrics
        Where requests are counted; a registry of its own if not given.

    Examples
    --------
    Run it beside whatever calls :meth:`route`::

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
        self._keys = KeyedRuns(records, clock)
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
        servers.watch(self._follow_change)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Carry requests until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._keys.use_nursery(nursery)
                nursery.start_soon(self._note_awake)
                task_status.started()
                while True:
                    await self._admission.wait_for_waiter()
                    await self._clock.sleep(self.settings.current.offload_interval)
                    self._admission.sweep()
        finally:
            self._nursery = None

    async def _note_awake(self) -> None:
        while True:
            self.servers.detect_freeze()
            await self._clock.sleep(
                self.settings.current.freeze_limit / AWAKE_NOTES_IN_LIMIT
            )

    async def route(self, request: CallerRequest) -> Routed:
        """Return the backend server's answer to ``request``, or its refusal.

        A caller who is cancelled leaves a dispatched request running: its
        slot and its key are kept until its end is known.
        """
        check_invariant(request.hops <= 1, "one-hop-at-most", request.hops)
        if self._nursery is None:
            return Failure(
                refuse_not_run(RefusalReason.ENTRY_STOPPED, "this entry has stopped")
            )
        started_at = self._clock.monotonic()
        run = Run(request, started_at + request.timeout)
        self._count_in()
        self._nursery.start_soon(self._carry, run, started_at)
        try:
            await run.done.wait()
        finally:
            if run.result is None:
                self._note_caller_left(run)
        if run.result is None:
            return Failure(
                refuse_unknown(RefusalReason.ENTRY_STOPPED, "this entry has stopped")
            )
        return run.result

    async def wait_idle(self) -> None:
        """Wait until no request is under way."""
        while self._in_flight:
            await self._idle.wait()

    def count_free_slots(self, service: ServiceName) -> int:
        """Return how many requests of ``service`` could be taken from others."""
        if self._admission.count_waiting(service):
            return 0
        return self.servers.count_free_slots(service)

    def count_in_flight(self) -> int:
        """Return how many requests are under way."""
        return self._in_flight

    async def _carry(self, run: Run, started_at: timedelta) -> None:
        try:
            run.result = await self._route_within_quota(run)
        finally:
            run.done.set()
            self._count_out()
        duration = self._clock.monotonic() - started_at
        self.metrics.note_result(run.request, run.result, duration)

    async def _route_within_quota(self, run: Run) -> Routed:
        request = run.request
        if request.hops:
            return await self._attempts.carry_out(run)
        if not self._quotas.enter(request.tenant):
            refusal = refuse_not_run(
                RefusalReason.QUOTA, "its tenant has too many requests under way"
            )
            return Failure(note_key_unchecked(request, refusal))
        try:
            if request.idempotent or request.idempotency_key is None:
                return await self._attempts.carry_out(run)
            return await self._run_once(run)
        finally:
            self._quotas.leave(request.tenant)

    async def _run_once(self, run: Run) -> Routed:
        request = run.request
        refusal = self._admission.precheck(request, run.deadline)
        if refusal is not None:
            return Failure(note_key_unchecked(request, refusal))
        patience = run.deadline - self._clock.monotonic()
        settled = await self._keys.begin(request, patience)
        if settled is not None:
            return settled
        result = await self._attempts.carry_out(run)
        if isinstance(result, Success):
            self._keys.finish_later(request, result.unwrap())
        elif result.failure().outcome is Outcome.NOT_RUN:
            await self._keys.clear(request)
        return result

    def _note_caller_left(self, run: Run) -> None:
        run.caller_left = True
        if run.waiter is not None:
            self._admission.withdraw(run.waiter)

    def _count_in(self) -> None:
        if not self._in_flight:
            self._idle = trio.Event()
        self._in_flight += 1

    def _count_out(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    def _follow_change(self, service: ServiceName, server: BackendServerId) -> None:
        self._admission.pump(service)
        if self.servers.get(server) is None:
            self._choice.forget(server)
            if self._nursery is not None:
                self._nursery.start_soon(self._backend.forget, server)
