"""Tests of the grantor's side of leases, and of both sides together."""

from __future__ import annotations

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbfield.clock import ManualClock
from rhubarbfield.leases import (
    HeldLease,
    LeaseLapsed,
    LeaseTable,
    LeaseTerms,
    UnknownHolder,
)
from rhubarbfield.types import Epoch
from tests.leases.clocks import SkewedClock

SECOND = timedelta(seconds=1)
TERMS = LeaseTerms(duration=10 * SECOND, drift=0.1)


def make_table(known: dict[str, Epoch] | None = None) -> LeaseTable[str]:
    return LeaseTable(TERMS, open_sessions=known or {}, at=timedelta())


class LeaseTableTest(unittest.TestCase):
    def test_lapses_only_after_duration_and_margin(self) -> None:
        table = make_table()
        table.grant("a", epoch=Epoch(1), number=1, at=SECOND)
        self.assertEqual(table.revoke_lapsed(11.9 * SECOND), ())
        self.assertEqual(table.revoke_lapsed(12 * SECOND), (("a", Epoch(1)),))

    def test_a_renewal_lasts_from_its_answer(self) -> None:
        table = make_table()
        table.grant("a", epoch=Epoch(1), number=1, at=timedelta())
        renewed = table.renew("a", epoch=Epoch(1), number=2, at=5 * SECOND)
        self.assertIsInstance(renewed, Success)
        self.assertEqual(table.revoke_lapsed(15 * SECOND), ())

    def test_a_reported_lapse_is_final(self) -> None:
        table = make_table()
        table.grant("a", epoch=Epoch(1), number=1, at=timedelta())
        table.revoke_lapsed(11 * SECOND)
        late = table.renew("a", epoch=Epoch(1), number=2, at=timedelta())
        self.assertEqual(late, Failure(LeaseLapsed(epoch=Epoch(1))))

    def test_nothing_is_granted_while_a_lapse_is_being_committed(self) -> None:
        table = make_table()
        table.grant("a", epoch=Epoch(1), number=1, at=timedelta())
        table.revoke_lapsed(11 * SECOND)
        for epoch in (Epoch(1), Epoch(2)):
            again = table.grant("a", epoch=epoch, number=2, at=12 * SECOND)
            self.assertEqual(again, Failure(LeaseLapsed(epoch=Epoch(1))))
        table.forget("a", epoch=Epoch(1))
        again = table.grant("a", epoch=Epoch(2), number=3, at=12 * SECOND)
        self.assertIsInstance(again, Success)

    def test_another_epoch_is_not_renewed(self) -> None:
        table = make_table()
        table.grant("a", epoch=Epoch(2), number=1, at=timedelta())
        old = table.renew("a", epoch=Epoch(1), number=2, at=SECOND)
        self.assertEqual(old, Failure(LeaseLapsed(epoch=Epoch(2))))
        self.assertIsInstance(
            table.grant("a", epoch=Epoch(1), number=3, at=SECOND), Failure
        )

    def test_a_new_leader_waits_for_leases_it_did_not_grant(self) -> None:
        table = make_table({"a": Epoch(7)})
        self.assertEqual(table.revoke_lapsed(10.9 * SECOND), ())
        self.assertFalse(table.has_lapsed("a", 10.9 * SECOND))
        self.assertEqual(table.revoke_lapsed(11 * SECOND), (("a", Epoch(7)),))

    def test_a_forgotten_session_is_unknown_but_a_newer_one_stays(self) -> None:
        table = make_table({"a": Epoch(1)})
        table.grant("a", epoch=Epoch(2), number=1, at=timedelta())
        table.forget("a", epoch=Epoch(1))
        self.assertEqual(len(table), 1)
        table.forget("a", epoch=Epoch(2))
        renewed = table.renew("a", epoch=Epoch(2), number=2, at=SECOND)
        self.assertEqual(renewed, Failure(UnknownHolder()))

    def test_a_closed_table_grants_nothing(self) -> None:
        table = make_table({"a": Epoch(1)})
        table.close()
        again = table.grant("a", epoch=Epoch(2), number=1, at=SECOND)
        self.assertIsInstance(again, Failure)
        renewed = table.renew("a", epoch=Epoch(1), number=1, at=SECOND)
        self.assertEqual(renewed, Failure(UnknownHolder()))

    def test_unsafe_terms_are_rejected(self) -> None:
        for duration, drift in ((timedelta(), 0.1), (SECOND, 1.0), (SECOND, -0.1)):
            with self.subTest(drift=drift), self.assertRaises(ValueError):
                LeaseTerms(duration=duration, drift=drift)


class BothSidesTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        holder_rate=st.floats(0.9, 1.1),
        grantor_rate=st.floats(0.9, 1.1),
        delay_seconds=st.floats(0, 20),
        step=st.floats(0.05, 0.5),
    )
    def test_never_held_once_lapsed_whatever_the_rates(
        self, holder_rate: float, grantor_rate: float, delay_seconds: float, step: float
    ) -> None:
        true_clock = ManualClock()
        holder_clock = SkewedClock(true_clock, holder_rate)
        grantor_clock = SkewedClock(true_clock, grantor_rate)
        held = HeldLease(drift=TERMS.drift, clock=holder_clock)
        table = make_table()
        number = held.request()
        true_clock.advance(delay_seconds * SECOND)
        lease = table.grant(
            "a", epoch=Epoch(1), number=number, at=grantor_clock.monotonic()
        )
        held.accept(lease.unwrap())
        while not table.revoke_lapsed(grantor_clock.monotonic()):
            true_clock.advance(step * SECOND)
        self.assertFalse(held.holds())
