"""Tests of load balancing among backend servers."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from datetime import timedelta

from rhubarbfield.clock import ManualClock
from rhubarbfield.routing import BackendGrant, LiveSettings, OwnedServers
from rhubarbfield.routing.choice import ServerChoice
from rhubarbfield.types import BackendServerId, Epoch, RequestId, ServiceName

SERVICE = ServiceName("board")
MS = timedelta(milliseconds=1)


class ServerChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        live = LiveSettings()
        self.servers = OwnedServers(self.clock, live)
        self.choice = ServerChoice(self.clock, random.Random(1), live)

    def grant(self, *names: str, slots: int = 8) -> None:
        for name in names:
            self.servers.grant(
                BackendGrant(
                    server=BackendServerId(name),
                    service=SERVICE,
                    address="127.0.0.1:1",
                    slots=slots,
                    connections=64,
                    epoch=Epoch(1),
                    valid_until=timedelta(days=1),
                )
            )

    def choose(self, *avoid: str) -> str | None:
        ledgers = self.servers.iterate(SERVICE)
        ledger = self.choice.choose(ledgers, {BackendServerId(each) for each in avoid})
        return ledger.grant.server if ledger is not None else None

    def spread(self, count: int) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for number in range(count):
            server = self.choose()
            assert server is not None
            chosen[server] += 1
            ledger = self.servers.get(BackendServerId(server))
            assert ledger is not None
            ledger.reserve(RequestId(f"r{number}"), self.clock.monotonic())
        return chosen

    def fail(self, server: str, count: int = 5) -> None:  # type: ignore[override]
        for _ in range(count):
            self.choice.record_failure(BackendServerId(server))

    def test_takes_the_least_loaded(self) -> None:
        self.grant("a", "b", "c")
        self.choose()
        self.clock.advance(timedelta(minutes=1))
        self.assertEqual(self.spread(12), {"a": 4, "b": 4, "c": 4})

    def test_a_slow_server_gets_less(self) -> None:
        self.grant("a", "b")
        self.choose()
        self.clock.advance(timedelta(minutes=1))
        self.choice.record_success(BackendServerId("a"), 10 * MS)
        self.choice.record_success(BackendServerId("b"), 90 * MS)
        chosen = self.spread(8)
        self.assertGreater(chosen["a"], chosen["b"])

    def test_a_new_server_starts_slowly(self) -> None:
        self.grant("old")
        self.choose()
        self.clock.advance(timedelta(minutes=1))
        self.grant("new")
        self.assertLessEqual(self.spread(8)["new"], 2)
        self.clock.advance(timedelta(minutes=1))
        self.assertEqual(self.choose(), "new")

    def test_ejects_after_failures_in_a_row_and_readmits(self) -> None:
        self.grant("a", "b")
        self.fail("a")
        self.assertEqual(self.spread(8), {"b": 8})
        self.assertIsNone(self.choose())
        self.clock.advance(timedelta(seconds=6))
        self.assertEqual(self.choose(), "a")

    def test_never_ejects_more_than_the_cap(self) -> None:
        self.grant("a", "b", "c", "d")
        for server in "abcd":
            self.fail(server)
        self.assertEqual(len(self.spread(16)), 2)

    def test_never_ejects_the_only_one_that_serves(self) -> None:
        self.grant("a", "b")
        self.fail("a")
        self.servers.mark_leaving(BackendServerId("b"))
        self.assertEqual(self.choose(), "a")

    def test_avoids_the_one_that_failed_unless_alone(self) -> None:
        self.grant("a", "b")
        self.assertEqual({self.choose("a") for _ in range(9)}, {"b"})
        self.assertIsNotNone(self.choose("a", "b"))
