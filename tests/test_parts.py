"""Tests of bytes that arrive in parts."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from rhubarbfield.parts import PART_BYTES, Parts

SIZES = st.lists(st.integers(0, 2 * PART_BYTES), max_size=6)


class PartsTest(unittest.TestCase):
    @given(SIZES, st.lists(st.integers(0, 3 * PART_BYTES), max_size=6))
    def test_bytes_leave_in_the_order_in_which_they_arrived(
        self, arriving: list[int], leaving: list[int]
    ) -> None:
        parts = Parts()
        for number, size in enumerate(arriving):
            parts.append(bytes([number]) * size)
        whole = b"".join(bytes([n]) * size for n, size in enumerate(arriving))
        for wanted in leaving:
            size = min(wanted, len(parts))
            taken = parts.take(size)
            self.assertEqual(taken, whole[:size])
            self.assertIsInstance(taken, bytes)
            whole = whole[size:]
        self.assertEqual(len(parts), len(whole))
        self.assertEqual(parts.take_all(), whole)

    def test_nothing_is_left_after_clear(self) -> None:
        parts = Parts()
        parts.append(b"a" * PART_BYTES)
        parts.append(b"b")
        parts.clear()
        self.assertEqual((len(parts), parts.take_all()), (0, b""))
