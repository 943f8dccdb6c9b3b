"""Admission control: assigning, queueing and refusing requests."""

from __future__ import annotations

import random
from collections import defaultdict
from datetime import timedelta

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.routing.budget import DrainRate
from rhubarbfield.routing.choice import ServerChoice
from rhubarbfield.routing.peer_selection import PeerSelector
from rhubarbfield.routing.ports import PeerEntryPort
from rhubarbfield.routing.queues import (
    Assignment,
    ForwardTarget,
    ReservedSlot,
    ServiceQueue,
    Waiter,
)
from rhubarbfield.routing.refusals import refuse_deadline, refuse_not_run
from rhubarbfield.routing.requests import CallerRequest, Refusal, RefusalReason
from rhubarbfield.routing.servers import OwnedServers
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, ServiceName


class Admission:
    """Assigns requests to slots of owned backend servers or to peer entries.

    Parameters
    ----------
    servers
        Backend servers owned by this entry.
    choice
        Selects one of the owned backend servers.
    peer_entries
        Port to the peer entries.
    """

    def __init__(
        self,
        *,
        servers: OwnedServers,
        choice: ServerChoice,
        peer_entries: PeerEntryPort,
        clock: Clock,
        rng: random.Random,
        settings: LiveSettings,
    ) -> None:
        self._servers = servers
        self._choice = choice
        self._clock = clock
        self._settings = settings
        self.peer_selector = PeerSelector(peer_entries, clock, rng, settings)
        self._waiter_added = trio.Event()
        self._queues: dict[ServiceName, ServiceQueue] = {}
        self._drain_rates: defaultdict[ServiceName, DrainRate] = defaultdict(
            lambda: DrainRate(settings)
        )

    async def wait_for_waiter(self) -> None:
        """Wait until at least one request is queued."""
        while not any(len(queue) for queue in self._queues.values()):
            self._waiter_added = trio.Event()
            await self._waiter_added.wait()

    def count_waiting(self, service: ServiceName) -> int:
        """Return how many requests of ``service`` are queued."""
        return len(self._queues.get(service, ()))

    def get_mean_latency(self, service: ServiceName) -> timedelta | None:
        """Return the mean latency of answers; ``None`` before the first answer."""
        return self._drain_rates[service].mean_latency

    def record_latency(self, service: ServiceName, latency: timedelta) -> None:
        """Include the latency of one answer in the mean."""
        self._drain_rates[service].record_latency(latency)

    def precheck(self, request: CallerRequest, deadline: timedelta) -> Refusal | None:
        """Return the refusal that ``request`` would get now, or ``None``."""
        service = request.service
        if not self._is_known(service):
            return refuse_not_run(
                RefusalReason.NO_SUCH_SERVICE,
                f"no backend server of service {service!r} is known",
            )
        if request.hops:
            return self._precheck_forwarded(service)
        if self._has_free_slot(service) and not self.count_waiting(service):
            return None
        queue = self._get_queue(service)
        wait = self._estimate_wait(request)
        if not queue.has_space(request) and queue.find_displaceable(request) is None:
            return refuse_not_run(
                RefusalReason.QUEUE_FULL, "too many requests wait already", wait
            )
        if self._will_miss_deadline(request, deadline, wait):
            return refuse_deadline(request, wait)
        return None

    def _precheck_forwarded(self, service: ServiceName) -> Refusal | None:
        has_own_slot = self._choice.has_free_slot(self._servers.iterate(service))
        if has_own_slot and not self.count_waiting(service):
            return None
        return refuse_not_run(RefusalReason.NO_ROOM, "this entry has no room")

    async def acquire(self, waiter: Waiter) -> Assignment:
        """Wait for the assignment of ``waiter`` until its deadline."""
        request = waiter.request
        refusal = self.precheck(request, waiter.deadline)
        if refusal is not None:
            return refusal
        self._push(waiter)
        self.assign_waiting(request.service)
        remaining = waiter.deadline - self._clock.monotonic()
        with trio.move_on_after(max(0.0, remaining.total_seconds())):
            return await waiter.wait()
        if waiter.assignment is None:
            self._refuse_late(waiter)
        return await waiter.wait()

    def withdraw(self, waiter: Waiter) -> None:
        """Refuse ``waiter`` if it is still queued, as its caller has disconnected."""
        self._refuse(
            waiter,
            refuse_not_run(RefusalReason.CALLER_LEFT, "its caller has left"),
        )

    def assign_waiting(self, service: ServiceName) -> None:
        """Assign queued requests of ``service`` while slots are free."""
        queue = self._queues.get(service)
        if queue is None:
            return
        while len(queue) and self._has_free_slot(service):
            waiter = queue.pop()
            assert waiter is not None
            assignment = self._assign(waiter)
            if assignment is None:
                waiter.requeued = True
                queue.push(waiter)
                return
            waiter.assign(assignment)

    def sweep(self) -> None:
        """Assign queued requests and refuse those that would miss their deadline."""
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            self.assign_waiting(service)
            for position, waiter in list(queue.iterate()):
                wait = self._estimate_wait(waiter.request, position)
                if self._will_miss_deadline(waiter.request, waiter.deadline, wait):
                    self._refuse(waiter, refuse_deadline(waiter.request, wait))

    def _push(self, waiter: Waiter) -> None:
        queue = self._get_queue(waiter.request.service)
        if not queue.has_space(waiter.request):
            displaced = queue.find_displaceable(waiter.request)
            if displaced is not None:
                self._refuse_displaced(displaced)
        queue.push(waiter)
        self._waiter_added.set()

    def _assign(self, waiter: Waiter) -> Assignment | None:
        request = waiter.request
        slot = self._reserve_slot(request, waiter.avoid)
        if slot is not None:
            return slot
        if request.hops:
            return refuse_not_run(RefusalReason.NO_ROOM, "this entry has no room")
        if self._is_wait_short(request.service):
            return None
        entry = self.peer_selector.choose(request.service)
        return ForwardTarget(entry) if entry is not None else None

    def _reserve_slot(
        self, request: CallerRequest, avoid: frozenset[BackendServerId]
    ) -> ReservedSlot | None:
        ledger = self._choice.choose(self._servers.iterate(request.service), avoid)
        if ledger is None:
            return None
        now = self._clock.monotonic()
        reservation = ledger.reserve(request.request_id, now)
        return ReservedSlot(ledger, reservation) if reservation is not None else None

    def _is_known(self, service: ServiceName) -> bool:
        if any(True for _ in self._servers.iterate(service)):
            return True
        return self.peer_selector.is_known(service)

    def _has_free_slot(self, service: ServiceName) -> bool:
        if self._choice.has_free_slot(self._servers.iterate(service)):
            return True
        return not self._is_wait_short(service) and self.peer_selector.has_free_slot(
            service
        )

    def _is_wait_short(self, service: ServiceName) -> bool:
        slots = self._servers.count_slots(service)
        if not slots or self._drain_rates[service].mean_latency is None:
            return False
        wait = self._drain_rates[service].estimate_wait(
            self.count_waiting(service), slots
        )
        return wait <= self._settings.current.max_local_wait

    def _get_queue(self, service: ServiceName) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(self._settings)
            self._queues[service] = queue
        return queue

    def _estimate_wait(
        self, request: CallerRequest, position: int | None = None
    ) -> timedelta:
        service = request.service
        ahead = self._get_queue(service).count_ahead(request, position)
        slots = self._servers.count_slots(service)
        return self._drain_rates[service].estimate_wait(ahead, slots)

    def _will_miss_deadline(
        self, request: CallerRequest, deadline: timedelta, wait: timedelta
    ) -> bool:
        answer_time = self._drain_rates[request.service].mean_latency or timedelta()
        return self._clock.monotonic() + wait + answer_time > deadline

    def _refuse(self, waiter: Waiter, refusal: Refusal) -> None:
        queue = self._get_queue(waiter.request.service)
        if queue.remove(waiter):
            waiter.assign(refusal)

    def _refuse_late(self, waiter: Waiter) -> None:
        wait = self._estimate_wait(waiter.request)
        self._refuse(waiter, refuse_deadline(waiter.request, wait))

    def _refuse_displaced(self, waiter: Waiter) -> None:
        wait = self._estimate_wait(waiter.request)
        self._refuse(
            waiter,
            refuse_not_run(
                RefusalReason.QUEUE_FULL,
                "its tenant has more requests waiting than its share",
                wait,
            ),
        )
