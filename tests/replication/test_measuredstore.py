"""Tests of the store that measures its disk."""

from __future__ import annotations

import json
import unittest
from collections.abc import Sequence

import msgspec
import trio
from prometheus_client import REGISTRY
from returns.result import Failure, Result

from rhubarbfield.logs import JsonFormatter
from rhubarbfield.replication import Replica
from rhubarbfield.replication.measuredstore import (
    SLOW_SYNC,
    MeasuredStore,
    StoreOperation,
)
from rhubarbfield.storage import (
    DiskFull,
    Entry,
    HardState,
    LogPosition,
    MemoryStore,
    Snapshot,
    StoreFailure,
)
from rhubarbfield.types import GroupId
from tests.replication.test_leader import (
    OLD,
    ScriptedPeers,
    make_append,
    make_entry,
    make_store,
    run_scripted,
)

GROUP = GroupId("measured")
SLOW_SECONDS = SLOW_SYNC.total_seconds() * 1.25
FAST_SECONDS = SLOW_SYNC.total_seconds() * 0.9
STATE = HardState()
SNAPSHOT = Snapshot(LogPosition(), b"", b"")


def read_metric(suffix: str, group: str, operation: StoreOperation) -> float:
    name = f"rhubarbfield_replication_store_seconds_{suffix}"
    labels = {"group": group, "operation": operation.value}
    return REGISTRY.get_sample_value(name, labels) or 0.0


class SlowStore(MemoryStore):
    """A store each of whose operations advances the clock."""

    def __init__(self, seconds: float) -> None:
        super().__init__()
        self.now = 0.0
        self._seconds = seconds

    def monotonic(self) -> float:
        return self.now

    def append(
        self, hard_state: HardState, entries: Sequence[Entry] = ()
    ) -> Result[None, StoreFailure]:
        self.now += self._seconds
        return super().append(hard_state, entries)

    def sync(self) -> Result[None, StoreFailure]:
        self.now += self._seconds
        return super().sync()

    def save_snapshot(
        self,
        hard_state: HardState,
        snapshot: Snapshot,
        base: LogPosition,
        entries: Sequence[Entry],
    ) -> Result[None, StoreFailure]:
        self.now += self._seconds
        return super().save_snapshot(hard_state, snapshot, base, entries)


class FullStore(MemoryStore):
    def sync(self) -> Result[None, StoreFailure]:
        return Failure(DiskFull())


class MeasuredStoreTest(unittest.TestCase):
    def run_operations(self, seconds: float) -> None:
        slow = SlowStore(seconds)
        store = MeasuredStore(slow, GROUP, slow.monotonic)
        before = {each: read_metric("sum", GROUP, each) for each in StoreOperation}
        store.append(STATE)
        store.write(STATE, [make_entry(1, 1)])
        store.sync()
        store.save_snapshot(STATE, SNAPSHOT, LogPosition(), [])
        for each in StoreOperation:
            measured = read_metric("sum", GROUP, each) - before[each]
            self.assertAlmostEqual(measured, seconds, msg=each.value)

    def test_a_slow_operation_is_logged(self) -> None:
        with self.assertLogs("rhubarbfield.replication", "INFO") as logs:
            self.run_operations(SLOW_SECONDS)
        lines = [json.loads(JsonFormatter().format(record)) for record in logs.records]
        self.assertEqual(
            [line["operation"] for line in lines],
            ["append", "write", "sync", "snapshot"],
        )
        for line in lines:
            self.assertEqual((line["event"], line["level"]), ("sync-slow", "warning"))
            self.assertEqual((line["group"], line["seconds"]), (GROUP, SLOW_SECONDS))

    def test_a_fast_operation_is_not_logged(self) -> None:
        with self.assertNoLogs("rhubarbfield.replication", "INFO"):
            self.run_operations(FAST_SECONDS)

    def test_a_failure_is_returned(self) -> None:
        store = MeasuredStore(FullStore(), GROUP, lambda: 0.0)
        self.assertEqual(store.sync(), Failure(DiskFull()))

    def test_data_of_the_store_is_loaded_and_discarded(self) -> None:
        store = MeasuredStore(MemoryStore(), GROUP, lambda: 0.0)
        store.append(STATE, [make_entry(1, 1)])
        self.assertEqual(store.load().unwrap().entries, (make_entry(1, 1),))
        store.discard()
        self.assertEqual(store.load().unwrap().entries, ())


class FollowerTest(unittest.TestCase):
    def test_the_disk_of_a_follower_is_measured(self) -> None:
        async def scenario(replica: Replica, peers: ScriptedPeers) -> None:
            before = read_metric("count", "fleet", StoreOperation.APPEND)
            append = make_append(previous=1, commit=1)
            entries = (make_entry(2, 1), make_entry(3, 1))
            peers.answer(msgspec.structs.replace(append, entries=entries))
            await trio.sleep(0.01)
            self.assertEqual(replica.status().last, 3)
            after = read_metric("count", "fleet", StoreOperation.APPEND)
            self.assertEqual(after - before, 1)

        run_scripted(make_store(make_entry(1, 1, OLD), term=1, commit=1), scenario)


if __name__ == "__main__":
    unittest.main()
