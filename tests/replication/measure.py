"""Measurements of the replicated log, printed as tables.

``python -m tests.replication.measure`` measures proposals, the cost of an idle
group, failover and catching up. Failover and catching up run on a virtual clock
with network delays of 1 to 4 ms. The rest runs in real time with three replicas
in this process that encode and decode their messages.
"""

from __future__ import annotations

import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import trio
from absl import app
from returns.result import Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.replication import (
    GroupSettings,
    Replica,
    ReplicationMessage,
    decode_message,
    encode_message,
)
from rhubarbfield.storage import FileStore, LogStore, MemoryStore
from rhubarbfield.types import GroupId, InstanceName, LogIndex
from tests.replication.determinism import run_deterministic
from tests.replication.group import GROUP, Group, Node

NAMES = tuple(InstanceName(name) for name in "abc")
COMMAND = bytes(200)
SINGLE_PROPOSALS = 500
PARALLEL_PROPOSALS = 20_000
CONCURRENCY = 256
IDLE_SECONDS = 10.0
FAILOVER_SEEDS = range(1, 26)
CATCH_UP_SIZES = (1_000, 5_000, 20_000)
CATCH_UP_SEEDS = range(1, 6)
CATCH_UP_SETTINGS = {
    "snapshot": GroupSettings(),
    "entries": GroupSettings(snapshot_after=100_000),
}


class CountingMachine:
    """Counts commands and keeps no other state."""

    def __init__(self) -> None:
        self._count = 0

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        self._count += 1
        return b""

    def take_snapshot(self) -> bytes:
        return self._count.to_bytes(8)

    def restore(self, snapshot: bytes) -> None:
        self._count = int.from_bytes(snapshot)


class DirectSender:
    """Delivers messages at once in this process and counts them."""

    def __init__(self, replicas: dict[InstanceName, Replica]) -> None:
        self._replicas = replicas
        self.messages = 0
        self.bytes = 0

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        data = encode_message(message)
        self.messages += 1
        self.bytes += len(data)
        self._replicas[to].deliver(message.source.name, decode_message(data).unwrap())


async def start_local(
    nursery: trio.Nursery, make_store: Callable[[InstanceName], LogStore]
) -> tuple[Replica, DirectSender]:
    """Start a group in real time and return its leader and sender."""
    replicas: dict[InstanceName, Replica] = {}
    sender = DirectSender(replicas)
    for name in NAMES:
        replicas[name] = Replica(
            group=GROUP,
            name=name,
            bootstrap=NAMES,
            machine=CountingMachine(),
            store=make_store(name),
            sender=sender,
            clock=TrioClock(),
            random=Random(),
            settings=GroupSettings(),
        )
    for replica in replicas.values():
        await nursery.start(replica.run)
    while all(replica.leadership is None for replica in replicas.values()):
        await trio.sleep(0.05)
    return next(r for r in replicas.values() if r.leadership), sender


async def measure_proposals(
    label: str, make_store: Callable[[InstanceName], LogStore]
) -> None:
    """Measure proposals and print one row of their table."""
    async with trio.open_nursery() as nursery:
        leader, _ = await start_local(nursery, make_store)
        latencies = []
        for _ in range(SINGLE_PROPOSALS):
            started_at = time.perf_counter()
            assert isinstance(await leader.propose(COMMAND), Success)
            latencies.append((time.perf_counter() - started_at) * 1000)

        async def propose_some(count: int) -> None:
            for _ in range(count):
                assert isinstance(await leader.propose(COMMAND), Success)

        started_at = time.perf_counter()
        cpu = time.process_time()
        async with trio.open_nursery() as proposers:
            for _ in range(CONCURRENCY):
                proposers.start_soon(propose_some, PARALLEL_PROPOSALS // CONCURRENCY)
        rate = PARALLEL_PROPOSALS / (time.perf_counter() - started_at)
        cost = (time.process_time() - cpu) / PARALLEL_PROPOSALS * 1e6
        cuts = statistics.quantiles(latencies, n=100)
        print(f"{label:8}{cuts[49]:>11.2f}{cuts[98]:>11.2f}{rate:>14.0f}{cost:>14.0f}")
        nursery.cancel_scope.cancel()


async def measure_idle() -> None:
    """Measure an idle group of three and print its cost."""
    async with trio.open_nursery() as nursery:
        _, sender = await start_local(nursery, lambda name: MemoryStore())
        await trio.sleep(2)
        cpu, messages, size = time.process_time(), sender.messages, sender.bytes
        await trio.sleep(IDLE_SECONDS)
        spent = (time.process_time() - cpu) / IDLE_SECONDS * 1000
        count = (sender.messages - messages) / IDLE_SECONDS
        rate = (sender.bytes - size) / IDLE_SECONDS
        print(f"{spent:10.2f}{count:>14.1f}{rate:>12.0f}")
        nursery.cancel_scope.cancel()


async def kill(leader: Node) -> None:
    await leader.crash()


async def freeze(leader: Node) -> None:
    leader.clock.freeze()


async def cut_off(leader: Node) -> None:
    leader.group.network.isolate(leader.name)


def measure_failover(disrupt: Callable[[Node], Awaitable[None]], seed: int) -> float:
    """Return the seconds from disrupting the leader to the next acknowledgement."""

    async def run() -> float:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, seed, drift=0.05)
            await group.start()
            await group.propose_many("x", 10)
            await trio.sleep(group.random.uniform(1, 2))
            leader = await group.wait_leader()
            await disrupt(leader)
            started_at = trio.current_time()
            while await group.wait_leader() is leader:
                await trio.sleep(0.01)
            await group.propose_many("y", 1)
            elapsed = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return elapsed

    return run_deterministic(run, seed)


def measure_repair(seed: int) -> float:
    """Return the seconds from a start with an empty disk to voting again."""

    async def run() -> float:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, seed, drift=0.05)
            await group.start()
            await group.propose_many("x", 100)
            await trio.sleep(group.random.uniform(1, 2))
            leader = await group.wait_leader()
            lost = group.list_others(leader)[0]
            await lost.lose_disk()
            await lost.start()
            started_at = trio.current_time()
            while not is_voter(lost):
                await trio.sleep(0.01)
            elapsed = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return elapsed

    return run_deterministic(run, seed)


def is_voter(node: Node) -> bool:
    """Return whether a replica knows that its own membership is committed."""
    assert node.replica is not None
    status = node.replica.status()
    own = [member for member in status.members if member.id == status.id]
    return bool(own) and own[0].is_voter and status.commit == status.last


def measure_catch_up(
    entries: int, seed: int, settings: GroupSettings
) -> tuple[float, int, float]:
    """Return the seconds, messages and CPU seconds that one catch-up takes."""

    async def run() -> tuple[float, int, float]:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, seed, settings=settings)
            await group.start()
            leader = await group.wait_leader()
            behind = next(n for n in group.nodes.values() if n is not leader)
            await behind.crash()
            for part in range(entries // 1000):
                index = await group.propose_many(f"{part} ", 1000)
            await behind.start()
            assert behind.replica is not None
            group.network.sent.clear()
            started_at, cpu = trio.current_time(), time.process_time()
            await behind.replica.wait_applied(index)
            elapsed = trio.current_time() - started_at
            cpu = time.process_time() - cpu
            nursery.cancel_scope.cancel()
        return elapsed, sum(group.network.sent.values()), cpu

    return run_deterministic(run, seed)


def main(arguments: list[str]) -> None:
    """Print all tables."""
    print("proposals of 200 bytes, three replicas in one process")
    print("store     median ms     p99 ms  256 at once/s  CPU us each (all 3)")
    trio.run(measure_proposals, "memory", lambda name: MemoryStore())
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        trio.run(measure_proposals, "file", lambda name: FileStore(path / name))
    print("\nidle group of three, one second, all three together")
    print("CPU ms      messages       bytes")
    trio.run(measure_idle)
    print(f"\nfailover, virtual seconds, {len(FAILOVER_SEEDS)} seeds")
    print("leader is     median      min      max")
    for disrupt in (kill, freeze, cut_off):
        times = [measure_failover(disrupt, seed) for seed in FAILOVER_SEEDS]
        row = statistics.median(times), min(times), max(times)
        print(f"{disrupt.__name__:10}" + "".join(f"{value:>10.2f}" for value in row))
    times = [measure_repair(seed) for seed in FAILOVER_SEEDS]
    row = statistics.median(times), min(times), max(times)
    print("disk lost " + "".join(f"{value:>10.2f}" for value in row))
    print(f"\ncatching up after a restart, {len(CATCH_UP_SEEDS)} seeds")
    print("entries  by           median s      max s   messages   CPU ms")
    for label, settings in CATCH_UP_SETTINGS.items():
        for entries in CATCH_UP_SIZES:
            print_catch_up(label, settings, entries)


def print_catch_up(label: str, settings: GroupSettings, entries: int) -> None:
    """Measure catching up and print one row of its table."""
    runs = [measure_catch_up(entries, seed, settings) for seed in CATCH_UP_SEEDS]
    times = [elapsed for elapsed, _, _ in runs]
    messages = max(count for _, count, _ in runs)
    cpu = statistics.median(cpu for _, _, cpu in runs) * 1000
    row = f"{statistics.median(times):>10.2f}{max(times):>11.2f}"
    print(f"{entries:7}  {label:9}  {row}{messages:>11}{cpu:>9.0f}")


if __name__ == "__main__":
    app.run(main)
