"""An in-memory network with faults, and clocks with different rates."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random

import trio

from rhubarbfield.replication import (
    ReplicationMessage,
    decode_message,
    encode_message,
)
from rhubarbfield.types import GroupId, InstanceName

MAX_WIRE_BYTES = 1_000_000
Delivery = Callable[[InstanceName, ReplicationMessage], None]


class SimulatedClock:
    """A clock with its own rate that can freeze its owner."""

    def __init__(self, rate: float = 1.0, offset: float = 1000.0) -> None:
        self._rate = rate
        self._offset = offset
        self._thawed = trio.Event()
        self._thawed.set()

    @property
    def is_frozen(self) -> bool:
        return not self._thawed.is_set()

    def freeze(self) -> None:
        if not self.is_frozen:  # those that wait already are woken by the same thaw
            self._thawed = trio.Event()

    def thaw(self) -> None:
        self._thawed.set()

    async def wait_thawed(self) -> None:
        await self._thawed.wait()

    def monotonic(self) -> timedelta:
        return timedelta(seconds=self._offset + trio.current_time() * self._rate)

    def find_true_time(self, reading: timedelta) -> float:
        """Return the time in seconds at which the clock shows a reading."""
        return (reading.total_seconds() - self._offset) / self._rate

    def now(self) -> datetime:
        return datetime.fromtimestamp(0, UTC) + self.monotonic()

    async def sleep(self, duration: timedelta) -> None:
        await trio.sleep(max(0.0, duration.total_seconds() / self._rate))
        await self._thawed.wait()


class Network:
    """Delivers messages with delays, duplicates, reordering and losses."""

    def __init__(self, nursery: trio.Nursery, random: Random) -> None:
        self._nursery = nursery
        self._random = random
        self._deliveries: dict[InstanceName, Delivery] = {}
        self._clocks: dict[InstanceName, SimulatedClock] = {}
        self._cuts: set[tuple[InstanceName, InstanceName]] = set()
        self._in_flight: list[tuple[float, int, InstanceName, InstanceName, bytes]] = []
        self._sequence = itertools.count()
        self._schedule_changed = trio.Event()
        nursery.start_soon(self._deliver_due)
        self._delays: dict[tuple[InstanceName, InstanceName], float] = {}
        self.min_delay = 0.001
        self.max_delay = 0.004
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.sent: dict[str, int] = {}
        self.sent_bytes = 0
        self.on_delivery: Callable[[], None] = lambda: None

    def attach(
        self, name: InstanceName, clock: SimulatedClock, delivery: Delivery
    ) -> None:
        self._clocks[name] = clock
        self._deliveries[name] = delivery

    def detach(self, name: InstanceName) -> None:
        self._deliveries.pop(name, None)

    def cut(self, source: InstanceName, target: InstanceName) -> None:
        """Drop all messages from ``source`` to ``target``."""
        self._cuts.add((source, target))

    def slow(self, source: InstanceName, target: InstanceName, delay: float) -> None:
        """Add a delay in seconds to all messages from ``source`` to ``target``."""
        self._delays[source, target] = delay

    def isolate(self, name: InstanceName) -> None:
        for other in self._clocks:
            self.cut(name, other)
            self.cut(other, name)

    def heal(self) -> None:
        self._cuts.clear()

    def send_from(
        self, source: InstanceName, to: InstanceName, message: ReplicationMessage
    ) -> None:
        kind = type(message).__name__
        self.sent[kind] = self.sent.get(kind, 0) + 1
        data = encode_message(message)
        self.sent_bytes += len(data)
        assert len(data) < MAX_WIRE_BYTES, (kind, len(data))
        copies = 2 if self._random.random() < self.duplicate_rate else 1
        for _ in range(copies):
            if self._random.random() >= self.drop_rate:
                delay = self._random.uniform(self.min_delay, self.max_delay)
                delay += self._delays.get((source, to), 0.0)
                self._schedule(source, to, data, delay)

    def _schedule(
        self, source: InstanceName, to: InstanceName, data: bytes, delay: float
    ) -> None:
        if (source, to) in self._cuts:
            return
        due = trio.current_time() + delay
        heapq.heappush(self._in_flight, (due, next(self._sequence), source, to, data))
        if self._in_flight[0][0] == due:
            self._schedule_changed.set()

    async def _deliver_due(self) -> None:
        while True:
            self._schedule_changed = trio.Event()
            next_due = self._in_flight[0][0] if self._in_flight else math.inf
            with trio.move_on_at(next_due):
                await self._schedule_changed.wait()
            while self._in_flight and self._in_flight[0][0] <= trio.current_time():
                _, _, source, to, data = heapq.heappop(self._in_flight)
                self._receive(source, to, data)

    def _receive(self, source: InstanceName, to: InstanceName, data: bytes) -> None:
        clock = self._clocks.get(to)
        if clock is None or (source, to) in self._cuts:
            return
        if clock.is_frozen:
            self._nursery.start_soon(self._receive_when_thawed, source, to, data)
        else:
            self._deliver_now(source, to, data)

    async def _receive_when_thawed(
        self, source: InstanceName, to: InstanceName, data: bytes
    ) -> None:
        await self._clocks[to].wait_thawed()
        self._deliver_now(source, to, data)

    def _deliver_now(self, source: InstanceName, to: InstanceName, data: bytes) -> None:
        delivery = self._deliveries.get(to)
        if delivery is not None:
            delivery(source, decode_message(data).unwrap())
            self.on_delivery()


class NetworkSender:
    """Sends the messages of one instance."""

    def __init__(self, network: Network, name: InstanceName) -> None:
        self._network = network
        self._name = name

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        self._network.send_from(self._name, to, message)
