"""Calls to workers that other controllers carry out for the leader."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import TypeVar

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.peering import Transport
from rhubarbfield.scheduling.metrics import WORKER_CALLS_ROUTED
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerOrder,
    WorkerView,
)
from rhubarbfield.scheduling.relay_links import RelayLink
from rhubarbfield.scheduling.relay_messages import CallResult
from rhubarbfield.types import InstanceName

# Covers the way to the relay and back, and the longest wait there.
HOP_ALLOWANCE = timedelta(milliseconds=600)
# The first calls of a term are a view of every worker; they should be relayed too.
CONNECT_WAIT = timedelta(milliseconds=150)
# What waits for a relay shares a message, so that fewer relays cost fewer messages.
WORKERS_PER_RELAY = 96
SUSPICIOUS_PINGS = 2  # missed ones, after which a relay gets no further workers
MEMBERS_POLL_INTERVAL = timedelta(seconds=1)

ValueT = TypeVar("ValueT")

_relayed = WORKER_CALLS_ROUTED.labels("relayed")
_direct = WORKER_CALLS_ROUTED.labels("direct")


class RelayedCalls:
    """A :class:`~rhubarbfield.scheduling.ports.WorkerCalls` through other controllers.

    Each worker is called through one relay for as long as that is connected and
    gets replies. A relay is used once those before it have ``workers_per_relay``
    workers each. Calls are direct while no relay is connected.

    Parameters
    ----------
    direct
        Client for direct calls.
    list_relays
        Returns the names of the other controllers.
    locate
        Returns host and peer port of a controller.
    transport
        Transport to other controllers.
    clock
        Source of time.
    order_timeout
        Longest time that a relay waits for the reply to an order.
    workers_per_relay
        Number of workers of a relay above which others are used as well.
    """

    def __init__(
        self,
        direct: WorkerCalls,
        *,
        list_relays: Callable[[], Iterable[InstanceName]],
        locate: Callable[[InstanceName], tuple[str, int]],
        transport: Transport,
        clock: Clock,
        order_timeout: timedelta,
        workers_per_relay: int = WORKERS_PER_RELAY,
    ) -> None:
        self._calls = direct
        self._list_relays = list_relays
        self._locate = locate
        self._transport = transport
        self._clock = clock
        self._timeout = order_timeout + HOP_ALLOWANCE
        self._workers_per_relay = workers_per_relay
        self._links: dict[InstanceName, RelayLink] = {}
        self._scopes: dict[InstanceName, trio.CancelScope] = {}
        self._assigned: dict[str, RelayLink] = {}
        # Workers that the only connected relay did not reach.
        self._unrelayed: set[str] = set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep streams to the relays until cancelled.

        The task counts as started once each relay has answered or failed, or
        after ``CONNECT_WAIT``.
        """
        async with trio.open_nursery() as nursery:
            self._synchronize(nursery)
            with trio.move_on_after(CONNECT_WAIT.total_seconds()):
                for link in self._links.values():
                    await link.attempted.wait()
            task_status.started()
            while True:
                await self._clock.sleep(MEMBERS_POLL_INTERVAL)
                self._synchronize(nursery)

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        link = self._choose_link(to.address)
        if link is None:
            return self._note_direct(to, await self._calls.start(to, order))
        return _read_clock(await self._call(link, to, order, self._timeout))

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run."""
        link = self._choose_link(to.address)
        if link is None:
            return self._note_direct(to, await self._calls.stop(to, order))
        return _read_clock(await self._call(link, to, order, self._timeout))

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Let a run work at a percentage of its full speed."""
        link = self._choose_link(to.address)
        if link is None:
            return self._note_direct(to, await self._calls.pace(to, order))
        return _read_clock(await self._call(link, to, order, self._timeout))

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return the active and ended runs of a worker."""
        link = self._choose_link(to.address)
        if link is None:
            return self._note_direct(to, await self._calls.view(to, request))
        timeout = self._timeout + request.wait_timeout
        return _read_view(await self._call(link, to, request, timeout))

    async def forget(self, address: str) -> None:
        """Close the connections to an address, here and at the relays."""
        link = self._assigned.pop(address, None)
        if link is not None:
            link.workers.pop(address, None)
        self._unrelayed.discard(address)
        # The worker may have had other relays before.
        for each in self._links.values():
            each.forget(address)
        await self._calls.forget(address)

    def _choose_link(self, address: str) -> RelayLink | None:
        """Return the link that carries the calls to an address; None if direct."""
        link = self._assigned.get(address)
        if address in self._unrelayed:
            link = None
        elif link is None or address not in link.workers:
            link = self._assign(address)
        (_direct if link is None else _relayed).inc()
        return link

    async def _call(
        self, link: RelayLink, to: WorkerAddress, order: WorkerOrder, timeout: timedelta
    ) -> CallResult:
        result = await link.call(to, order, timeout)
        if isinstance(result, NoReply) and to.address in link.workers:
            # The relay may be cut off from the worker; another, or this controller,
            # may reach it.
            if self._list_connected() == [link]:
                del link.workers[to.address]
                self._unrelayed.add(to.address)
            else:
                self._assign(to.address, avoided=link)
        return result

    def _note_direct(
        self, to: WorkerAddress, result: Result[ValueT, CallFailure]
    ) -> Result[ValueT, CallFailure]:
        """Let a relay try again after a direct call without a reply."""
        if isinstance(result, Failure) and isinstance(result.failure(), NoReply):
            self._unrelayed.discard(to.address)
        return result

    def _assign(
        self, address: str, avoided: RelayLink | None = None
    ) -> RelayLink | None:
        """Assign an address to a relay, to another one than ``avoided`` if possible."""
        connected = self._list_connected()
        if not connected:
            return None
        if avoided is not None:
            del avoided.workers[address]
        link = min(
            connected,
            key=lambda each: (
                each is avoided,
                each.missed_pings >= SUSPICIOUS_PINGS,
                self._rank_load(len(each.workers)),
            ),
        )
        link.workers[address] = None
        self._assigned[address] = link
        return link

    def _rank_load(self, workers: int) -> tuple[bool, int]:
        """Rank relays by load: the fullest one with room, or else the emptiest."""
        is_full = workers >= self._workers_per_relay
        return is_full, workers if is_full else -workers

    def _balance(self) -> None:
        """Take workers from relays that have too many.

        That is more than ``workers_per_relay`` and than an even share. The next call
        to each of them goes through another relay.
        """
        connected = self._list_connected()
        if not connected:  # the controller that has just answered was removed
            return
        self._unrelayed.clear()
        workers = sum(len(link.workers) for link in connected)
        share = max(math.ceil(workers / len(connected)), self._workers_per_relay)
        for link in connected:
            while len(link.workers) > share:
                link.workers.popitem()

    def _list_connected(self) -> list[RelayLink]:
        links = self._links.values()
        return [link for link in links if link.is_connected and not link.is_closing]

    def _synchronize(self, nursery: trio.Nursery) -> None:
        """Open links to new controllers, and close those to removed ones."""
        relays = set(self._list_relays())
        for removed in self._links.keys() - relays:
            del self._links[removed]
            self._scopes.pop(removed).cancel()
        # Not by name: neighbours by name are often in one failure domain.
        for relay in sorted(relays - self._links.keys(), key=_hash_name):
            link = self._links[relay] = RelayLink(
                relay,
                self._locate(relay),
                transport=self._transport,
                clock=self._clock,
                on_connected=self._balance,
            )
            scope = self._scopes[relay] = trio.CancelScope()
            nursery.start_soon(_run_in_scope, link, scope)


def _hash_name(relay: InstanceName) -> int:
    return zlib.crc32(relay.encode())


async def _run_in_scope(link: RelayLink, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()


def _read_clock(result: CallResult) -> Result[timedelta, CallFailure]:
    if isinstance(result, timedelta):
        return Success(result)
    if isinstance(result, WorkerView):
        return Failure(NoReply("the relay replied with a view"))
    return Failure(result)


def _read_view(result: CallResult) -> Result[WorkerView, CallFailure]:
    if isinstance(result, WorkerView):
        return Success(result)
    if isinstance(result, timedelta):
        return Failure(NoReply("the relay replied without a view"))
    return Failure(result)
