"""Tests of the garbage collection of daemons."""

from __future__ import annotations

import gc
import unittest
import weakref

from rhubarbfield.collector import YOUNGEST_ALLOCATIONS, tune_collector
from tests.__main__ import ROOT, load_cases


class Node:
    """Part of a cycle of references."""

    def __init__(self) -> None:
        self.other: Node | None = None


def make_cycle() -> weakref.ref[Node]:
    one, other = Node(), Node()
    one.other, other.other = other, one
    return weakref.ref(one)


class CollectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        if gc.get_freeze_count():
            # Those of the other tests stay frozen.
            self.addCleanup(gc.freeze)
        self.addCleanup(gc.collect)
        self.addCleanup(gc.unfreeze)
        gc.unfreeze()

    def count_collections(self, allocations: int) -> int:
        before = gc.get_stats()[0]["collections"]
        kept = [[index] for index in range(allocations)]
        self.assertEqual(len(kept), allocations)
        return gc.get_stats()[0]["collections"] - before

    def test_collections_are_seldom(self) -> None:
        tune_collector()
        self.assertLessEqual(self.count_collections(50_000), 5)

    def test_earlier_objects_are_not_examined(self) -> None:
        tune_collector()
        self.assertGreater(gc.get_freeze_count(), 1_000)

    def test_later_cycles_are_still_collected(self) -> None:
        tune_collector()
        cycle = make_cycle()
        self.count_collections(3 * YOUNGEST_ALLOCATIONS)
        self.assertIsNone(cycle())

    def test_modules_of_the_tests_are_not_examined(self) -> None:
        load_cases(ROOT / "tests" / "faults", "")
        self.assertGreater(gc.get_freeze_count(), 1_000)


if __name__ == "__main__":
    unittest.main()
