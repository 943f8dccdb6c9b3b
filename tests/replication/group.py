"""A group of replicas in one process, and an independent observer of them."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from random import Random

import msgspec
import trio
from returns.result import Result, Success

from rhubarbfield.replication import GroupSettings, ProposeError, Replica
from rhubarbfield.storage import FileStore, LogStore, MemoryStore, StoreFailure
from rhubarbfield.types import GroupId, InstanceName, LogIndex, Term
from tests.replication.network import Network, NetworkSender, SimulatedClock
from tests.storage.simulated_files import SimulatedCrashError, SimulatedFiles

GROUP = GroupId("fleet")
SYNC_SECONDS = 0.006
ROUNDING_SECONDS = 1e-5


class MachineState(msgspec.Struct):
    index: int = 0
    digest: str = ""
    padding: bytes = b""


def chain_digest(digest: str, command: bytes) -> str:
    return hashlib.sha256(digest.encode() + command).hexdigest()


class Observer:
    """Records applied and acknowledged commands to check them across replicas."""

    def __init__(self) -> None:
        self.history: dict[LogIndex, bytes] = {}
        self.digests: dict[LogIndex, str] = {}
        self.acknowledged: dict[bytes, LogIndex] = {}
        self.refused: set[bytes] = set()
        self._last = MachineState()

    def record_applied(self, index: LogIndex, command: bytes, digest: str) -> None:
        assert self.history.setdefault(index, command) == command, index
        assert self.digests.setdefault(index, digest) == digest, index
        if index > self._last.index:
            # The leader's first entry may take the place of a lost command.
            chained = chain_digest(self._last.digest, command)
            assert digest == chained, (index, "lacks an applied command")
            self._last = MachineState(index, digest)

    def check_outcomes(self) -> None:
        """Check that acknowledged commands are applied once and refused ones never."""
        counts: dict[bytes, int] = {}
        for command in self.history.values():
            counts[command] = counts.get(command, 0) + 1
        for command, index in self.acknowledged.items():
            assert self.history.get(index) == command, (index, command)
        assert all(count == 1 for count in counts.values()), counts
        assert not self.refused & counts.keys(), "a refused command was applied"


class ChainMachine:
    """Chains a digest over all commands; replies with the index."""

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self.state = MachineState()
        self.restored = 0

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        assert index > self.state.index
        digest = chain_digest(self.state.digest, command)
        self.state = MachineState(index, digest, self.state.padding)
        self._observer.record_applied(index, command, self.state.digest)
        return str(index).encode()

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        state = msgspec.msgpack.decode(snapshot, type=MachineState)
        assert state.index >= self.state.index
        if state.index:
            assert self._observer.digests[LogIndex(state.index)] == state.digest
        self.state = state
        self.restored += 1


class Node:
    """One instance with a disk that survives restarts of its replica."""

    def __init__(self, group: Group, name: InstanceName, rate: float) -> None:
        self.group = group
        self.name = name
        self.clock = SimulatedClock(rate, group.random.uniform(0, 1e6))
        self.files = SimulatedFiles(Random(group.random.random()))
        self.memory = MemoryStore()
        self.has_disk = True
        self.replica: Replica | None = None
        self.machine: ChainMachine | None = None
        self.highest_current = LogIndex(0)
        self.sync_seconds = SYNC_SECONDS
        self._scope = trio.CancelScope()

    async def run_blocking(
        self, function: Callable[[], Result[None, StoreFailure]], /
    ) -> Result[None, StoreFailure]:
        """Call ``function`` at a random time within the duration of a sync."""
        seconds = self.sync_seconds
        before = self.group.random.uniform(0, seconds)
        await trio.sleep(before)
        result = function()
        await trio.sleep(seconds - before)
        return result

    def make_store(self) -> LogStore:
        if self.has_disk:
            return FileStore(Path("unused"), self.files)
        self.memory = MemoryStore()
        return self.memory

    async def start(self, *, may_form_group: bool = True) -> None:
        group = self.group
        self._scope = trio.CancelScope()
        self.machine = group.make_machine(group.observer)
        self.replica = Replica(
            group=GROUP,
            name=self.name,
            bootstrap=group.bootstrap,
            machine=self.machine,
            store=self.make_store(),
            sender=NetworkSender(group.network, self.name),
            clock=self.clock,
            random=Random(group.random.random()),
            settings=group.settings,
            avoid_leadership=self.name in group.avoid_leadership,
            may_form_group=may_form_group,
            is_first_start=may_form_group and group.has_first_start,
            run_blocking=self.run_blocking,
        )
        group.network.attach(self.name, self.clock, self.replica.deliver)
        group.nursery.start_soon(self._run, self.replica, self._scope)
        await trio.sleep(0)

    async def _run(self, replica: Replica, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await replica.run()
        except* SimulatedCrashError:
            pass
        if self.replica is replica:
            self.group.network.detach(self.name)
            self.replica = None
            self.files.lose_unsynced()

    def check_progress(self) -> None:
        """Check that a current replica is not behind any earlier incarnation."""
        if self.replica is not None and self.replica.is_current:
            assert self.replica.applied >= self.highest_current, self.name
            self.highest_current = self.replica.applied

    async def crash(self) -> None:
        self._scope.cancel()
        while self.replica is not None:
            await trio.sleep(0)
        self.clock.thaw()

    async def lose_disk(self) -> None:
        await self.crash()
        self.files.lose_all()


class Group:
    """A group's nodes with their network and observer."""

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        *,
        names: str = "abc",
        learners: str = "",
        settings: GroupSettings | None = None,
        drift: float = 0.0,
        avoid_leadership: str = "",
        has_first_start: bool = False,
    ) -> None:
        self.has_first_start = has_first_start
        self.make_machine: Callable[[Observer], ChainMachine] = ChainMachine
        self.avoid_leadership = avoid_leadership
        self.nursery = nursery
        self.random = Random(seed)
        self.settings = settings or GroupSettings()
        self.observer = Observer()
        self.network = Network(nursery, Random(self.random.random()))
        self.bootstrap = tuple(InstanceName(name) for name in names)
        self.nodes = {
            InstanceName(name): Node(
                self, InstanceName(name), 1 + self.random.uniform(-drift, drift)
            )
            for name in names + learners
        }
        self.network.on_delivery = self.check
        self._led_term = Term(0)
        self._led_at = self._former_led_at = -math.inf

    async def start(self) -> None:
        for node in self.nodes.values():
            await node.start()

    def get(self, name: str) -> Node:
        return self.nodes[InstanceName(name)]

    def list_others(self, leader: Node) -> list[Node]:
        return [node for node in self.nodes.values() if node is not leader]

    def list_lease_holders(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if node.replica is not None and node.replica.leadership is not None
        ]

    def check(self) -> None:
        holders = self.list_lease_holders()
        assert len(holders) <= 1, [node.name for node in holders]
        for node in holders:
            self._check_former_leaders(node)
        for node in self.nodes.values():
            node.check_progress()

    def _check_former_leaders(self, holder: Node) -> None:
        """Check that earlier leases had ended by the time that the leader assumes."""
        leadership = holder.replica and holder.replica.leadership
        if leadership is None:
            return
        if leadership.term != self._led_term:
            assert leadership.term > self._led_term, leadership
            self._led_term, self._former_led_at = leadership.term, self._led_at
        self._led_at = trio.current_time()
        assert leadership.former_until is not None
        former_until = holder.clock.find_true_time(leadership.former_until)
        assert self._former_led_at <= former_until + ROUNDING_SECONDS, holder.name

    async def wait_leader(self, timeout_seconds: float = 60) -> Node:
        """Wait for a leader that holds its lease and is not frozen."""
        with trio.fail_after(timeout_seconds):
            while True:
                for node in self.list_lease_holders():
                    if not node.clock.is_frozen:
                        return node
                await trio.sleep(0.01)

    async def wait_until_all_at(
        self, index: LogIndex, timeout_seconds: float = 60
    ) -> None:
        with trio.fail_after(timeout_seconds):
            for node in self.nodes.values():
                assert node.replica is not None
                await node.replica.wait_applied(index)

    async def propose(self, node: Node, command: bytes) -> Result[bytes, ProposeError]:
        """Propose a command and report the outcome to the observer."""
        replica = node.replica
        assert replica is not None
        result = await replica.propose(command)
        if isinstance(result, Success):
            self.observer.acknowledged[command] = LogIndex(int(result.unwrap()))
        elif type(result.failure()).__name__ != "OutcomeUnknown":
            self.observer.refused.add(command)
        return result

    async def propose_many(self, prefix: str, count: int) -> LogIndex:
        """Propose ``count`` commands concurrently, all of which must succeed."""
        leader = await self.wait_leader()

        async def propose_one(number: int) -> None:
            result = await self.propose(leader, f"{prefix}{number}".encode())
            assert isinstance(result, Success), result

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(propose_one, number)
        return LogIndex(max(self.observer.history))


SECOND = timedelta(seconds=1)
