"""Tests of the incarnation that a replica gets when its log is opened."""

from __future__ import annotations

import unittest
from pathlib import Path
from random import Random

from rhubarbfield.replication.opening import FIRST_INCARNATION, open_log
from rhubarbfield.storage import FileStore, LogStore, MemoryStore
from rhubarbfield.types import GroupId, Incarnation, InstanceName
from tests.storage.simulated_files import SimulatedFiles

FOUNDERS = (InstanceName("a"), InstanceName("b"), InstanceName("c"))


def open_incarnation(
    store: LogStore,
    founders: tuple[InstanceName, ...],
    *,
    is_first_start: bool,
    seed: int = 1,
) -> Incarnation:
    outcome = open_log(
        store, GroupId("g"), Random(seed), founders, is_first_start=is_first_start
    )
    return outcome.log.unwrap().hard_state.incarnation


class IncarnationTest(unittest.TestCase):
    def test_first_store_of_a_founding_voter_has_an_incarnation_known_before(
        self,
    ) -> None:
        store = MemoryStore()
        found = open_incarnation(store, FOUNDERS, is_first_start=True)
        self.assertEqual(found, FIRST_INCARNATION)

    def test_store_that_may_have_been_lost_has_a_random_incarnation(self) -> None:
        for founders, is_first_start in (((), True), (FOUNDERS, False), ((), False)):
            with self.subTest(founders=founders, is_first_start=is_first_start):
                found = {
                    open_incarnation(
                        MemoryStore(),
                        founders,
                        is_first_start=is_first_start,
                        seed=seed,
                    )
                    for seed in (1, 2)
                }
                self.assertEqual(len(found), 2)
                self.assertNotIn(FIRST_INCARNATION, found)

    def test_damaged_store_is_not_one_of_a_first_start(self) -> None:
        files = SimulatedFiles(Random(1))
        files.append("log", b"no record")
        store = FileStore(Path("unused"), files)
        found = open_incarnation(store, FOUNDERS, is_first_start=True)
        self.assertNotEqual(found, FIRST_INCARNATION)

    def test_incarnation_is_kept_in_later_starts(self) -> None:
        files = SimulatedFiles(Random(1))
        for is_first_start in (True, False, False):
            store = FileStore(Path("unused"), files)
            founders = FOUNDERS if is_first_start else ()
            found = open_incarnation(store, founders, is_first_start=is_first_start)
            self.assertEqual(found, FIRST_INCARNATION)
            store.close()


if __name__ == "__main__":
    unittest.main()
