"""Tests that a real backend server never gets more requests than it announced."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

import trio

from rhubarbfield.backends import HttpBackends
from rhubarbfield.clock import TrioClock
from rhubarbfield.measurement.null_ports import NoPeerEntries
from rhubarbfield.routing import (
    LiveSettings,
    OwnedServers,
    Router,
    RoutingSettings,
    ServerReport,
)
from rhubarbfield.testing.backend import (
    Misbehaviour,
    StandInBackend,
    StandInSettings,
    serve_backend,
)
from rhubarbfield.types import BackendServerId
from tests.routing.fakes import MS, FakeRecords, make_grant, make_request

SERVER = BackendServerId("s1")
SETTINGS = RoutingSettings(settle_time=50 * MS, report_age=50 * MS)


class AnnouncedLimitsTest(unittest.TestCase):
    def test_slots_and_connections_hold_under_timeouts_and_retries(self) -> None:
        stand_in = trio.run(self.flood)
        seen = stand_in.observe()
        self.assertEqual((seen.over_slots, seen.over_connections), (0, 0))
        self.assertEqual(seen.most_running, 3)
        self.assertLessEqual(seen.most_connections, 8)
        once = [seen.runs_by_request.get(f"r{n}", 0) for n in range(0, 80, 2)]
        self.assertLessEqual(max(once), 1)

    async def flood(self) -> StandInBackend:
        announced = StandInSettings(slots=3, connections=16, mean_latency=20 * MS)
        clock, live = TrioClock(), LiveSettings(SETTINGS)
        async with trio.open_nursery() as nursery:
            stand_in: StandInBackend = await nursery.start(serve_backend, announced)
            servers = OwnedServers(clock, live)
            router = Router(
                servers=servers,
                backend=HttpBackends(clock, live),
                peer_entries=NoPeerEntries(),
                records=FakeRecords(),
                clock=clock,
                rng=random.Random(1),
                settings=live,
            )
            await nursery.start(router.run)
            grant = make_grant(
                clock,
                server=SERVER,
                address=f"127.0.0.1:{stand_in.port}",
                slots=3,
                connections=16,
            )
            servers.grant(grant).unwrap()
            nursery.start_soon(self.report, servers, stand_in)
            async with trio.open_nursery() as calls:
                for number in range(80):
                    calls.start_soon(self.call, router, number)
                    await trio.sleep(0.01)
                    if number in {20, 40}:
                        stand_in.misbehave(Misbehaviour.SLOW)
                    elif number in {30, 50}:
                        stand_in.misbehave(Misbehaviour.NONE)
            nursery.cancel_scope.cancel()
        return stand_in

    async def call(self, router: Router, number: int) -> None:
        timeout = timedelta(seconds=random.Random(number).choice([0.03, 0.2, 2.0]))
        method = "GET" if number % 2 else "POST"
        await router.route(
            make_request(
                number, method=method, idempotent=method == "GET", timeout=timeout
            )
        )

    async def report(self, servers: OwnedServers, stand_in: StandInBackend) -> None:
        while True:
            await trio.sleep(0.02)
            ids = frozenset(stand_in.running_ids)
            report = ServerReport(server=SERVER, running=len(ids), running_ids=ids)
            servers.report(report)
