"""Ends that workers list until a leader tells them that they are recorded."""

from __future__ import annotations

from random import Random

import msgspec
import trio
from returns.result import Success

from rhubarbfield.types import LogIndex
from tests.replication.group import ChainMachine, Group, Node, Observer

PADDING_BYTES = 600_000  # a snapshot then has several chunks


class Ends(msgspec.Struct, frozen=True):
    """The ends that a worker lists.

    Attributes
    ----------
    worker
        Number of the worker.
    first, last
        Numbers of its first and last end that it has not been told of.
    attempt
        Tells commands with the same ends apart.
    """

    worker: int
    first: int
    last: int
    attempt: int


class EndsMachine(ChainMachine):
    """Keeps the number of the last recorded end of each worker."""

    has_padding = False

    def __init__(self, observer: Observer) -> None:
        super().__init__(observer)
        self.recorded: dict[int, int] = {}

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        if command.startswith(b"{"):
            ends = msgspec.json.decode(command, type=Ends)
            recorded = self.recorded.get(ends.worker, 0)
            assert ends.first <= recorded + 1, (ends, recorded, "ends are missing")
            self.recorded[ends.worker] = max(recorded, ends.last)
        return super().apply(index, command)

    def take_snapshot(self) -> bytes:
        padding = bytes(PADDING_BYTES if self.has_padding else 0)
        parts = (self.recorded, super().take_snapshot(), padding)
        return msgspec.msgpack.encode(parts)

    def restore(self, snapshot: bytes) -> None:
        parts = msgspec.msgpack.decode(
            snapshot, type=tuple[dict[int, int], bytes, bytes]
        )
        super().restore(parts[1])
        self.recorded = parts[0]


class PaddedMachine(EndsMachine):
    """Has snapshots of several chunks."""

    has_padding = True


def find_recorded(node: Node, worker: int) -> int:
    """Return the number of a worker's last end that the state of a node has."""
    assert isinstance(node.machine, EndsMachine)
    return node.machine.recorded.get(worker, 0)


class ListingWorker:
    """Lists its ends to each leader, from the first it was not told of.

    Parameters
    ----------
    group
        The replicas of the state.
    number
        Number of the worker.
    random
        Draws the times of the ends.
    mean_pause
        Mean time in seconds between two ends.
    """

    def __init__(
        self, group: Group, number: int, random: Random, mean_pause: float
    ) -> None:
        self.number = number
        self.told = 0
        self.was_told = trio.Event()
        self._group = group
        self._random = random
        self._mean_pause = mean_pause
        self._ended = 0
        self._attempts = 0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._random.expovariate(1 / self._mean_pause))
                self._ended += 1
                nursery.start_soon(self.list_ends)

    async def list_ends(self) -> None:
        """List the ends at a node that leads, and take note of what it tells."""
        for node in self._group.list_lease_holders():
            is_away = node.replica is None or node.clock.is_frozen
            if is_away or self.told == self._ended:
                continue
            self._attempts += 1
            ends = Ends(self.number, self.told + 1, self._ended, self._attempts)
            command = msgspec.json.encode(ends)
            with trio.move_on_after(3):
                result = await self._group.propose(node, command)
                if isinstance(result, Success):
                    self._take_note(find_recorded(node, self.number))

    def _take_note(self, recorded: int) -> None:
        self.told = max(self.told, recorded)
        self.was_told.set()
        self.was_told = trio.Event()

    def check(self, node: Node, told: int) -> None:
        """Check that a node's state has the ends up to one that was acknowledged."""
        recorded = find_recorded(node, self.number)
        assert recorded >= told, (
            f"worker {self.number} was told {told}, {node.name} has {recorded}"
        )
