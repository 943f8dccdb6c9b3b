"""Tests of forwarding requests to peer entries."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
from returns.result import Success

from rhubarbfield.types import (
    Epoch,
    Outcome,
)
from tests.routing.cases import MAX_REQUEST_TIME, Routed
from tests.routing.fakes import (
    MS,
    SECOND,
    Entry,
    FakeBackends,
    FakeServer,
    make_request,
    run_virtual,
    scenario,
)


class PeerEntriesTest(unittest.TestCase):
    def run_pair(
        self, scenario: Callable[[Entry, Entry, FakeServer], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                backends = FakeBackends(nursery, MAX_REQUEST_TIME)
                domains = {"entry-1": "home", "entry-2": "home"}
                first, second = (
                    Entry(backends, name=name, domains=domains) for name in domains
                )
                routers = {"entry-1": first.router, "entry-2": second.router}
                for entry in (first, second):
                    entry.peer_entries.routers = routers
                    await nursery.start(entry.router.run)
                server = entry.backends.add("s2", 2)
                second.grant(server)
                await scenario(first, second, server)
                nursery.cancel_scope.cancel()

        run_virtual(run)

    @scenario("run_pair")
    async def test_a_full_entry_forwards_a_request_once(
        self, first: Entry, _: Entry, server: FakeServer
    ) -> None:
        result = await first.router.route(make_request())
        self.assertEqual(result.unwrap().body, b"r0")
        self.assertEqual(server.most_running, 1)

    @scenario("run_pair")
    async def test_a_leaving_server_holds_no_request_back_from_a_peer_entry(
        self, first: Entry, _: Entry, server: FakeServer
    ) -> None:
        own = first.backends.add("s1", 2, latency=MS)
        first.grant(own)
        (await first.router.route(make_request(0))).unwrap()
        first.servers.mark_leaving(own.id)
        with trio.fail_after(2):
            result = await first.router.route(make_request(1))
        self.assertIsInstance(result, Success)

    @scenario("run_pair")
    async def test_requests_wait_at_the_first_entry_while_all_are_full(
        self, first: Entry, second: Entry, server: FakeServer
    ) -> None:
        results: list[Routed] = []

        async def route(number: int) -> None:
            results.append(await first.router.route(make_request(number)))

        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(route, number)
        self.assertTrue(all(isinstance(each, Success) for each in results))
        self.assertEqual(server.most_running, 2)
        self.assertEqual(second.router.count_in_flight(), 0)

    @scenario("run_pair")
    async def test_a_lost_answer_of_another_entry_is_unknown(
        self, first: Entry, _: Entry, server: FakeServer
    ) -> None:
        first.peer_entries.answers_lost = lambda: True
        request = make_request(timeout=SECOND, method="POST", idempotent=False)
        result = await first.router.route(request)
        self.assertEqual(result.failure().outcome, Outcome.UNKNOWN)
        self.assertEqual(server.epoch, Epoch(1))
