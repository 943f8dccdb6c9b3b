"""Tests of replicas whose store can't be opened at once."""

from __future__ import annotations

import errno
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import trio
from returns.result import Failure, Result

from rhubarbfield.replication import GroupSettings, Replica, ReplicaStatus
from rhubarbfield.replication.opening import FIRST_INCARNATION
from rhubarbfield.storage import FileStore, StoreFailure, SyncFailed
from rhubarbfield.types import InstanceName
from tests.replication.determinism import run_deterministic
from tests.replication.group import GROUP, ChainMachine, Observer
from tests.replication.network import SimulatedClock
from tests.storage.simulated_files import FileOperation, SimulatedFiles

LATE_SECONDS = 25.0
NAME = InstanceName("a")


class LateStore:
    """A replica of a group of one, and the files of its store."""

    def __init__(self) -> None:
        self.files = SimulatedFiles()
        self.ended: list[Result[None, StoreFailure]] = []
        self.opened: ReplicaStatus | None = None
        self.replica = Replica(
            group=GROUP,
            name=NAME,
            bootstrap=(NAME,),
            machine=ChainMachine(Observer()),
            store=FileStore(Path("unused"), self.files),
            sender=mock.Mock(),
            clock=SimulatedClock(1.0, 0.0),
            random=Random(1),
            settings=GroupSettings(),
            is_first_start=True,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        self.ended.append(await self.replica.run(task_status=task_status))


class LateStoreTest(unittest.TestCase):
    def play(self, store: LateStore) -> list[str]:
        """Free the store after some time; return the logged events until it leads."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                with trio.fail_after(1):
                    await nursery.start(store.run)
                await trio.sleep(LATE_SECONDS)
                self.assertEqual(store.ended, [])
                store.files.refused = frozenset()
                store.files.lock = lambda: None  # type: ignore[method-assign]
                with trio.fail_after(LATE_SECONDS):
                    while store.replica.leadership is None:
                        await trio.sleep(0.1)
                store.opened = store.replica.status()
                nursery.cancel_scope.cancel()

        with self.assertLogs("rhubarbfield.replication", "WARNING") as logs:
            run_deterministic(body, seed=1)
        return [record.getMessage() for record in logs.records]

    def test_replica_waits_for_room_on_a_disk_that_is_full_at_its_first_start(
        self,
    ) -> None:
        store = LateStore()
        store.files.refused = frozenset({FileOperation.APPEND})
        self.assertEqual(self.play(store), ["disk-full"] * 3)

    def test_damaged_store_is_not_one_of_a_first_start_after_its_disk_was_full(
        self,
    ) -> None:
        """Its replica would vote again as the voter whose votes it lost."""
        store = LateStore()
        store.files.append("log", b"no record, but long enough for one")
        store.files.refused = frozenset({FileOperation.APPEND})
        self.play(store)
        status = store.opened
        assert status is not None and status.id is not None
        self.assertNotEqual(status.id.incarnation, FIRST_INCARNATION)

    def test_replica_waits_for_a_store_that_another_process_uses(self) -> None:
        store = LateStore()
        store.files.lock = mock.Mock(  # type: ignore[method-assign]
            side_effect=BlockingIOError
        )
        self.assertEqual(self.play(store), ["store-in-use"] * 3)

    def test_replica_waits_for_room_for_the_lock_of_its_store(self) -> None:
        store = LateStore()
        store.files.lock = mock.Mock(  # type: ignore[method-assign]
            side_effect=OSError(errno.ENOSPC, "no space left")
        )
        self.assertEqual(self.play(store), ["disk-full"] * 3)

    def test_replica_ends_with_a_disk_that_fails_at_its_first_start(self) -> None:
        store = LateStore()
        store.files.fail_syncs = True
        run_deterministic(store.run, seed=1)
        [ended] = store.ended
        self.assertIsInstance(ended, Failure)
        self.assertIsInstance(ended.failure(), SyncFailed)


if __name__ == "__main__":
    unittest.main()
