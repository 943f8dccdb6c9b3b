"""Random faults for the long run, several at a time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import trio
from returns.result import Success

from tests.replication.group import Group, Node
from tests.storage.simulated_files import SimulatedCrashError

Fault = Callable[["FaultInjector"], Awaitable[None]]
_faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault for the injector to choose from."""
    _faults[function.__name__] = function
    return function


class FaultInjector:
    """Injects random faults into a group and counts them."""

    def __init__(self, group: Group, random: Random, counts: Counter[str]) -> None:
        self.group = group
        self.random = random
        self.counts = counts

    async def run(self) -> None:
        """Inject one fault after another until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0.5, 12))
            name = self.random.choice(sorted(_faults))
            self.counts[f"fault {name}"] += 1
            await _faults[name](self)

    def find_leader(self) -> Node | None:
        """Return a leader that holds its lease and is not frozen, or None."""
        holders = self.group.list_lease_holders()
        return next((node for node in holders if not node.clock.is_frozen), None)

    def choose_node(self) -> Node:
        return self.random.choice(list(self.group.nodes.values()))

    def can_lose_one(self) -> bool:
        """Return whether every voter currently has all committed entries."""
        if any(node.replica is None for node in self.group.nodes.values()):
            return False
        holders = self.group.list_lease_holders()
        if not holders or holders[0].replica is None:
            return False
        status = holders[0].replica.status()
        voters = [member for member in status.members if member.is_voter]
        return all(
            member.id.name == holders[0].name
            or (
                (member.match or 0) >= status.commit
                and member.silence is not None
                and member.silence < timedelta(seconds=1)
            )
            for member in voters
        )


async def restart_later(injector: FaultInjector, node: Node) -> None:
    await trio.sleep(injector.random.uniform(0.01, 15))
    if node.replica is None:
        await node.start()


@fault
async def crash(injector: FaultInjector) -> None:
    node = injector.choose_node()
    await node.crash()
    await restart_later(injector, node)


@fault
async def crash_while_writing(injector: FaultInjector) -> None:
    node = injector.choose_node()
    node.files.operations_until_crash = injector.random.randint(1, 12)
    await trio.sleep(injector.random.uniform(1, 10))
    node.files.operations_until_crash = None
    await restart_later(injector, node)


@fault
async def crash_all(injector: FaultInjector) -> None:
    for node in injector.group.nodes.values():
        await node.crash()
    for node in injector.group.nodes.values():
        await restart_later(injector, node)


@fault
async def lose_disk(injector: FaultInjector) -> None:
    if not injector.can_lose_one():
        return
    injector.counts["disks lost"] += 1
    node = injector.choose_node()
    await node.lose_disk()
    await restart_later(injector, node)


@fault
async def damage_log(injector: FaultInjector) -> None:
    node = injector.choose_node()
    if not injector.can_lose_one() or not node.has_disk:
        return
    injector.counts["logs damaged"] += 1
    await node.crash()
    size = len(node.files.read("log") or b"")
    node.files.flip_byte("log", injector.random.randrange(size))
    await restart_later(injector, node)


@fault
async def fail_syncs(injector: FaultInjector) -> None:
    node = injector.choose_node()
    node.files.fail_syncs = True
    await trio.sleep(injector.random.uniform(1, 10))
    node.files.fail_syncs = False
    await restart_later(injector, node)


@fault
async def fill_disk(injector: FaultInjector) -> None:
    node = injector.choose_node()
    node.files.capacity = injector.random.randint(0, 20_000)
    await trio.sleep(injector.random.uniform(1, 30))
    node.files.capacity = None


@fault
async def freeze(injector: FaultInjector) -> None:
    node = injector.choose_node()
    node.clock.freeze()
    await trio.sleep(injector.random.uniform(0.2, 20))
    node.clock.thaw()


@fault
async def isolate(injector: FaultInjector) -> None:
    injector.group.network.isolate(injector.choose_node().name)
    await trio.sleep(injector.random.uniform(0.5, 30))
    injector.group.network.heal()


@fault
async def isolate_leader_and_restart_its_voter(injector: FaultInjector) -> None:
    """Restart a voter that answered the leader, while another voter is a candidate."""
    leader = injector.find_leader()
    if leader is None or leader.replica is None:
        return
    members = leader.replica.status().members
    voters = [member.id.name for member in members if member.is_voter]
    others = [name for name in voters if name != leader.name]
    if len(others) != len(injector.group.bootstrap) - 1:
        return
    candidate, voter = injector.random.sample(others, 2)
    injector.group.network.cut(leader.name, candidate)
    injector.group.network.cut(candidate, leader.name)
    await trio.sleep(injector.random.uniform(2, 5))
    node = injector.group.nodes[voter]
    await node.crash()
    injector.group.network.isolate(leader.name)
    if node.replica is None:
        await node.start()
    await trio.sleep(injector.random.uniform(1, 10))
    injector.group.network.heal()


@fault
async def delay_answers_and_cut_the_leader_off(injector: FaultInjector) -> None:
    """Delay answers so that they arrive after the voters lost the leader."""
    network = injector.group.network
    holder = injector.find_leader()
    if holder is None:
        return
    leader = holder.name
    delay = injector.random.uniform(0.3, 1.0)
    others = [name for name in injector.group.nodes if name != leader]
    for name in others:
        network.slow(name, leader, delay)
    await trio.sleep(injector.random.uniform(1, 6))
    for name in others:
        network.cut(leader, name)
    await trio.sleep(injector.random.uniform(1, 10))
    network.heal()
    for name in others:
        network.slow(name, leader, 0.0)


@fault
async def cut_one_way(injector: FaultInjector) -> None:
    for _ in range(injector.random.randint(1, 3)):
        injector.group.network.cut(
            injector.choose_node().name, injector.choose_node().name
        )
    await trio.sleep(injector.random.uniform(0.5, 30))
    injector.group.network.heal()


@fault
async def change_voters(injector: FaultInjector) -> None:
    leader = injector.find_leader()
    if leader is None or leader.replica is None:
        return
    replica = leader.replica
    members = replica.status().members
    voters = [member.id.name for member in members if member.is_voter]
    others = [n.name for n in injector.group.nodes.values() if n.has_disk]
    learners = [name for name in others if name not in voters]
    old = injector.random.choice(voters)
    try:
        if len(voters) > len(injector.group.bootstrap):
            result = await replica.remove_member(old)
        elif injector.random.random() < 0.3:
            result = await replica.add_voter(injector.random.choice(learners))
        else:
            result = await replica.replace_voter(old, injector.random.choice(learners))
    except SimulatedCrashError:  # the call writes in this task, not in the node's
        await leader.crash()
        await restart_later(injector, leader)
        return
    outcome = result if isinstance(result, Success) else result.failure()
    injector.counts[f"change {type(outcome).__name__}"] += 1


@fault
async def worsen_links(injector: FaultInjector) -> None:
    network = injector.group.network
    network.drop_rate = injector.random.uniform(0, 0.3)
    network.duplicate_rate = injector.random.uniform(0, 0.2)
    network.max_delay = injector.random.uniform(0.004, 0.6)
    await trio.sleep(injector.random.uniform(1, 30))
    network.drop_rate = network.duplicate_rate = 0.0
    network.max_delay = 0.004
