"""Tests of slot counts with changes of owner, reports and abandoned requests."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbfield.clock import ManualClock
from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.routing import (
    BackendGrant,
    DispatchId,
    LiveSettings,
    OwnedServers,
    RoutingSettings,
    ServerReport,
    SlotLedger,
    StaleGrant,
    check_grants,
)
from rhubarbfield.types import BackendServerId, Epoch, RequestId, ServiceName

SECOND = timedelta(seconds=1)
LEASE = 100 * SECOND
SERVER = BackendServerId("s1")
LIVE = LiveSettings(RoutingSettings())
MAX_REQUEST_TIME = LIVE.current.longest_timeout + LIVE.current.settle_time


def make_grant(**changes: Any) -> BackendGrant:
    fields: dict[str, Any] = {
        "server": SERVER,
        "service": ServiceName("board"),
        "address": "127.0.0.1:1",
        "slots": 4,
        "connections": 64,
        "epoch": Epoch(1),
        "valid_until": LEASE,
    }
    return BackendGrant(**(fields | changes))


def make_report(running: int, after: timedelta, *ids: str) -> ServerReport:
    return ServerReport(
        server=SERVER,
        running=running,
        counted_after=after,
        running_ids=frozenset(map(DispatchId, ids)) if ids else None,
    )


class OwnedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.servers = OwnedServers(self.clock, LIVE)

    def get_ledger(self) -> SlotLedger:
        ledger = self.servers.get(SERVER)
        assert ledger is not None
        return ledger

    def count_free_slots(self) -> int:
        return self.get_ledger().count_free_slots(self.clock.monotonic())

    def reserve(self, name: str = "r") -> Any:
        return self.get_ledger().reserve(RequestId(name), self.clock.monotonic())

    def test_never_reserves_beyond_slots_or_connections(self) -> None:
        for slots, connections in ((4, 64), (4, 3)):
            self.servers.grant(make_grant(slots=slots, connections=connections))
            while self.reserve() is not None:
                pass
            self.assertEqual(self.get_ledger().running, 4)

    def test_a_lapsed_lease_has_no_free_slots_until_renewed(self) -> None:
        self.servers.grant(make_grant())
        self.clock.advance(LEASE)
        self.assertEqual(self.count_free_slots(), 0)
        self.assertIsNone(self.reserve())
        self.servers.renew(SERVER, Epoch(1), 2 * LEASE)
        self.assertEqual(self.count_free_slots(), 4)

    def test_an_older_epoch_changes_nothing(self) -> None:
        self.servers.grant(make_grant(epoch=Epoch(5)))
        self.servers.revoke(SERVER)
        stale = self.servers.grant(make_grant(epoch=Epoch(4)))
        self.assertEqual(stale, Failure(StaleGrant(Epoch(4), Epoch(5))))
        self.assertIsNone(self.servers.get(SERVER))
        renewed = self.servers.renew(SERVER, Epoch(5), 2 * LEASE)
        self.assertIsInstance(renewed, Failure)

    def test_a_successor_starts_with_all_slots_taken(self) -> None:
        self.servers.grant(make_grant(epoch=Epoch(2), inherited_until=30 * SECOND))
        self.assertEqual(self.count_free_slots(), 0)
        self.clock.advance(30 * SECOND)
        self.assertEqual(self.count_free_slots(), 4)

    def test_a_report_counted_before_the_grant_frees_no_slot(self) -> None:
        self.clock.advance(10 * SECOND)
        self.servers.grant(make_grant(epoch=Epoch(2), inherited_until=60 * SECOND))
        self.servers.report(make_report(0, 10 * SECOND))
        self.assertEqual(self.count_free_slots(), 0)
        self.clock.advance(2 * SECOND)
        self.servers.report(make_report(0, 11 * SECOND))
        self.assertEqual(self.count_free_slots(), 4)

    def test_a_report_frees_only_what_the_server_does_not_run(self) -> None:
        self.servers.grant(make_grant(epoch=Epoch(2), inherited_until=60 * SECOND))
        self.clock.advance(5 * SECOND)
        self.servers.report(make_report(3, 4 * SECOND))
        self.assertEqual(self.count_free_slots(), 1)
        self.reserve("own")
        self.servers.report(make_report(2, 4 * SECOND, "1.7", "2.0"))
        self.assertEqual(self.count_free_slots(), 2)

    def test_an_abandoned_request_keeps_its_slot(self) -> None:
        self.servers.grant(make_grant())
        self.get_ledger().abandon(self.reserve("lost"), self.clock.monotonic())
        self.assertEqual(self.count_free_slots(), 3)
        self.servers.report(make_report(0, timedelta()))
        self.assertEqual(self.count_free_slots(), 3)
        self.clock.advance(5 * SECOND)
        self.servers.report(make_report(1, 4 * SECOND, "1.0"))
        self.assertEqual(self.count_free_slots(), 3)
        self.servers.report(make_report(1, 4 * SECOND, "1.5"))
        self.assertEqual(self.count_free_slots(), 4)

    def test_a_report_buffered_during_a_freeze_frees_no_slot(
        self,
    ) -> None:
        self.servers.grant(make_grant())
        self.servers.detect_freeze()
        self.get_ledger().abandon(self.reserve("lost"), self.clock.monotonic())
        self.clock.advance(10 * SECOND)
        buffered = ServerReport(server=SERVER, running=0)
        for _ in range(2):
            self.servers.report(buffered)
            self.servers.detect_freeze()
        self.assertEqual(self.count_free_slots(), 3)
        for _ in range(8):
            self.clock.advance(SECOND / 2)
            self.servers.detect_freeze()
        self.servers.report(buffered)
        self.assertEqual(self.count_free_slots(), 4)

    def test_an_abandoned_request_ends_with_the_longest_timeout(self) -> None:
        self.servers.grant(make_grant())
        self.get_ledger().abandon(self.reserve("lost"), self.clock.monotonic())
        self.clock.advance(MAX_REQUEST_TIME)
        self.assertEqual(self.count_free_slots(), 4)

    def test_two_attempts_of_one_request_count_twice(self) -> None:
        self.servers.grant(make_grant())
        for _ in range(2):
            self.get_ledger().abandon(self.reserve("same"), self.clock.monotonic())
        self.assertEqual(self.count_free_slots(), 2)

    def test_requests_of_a_revoked_server_count_when_it_returns(self) -> None:
        self.servers.grant(make_grant())
        self.reserve()
        self.servers.revoke(SERVER)
        self.servers.grant(make_grant(epoch=Epoch(2)))
        self.assertEqual(self.count_free_slots(), 3)

    def test_a_reduced_grant_takes_nothing_until_enough_ended(self) -> None:
        self.servers.grant(make_grant())
        held = [self.reserve() for _ in range(4)]
        self.servers.grant(make_grant(slots=2))
        self.get_ledger().release(held[0])
        self.get_ledger().release(held[1])
        self.assertEqual(self.count_free_slots(), 0)
        self.get_ledger().release(held[2])
        self.assertEqual(self.count_free_slots(), 1)

    def test_a_leaving_server_takes_nothing(self) -> None:
        self.servers.grant(make_grant())
        self.servers.mark_leaving(SERVER)
        self.assertIsNone(self.reserve())
        self.servers.renew(SERVER, Epoch(1), 2 * LEASE)
        self.assertIsNone(self.reserve())

    def test_a_server_that_is_not_leaving_any_more_takes_requests(self) -> None:
        self.servers.grant(make_grant())
        self.servers.mark_leaving(SERVER)
        self.servers.grant(make_grant())
        self.assertIsNotNone(self.reserve())
        self.servers.grant(make_grant(leaving=True))
        self.assertIsNone(self.reserve())

    def test_a_slot_is_released_once(self) -> None:
        self.servers.grant(make_grant())
        reservation = self.reserve()
        self.get_ledger().release(reservation)
        with self.assertRaises(BrokenInvariantError):
            self.get_ledger().release(reservation)

    def test_idle_connections_leave_half_to_a_successor(self) -> None:
        for connections in range(70):
            self.servers.grant(make_grant(connections=connections))
            ledger = self.get_ledger()
            if ledger.idle_connections:
                used = ledger.limit + ledger.idle_connections
                self.assertLessEqual(2 * used, connections)

    def test_grants_above_the_announced_slots_stop_the_process(self) -> None:
        check_grants(8, [make_grant(slots=4), make_grant(slots=4)])
        with self.assertRaises(BrokenInvariantError):
            check_grants(7, [make_grant(slots=4), make_grant(slots=4)])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 6), max_size=60))
    def test_used_slots_stay_within_the_limit(self, steps: list[int]) -> None:
        self.setUp()
        self.assertEqual(self.servers.grant(make_grant()), Success(None))
        held: list[Any] = []
        for step in steps:
            ledger, now = self.get_ledger(), self.clock.monotonic()
            if step <= 2 and (reservation := self.reserve(f"r{len(held)}")):
                held.append(reservation)
            elif step == 3 and held:
                ledger.release(held.pop())
            elif step == 4 and held:
                ledger.abandon(held.pop(), now)
            elif step == 5:
                self.servers.report(make_report(len(held), now - SECOND))
            else:
                self.clock.advance(SECOND)
            self.assertLessEqual(ledger.count_used(now), 4)
            self.assertEqual(ledger.running, len(held))
