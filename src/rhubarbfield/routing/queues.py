"""Queues of requests that wait for a slot, bounded by class and fair by tenant."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Generic, TypeVar

import msgspec
import trio

from rhubarbfield.routing.grants import Reservation
from rhubarbfield.routing.ledger import SlotLedger
from rhubarbfield.routing.requests import CallerRequest, Refusal
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, InstanceName, RequestClass, Tenant

KeyT = TypeVar("KeyT")


class ReservedSlot(msgspec.Struct, frozen=True):
    """A slot of an owned backend server that is reserved for a request."""

    ledger: SlotLedger
    reservation: Reservation


class ForwardTarget(msgspec.Struct, frozen=True):
    """A peer entry that a request is to be forwarded to."""

    entry: InstanceName


Assignment = ReservedSlot | ForwardTarget | Refusal


class Waiter:
    """One request that waits for an assignment.

    Parameters
    ----------
    deadline
        Monotonic time at which the caller stops waiting.
    avoid
        Backend servers that failed the request before.
    requeued
        Whether the request was taken from the queue before; it is then added
        at the front.
    """

    def __init__(
        self,
        request: CallerRequest,
        deadline: timedelta,
        avoid: frozenset[BackendServerId] = frozenset(),
        requeued: bool = False,
    ) -> None:
        self.requeued = requeued
        self.request = request
        self.deadline = deadline
        self.avoid = avoid
        self.assignment: Assignment | None = None
        self._assigned = trio.Event()

    def assign(self, assignment: Assignment) -> None:
        """Set the assignment and wake the task that waits for it."""
        self.assignment = assignment
        self._assigned.set()

    async def wait(self) -> Assignment:
        """Wait for the assignment."""
        await self._assigned.wait()
        assert self.assignment is not None
        return self.assignment


class WeightedFairSelector(Generic[KeyT]):
    """Weighted fair queueing: selects keys in proportion to their weights.

    A key that is added again starts level with the others: it keeps neither
    credit nor debt from before.
    """

    def __init__(self) -> None:
        self._finish_times: dict[KeyT, float] = {}
        self._virtual_time = 0.0

    def add(self, key: KeyT, weight: float) -> None:
        """Add ``key``; no effect if it is present already."""
        self._finish_times.setdefault(key, self._virtual_time + 1.0 / weight)

    def remove(self, key: KeyT) -> None:
        """Remove ``key``."""
        del self._finish_times[key]

    def select(self, weights: Callable[[KeyT], float]) -> KeyT:
        """Return the next key and charge it for one selection."""
        key = min(self._finish_times, key=self._finish_times.__getitem__)
        self._virtual_time = self._finish_times[key]
        self._finish_times[key] += 1.0 / weights(key)
        return key


class ClassQueue:
    """The waiting requests of one class, with a queue for each tenant.

    Parameters
    ----------
    get_weight
        Returns the weight of a tenant.
    """

    def __init__(self, get_weight: Callable[[Tenant], float]) -> None:
        self._get_weight = get_weight
        self._selector: WeightedFairSelector[Tenant] = WeightedFairSelector()
        self._tenant_queues: dict[Tenant, deque[Waiter]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Add ``waiter`` to its tenant's queue."""
        tenant = waiter.request.tenant
        self._selector.add(tenant, self._get_weight(tenant))
        tenant_queue = self._tenant_queues.setdefault(tenant, deque())
        if waiter.requeued:
            tenant_queue.appendleft(waiter)
        else:
            tenant_queue.append(waiter)
        self._length += 1

    def pop(self) -> Waiter:
        """Remove and return the next waiter."""
        tenant = self._selector.select(self._get_weight)
        waiter = self._tenant_queues[tenant].popleft()
        self._handle_removal(tenant)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove ``waiter``; return whether it was queued."""
        tenant = waiter.request.tenant
        tenant_queue = self._tenant_queues.get(tenant)
        if tenant_queue is None or waiter not in tenant_queue:
            return False
        tenant_queue.remove(waiter)
        self._handle_removal(tenant)
        return True

    def find_displaceable(self, tenant: Tenant) -> Waiter | None:
        """Return the waiter to refuse in favour of one of ``tenant``, or ``None``.

        It is the newest waiter of the tenant furthest above its share; ``None``
        if that is ``tenant`` itself.
        """
        own = (self._count(tenant) + 1) / self._get_weight(tenant)
        longest = max(self._tenant_queues, key=self._compute_weighted_length)
        if self._compute_weighted_length(longest) <= own:
            return None
        return self._tenant_queues[longest][-1]

    def count_ahead(self, tenant: Tenant, position: int | None = None) -> int:
        """Return how many waiters are served before the one at ``position``.

        Parameters
        ----------
        position
            Position in the tenant's queue; its end if ``None``.
        """
        if position is None:
            position = self._count(tenant)
        others = sum(
            self._get_weight(each) for each in self._tenant_queues if each != tenant
        )
        turns = (position + 1) * others / self._get_weight(tenant)
        waiting_others = self._length - self._count(tenant)
        return position + min(waiting_others, int(turns))

    def iterate(self) -> Iterator[tuple[int, Waiter]]:
        """Yield each waiter with its position in its tenant's queue."""
        for tenant_queue in list(self._tenant_queues.values()):
            yield from enumerate(list(tenant_queue))

    def _count(self, tenant: Tenant) -> int:
        return len(self._tenant_queues.get(tenant, ()))

    def _compute_weighted_length(self, tenant: Tenant) -> float:
        return len(self._tenant_queues[tenant]) / self._get_weight(tenant)

    def _handle_removal(self, tenant: Tenant) -> None:
        self._length -= 1
        if not self._tenant_queues[tenant]:
            del self._tenant_queues[tenant]
            self._selector.remove(tenant)


class ServiceQueue:
    """The waiting requests of one service, with a queue for each class.

    Parameters
    ----------
    settings
        Current settings, with the weights and queue lengths.
    """

    def __init__(self, settings: LiveSettings) -> None:
        self._settings = settings
        self._selector: WeightedFairSelector[RequestClass] = WeightedFairSelector()
        self._queues = {
            each: ClassQueue(self._get_tenant_weight) for each in RequestClass
        }

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def has_space(self, request: CallerRequest) -> bool:
        """Return whether ``request`` can be queued without displacing another."""
        queue = self._queues[request.request_class]
        length = self._settings.current.classes[request.request_class].queue_length
        return len(queue) < length

    def find_displaceable(self, request: CallerRequest) -> Waiter | None:
        """Return the waiter to refuse in favour of ``request``, or ``None``."""
        return self._queues[request.request_class].find_displaceable(request.tenant)

    def count_ahead(self, request: CallerRequest, position: int | None = None) -> int:
        """Return how many waiting requests are served before ``request``.

        Parameters
        ----------
        position
            Position in its tenant's queue; the end if ``None``.
        """
        weight = self._get_class_weight(request.request_class)
        heavier = sum(
            len(queue)
            for each, queue in self._queues.items()
            if self._get_class_weight(each) > weight
        )
        queue = self._queues[request.request_class]
        return heavier + queue.count_ahead(request.tenant, position)

    def push(self, waiter: Waiter) -> None:
        """Add ``waiter`` to the queue of its class."""
        request_class = waiter.request.request_class
        self._selector.add(request_class, self._get_class_weight(request_class))
        self._queues[request_class].push(waiter)

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter; ``None`` if there is none."""
        if not len(self):
            return None
        request_class = self._selector.select(self._get_class_weight)
        waiter = self._queues[request_class].pop()
        self._handle_removal(request_class)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove ``waiter``; return whether it was queued."""
        request_class = waiter.request.request_class
        if not self._queues[request_class].remove(waiter):
            return False
        self._handle_removal(request_class)
        return True

    def iterate(self) -> Iterator[tuple[int, Waiter]]:
        """Yield each waiter with its position in its tenant's queue."""
        for queue in self._queues.values():
            yield from queue.iterate()

    def _get_class_weight(self, request_class: RequestClass) -> float:
        return self._settings.current.classes[request_class].weight

    def _get_tenant_weight(self, tenant: Tenant) -> float:
        return self._settings.current.get_tenant(tenant).weight

    def _handle_removal(self, request_class: RequestClass) -> None:
        if not len(self._queues[request_class]):
            self._selector.remove(request_class)
