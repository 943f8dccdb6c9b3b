"""Tests of the holder's side of a lease."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.clock import ManualClock
from rhubarbfield.leases import HeldLease, Lease
from rhubarbfield.types import Epoch

SECOND = timedelta(seconds=1)
DURATION = 10 * SECOND


def answer(number: int, epoch: int = 1) -> Lease:
    return Lease(number=number, epoch=Epoch(epoch), duration=DURATION)


class HeldLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lease = HeldLease(drift=0.1, clock=self.clock)

    def test_is_not_held_before_the_first_answer(self) -> None:
        self.lease.request()
        self.assertFalse(self.lease.holds())

    def test_lasts_from_the_request_less_the_drift_margin(self) -> None:
        number = self.lease.request()
        self.clock.advance(4 * SECOND)
        self.assertTrue(self.lease.accept(answer(number)))
        self.assertEqual(self.lease.remaining(), 5 * SECOND)
        self.clock.advance(5 * SECOND)
        self.assertFalse(self.lease.holds())

    def test_a_frozen_holder_finds_its_lease_lapsed(self) -> None:
        self.lease.accept(answer(self.lease.request()))
        self.clock.advance(60 * SECOND)
        self.assertFalse(self.lease.holds())

    def test_an_answer_that_arrives_after_the_lease_end_has_no_effect(self) -> None:
        number = self.lease.request()
        self.clock.advance(30 * SECOND)
        self.lease.accept(answer(number))
        self.assertFalse(self.lease.holds())

    def test_a_lost_answer_keeps_the_earlier_lease(self) -> None:
        self.lease.accept(answer(self.lease.request()))
        self.clock.advance(3 * SECOND)
        self.lease.request()
        self.assertEqual(self.lease.remaining(), 6 * SECOND)

    def test_an_answer_is_accepted_once_and_only_for_an_open_request(self) -> None:
        number = self.lease.request()
        self.assertTrue(self.lease.accept(answer(number)))
        self.assertFalse(self.lease.accept(answer(number)))
        self.assertFalse(self.lease.accept(answer(99)))

    def test_late_answers_never_shorten_a_lease(self) -> None:
        first = self.lease.request()
        self.clock.advance(2 * SECOND)
        second = self.lease.request()
        self.lease.accept(answer(second))
        self.lease.accept(answer(first))
        self.assertEqual(self.lease.remaining(), 9 * SECOND)

    def test_a_superseded_epoch_is_refused(self) -> None:
        first, second = self.lease.request(), self.lease.request()
        self.lease.accept(answer(second, epoch=5))
        self.assertFalse(self.lease.accept(answer(first, epoch=4)))
        self.assertEqual(self.lease.epoch, 5)

    def test_open_requests_are_bounded(self) -> None:
        first = self.lease.request()
        for _ in range(100):
            self.lease.request()
        self.assertFalse(self.lease.accept(answer(first)))

    def test_invalidate_takes_effect_at_once(self) -> None:
        self.lease.accept(answer(self.lease.request()))
        late = self.lease.request()
        self.lease.invalidate()
        self.assertFalse(self.lease.holds())
        self.assertFalse(self.lease.accept(answer(late)))
