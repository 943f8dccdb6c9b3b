"""Tests of routing on the virtual clock, with fakes at every port."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
import trio
from returns.result import Result, Success

from rhubarbfield.routing import (
    BackendAnswer,
    ClassSettings,
    Refusal,
    RefusalReason,
    RoutingSettings,
    TenantSettings,
)
from rhubarbfield.types import (
    Epoch,
    IdempotencyKey,
    Outcome,
    RequestClass,
    RequestId,
    Tenant,
)
from tests.routing.fakes import (
    BOARD,
    MS,
    SECOND,
    Entry,
    FakeBackends,
    FakeServer,
    make_request,
    run_virtual,
)

LONGEST = timedelta(seconds=30)
KEY = IdempotencyKey("k1")
Routed = Result[BackendAnswer, Refusal]


class RouterTest(unittest.TestCase):
    def run_entry(
        self,
        scenario: Callable[[Entry, FakeBackends], Awaitable[None]],
        settings: RoutingSettings | None = None,
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                backends = FakeBackends(nursery, LONGEST)
                entry = Entry(backends, settings=settings)
                await nursery.start(entry.router.run)
                await scenario(entry, backends)
                nursery.cancel_scope.cancel()

        run_virtual(run)

    async def route_all(self, entry: Entry, requests: list[Any]) -> list[Routed]:
        results: dict[int, Routed] = {}

        async def route(index: int, request: Any) -> None:
            results[index] = await entry.router.route(request)

        async with trio.open_nursery() as nursery:
            for index, request in enumerate(requests):
                nursery.start_soon(route, index, request)
                await trio.sleep(0)
        return [results[index] for index in range(len(requests))]

    def assert_refused(
        self, result: Routed, outcome: Outcome, reason: RefusalReason
    ) -> Refusal:
        refusal = result.failure()
        self.assertEqual((refusal.outcome, refusal.reason), (outcome, reason))
        return refusal

    def test_answers_and_frees_the_slot(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 2))
            result = await entry.router.route(make_request())
            self.assertEqual(result.unwrap().body, b"r0")
            self.assertEqual(entry.router.count_room(BOARD), 2)
            await entry.router.wait_idle()

        self.run_entry(scenario)

    def test_a_full_service_queues_and_never_exceeds_its_slots(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            servers = [backends.add("s1", 2), backends.add("s2", 3)]
            for server in servers:
                entry.grant(server)
            requests = [make_request(number) for number in range(40)]
            results = await self.route_all(entry, requests)
            self.assertTrue(all(isinstance(each, Success) for each in results))
            self.assertEqual([each.most_running for each in servers], [2, 3])

        self.run_entry(scenario)

    def test_a_request_that_never_left_is_retried_elsewhere(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            bad, good = backends.add("s1", 8), backends.add("s2", 1)
            bad.behaviour = lambda: "unreachable"
            entry.grant(bad)
            entry.grant(good)
            result = await entry.router.route(
                make_request(method="POST", idempotent=False)
            )
            self.assertEqual(result.unwrap().status, 200)
            self.assertEqual(backends.runs[RequestId("r0")], 1)

        self.run_entry(scenario)

    def test_a_sent_request_is_retried_only_if_idempotent(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 8)
            server.behaviour = lambda: "cut"
            entry.grant(server)
            once = make_request(1, method="POST", idempotent=False)
            result = await entry.router.route(once)
            self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
            self.assertEqual(backends.runs[RequestId("r1")], 1)
            await entry.router.route(make_request(2))
            self.assertEqual(backends.runs[RequestId("r2")], 3)

        self.run_entry(scenario)

    def test_not_run_is_not_said_after_an_attempt_that_may_have_run(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 8)
            behaviours = iter(["cut", "unreachable", "unreachable"])
            server.behaviour = lambda: next(behaviours)
            entry.grant(server)
            result = await entry.router.route(make_request())
            self.assertEqual(result.failure().outcome, Outcome.UNKNOWN)

        self.run_entry(scenario)

    def test_a_timed_out_request_keeps_its_slot_until_proof(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 1, timedelta(seconds=20))
            entry.grant(server)
            result = await entry.router.route(make_request(timeout=SECOND))
            self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
            self.assertEqual(entry.router.count_room(BOARD), 0)
            await trio.sleep(5)
            entry.servers.report(server.report(entry.clock.monotonic()))
            self.assertEqual(entry.router.count_room(BOARD), 0)
            await trio.sleep(20)
            entry.servers.report(server.report(entry.clock.monotonic()))
            self.assertEqual(entry.router.count_room(BOARD), 1)

        self.run_entry(scenario)

    def test_a_caller_who_leaves_takes_no_slot_along(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 1, SECOND)
            entry.grant(server)
            with trio.move_on_after(0.1):
                await entry.router.route(make_request())
            self.assertEqual(len(server.running), 1)
            self.assertEqual(entry.router.count_room(BOARD), 0)
            await trio.sleep(1)
            self.assertEqual(entry.router.count_room(BOARD), 1)

        self.run_entry(scenario)

    def test_a_caller_who_leaves_the_queue_is_not_run(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 1, SECOND))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.router.route, make_request(1))
                await trio.sleep(0.01)
                with trio.move_on_after(0.1):
                    await entry.router.route(make_request(2))
            await entry.router.wait_idle()
            self.assertEqual(backends.runs[RequestId("r2")], 0)

        self.run_entry(scenario)

    def test_what_cannot_be_met_is_refused_at_once(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 1, SECOND))
            await entry.router.route(make_request(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.router.route, make_request(2))
                await trio.sleep(0.01)
                before = entry.clock.monotonic()
                result = await entry.router.route(make_request(3, timeout=SECOND))
                refusal = self.assert_refused(
                    result, Outcome.NOT_RUN, RefusalReason.DEADLINE
                )
                self.assertIsNotNone(refusal.retry_after)
                self.assertLess(entry.clock.monotonic() - before, 20 * MS)

        self.run_entry(scenario)

    def test_a_full_queue_refuses_the_tenant_above_its_share(self) -> None:
        classes = {
            each: ClassSettings(weight=1, queue_length=4, timeout=SECOND)
            for each in RequestClass
        }

        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 1))
            flood = [make_request(n, tenant=Tenant("flood")) for n in range(8)]
            quiet = [make_request(n, tenant=Tenant("quiet")) for n in (8, 9)]
            results = await self.route_all(entry, [*flood, *quiet])
            self.assertTrue(all(isinstance(each, Success) for each in results[8:]))
            refused = [each for each in results[:8] if not isinstance(each, Success)]
            self.assertEqual(len(refused), 5)
            for each in refused:
                self.assert_refused(each, Outcome.NOT_RUN, RefusalReason.QUEUE_FULL)

        self.run_entry(scenario, RoutingSettings(classes=classes))

    def test_a_quota_bounds_one_tenant_only(self) -> None:
        tenants = {Tenant("casa"): TenantSettings(in_flight=2)}

        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 8))
            requests = [make_request(number) for number in range(3)]
            requests.append(make_request(3, tenant=Tenant("other")))
            results = await self.route_all(entry, requests)
            self.assert_refused(results[2], Outcome.NOT_RUN, RefusalReason.QUOTA)
            self.assertIsInstance(results[3], Success)

        self.run_entry(scenario, RoutingSettings(tenants=tenants))

    def test_a_reload_is_in_force_for_the_next_request(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 8))
            refuse_all = TenantSettings(in_flight=0)
            entry.settings.replace(RoutingSettings(default_tenant=refuse_all))
            result = await entry.router.route(make_request())
            self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.QUOTA)

        self.run_entry(scenario)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 8)
            attempts: list[None] = []
            server.behaviour = lambda: attempts.append(None) or "unreachable"
            entry.grant(server)
            for number in range(50):
                await entry.router.route(make_request(number))
            self.assertLessEqual(len(attempts), 50 + 5)

        self.run_entry(scenario)

    def test_a_leaving_server_gets_nothing_new(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            leaving = backends.add("s1", 4)
            entry.grant(leaving)
            entry.grant(backends.add("s2", 4))
            async with trio.open_nursery() as nursery:
                for number in range(30):
                    nursery.start_soon(entry.router.route, make_request(number))
                await trio.sleep(0.15)
                entry.servers.mark_leaving(leaving.id)
                await trio.sleep(0.001)
                leaving.left_at = entry.clock.monotonic()
            self.assertEqual(leaving.begun_after_leaving, [])

        self.run_entry(scenario)

    def test_a_lease_that_lapses_before_dispatch_stops_the_request(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            valid_until = entry.clock.monotonic() + timedelta(microseconds=200)
            entry.grant(backends.add("s1", 4), valid_until=valid_until)
            result = await entry.router.route(make_request(timeout=SECOND))
            self.assertEqual(result.failure().outcome, Outcome.NOT_RUN)
            self.assertEqual(backends.runs[RequestId("r0")], 0)

        self.run_entry(scenario)

    def test_a_service_nobody_serves_is_refused(self) -> None:
        async def scenario(entry: Entry, _: FakeBackends) -> None:
            result = await entry.router.route(make_request())
            self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.NO_SUCH_SERVICE)

        self.run_entry(scenario)

    def run_keyed(
        self, number: int, entry: Entry, **changes: Any
    ) -> Awaitable[Result[BackendAnswer, Refusal]]:
        fields = {"method": "POST", "idempotent": False, "idempotency_key": KEY}
        return entry.router.route(make_request(number, **(fields | changes)))

    def test_a_repeated_key_gets_the_first_answer(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 4))
            first = (await self.run_keyed(1, entry)).unwrap()
            await trio.sleep(0.01)
            second = (await self.run_keyed(2, entry)).unwrap()
            self.assertEqual(second, msgspec.structs.replace(first, repeated=True))
            other = await self.run_keyed(3, entry, body=b"else")
            self.assert_refused(other, Outcome.NOT_RUN, RefusalReason.KEY_CONFLICT)
            self.assertEqual(sum(backends.runs.values()), 1)

        self.run_entry(scenario)

    def test_a_key_with_a_lost_answer_stays_unknown(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 4)
            server.behaviour = lambda: "cut"
            entry.grant(server)
            await self.run_keyed(1, entry)
            server.behaviour = lambda: "answer"
            again = await self.run_keyed(2, entry)
            self.assert_refused(again, Outcome.UNKNOWN, RefusalReason.KEY_RUNNING)
            self.assertEqual(sum(backends.runs.values()), 1)

        self.run_entry(scenario)

    def test_a_key_that_was_not_run_may_be_tried_again(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            server = backends.add("s1", 4)
            server.behaviour = lambda: "refuse"
            entry.grant(server)
            first = await self.run_keyed(1, entry)
            self.assertEqual(first.failure().outcome, Outcome.NOT_RUN)
            server.behaviour = lambda: "answer"
            self.assertIsInstance(await self.run_keyed(2, entry), Success)

        self.run_entry(scenario)

    def test_records_out_of_reach_refuse_without_a_run(self) -> None:
        async def scenario(entry: Entry, backends: FakeBackends) -> None:
            entry.grant(backends.add("s1", 4))
            entry.records.replies_arrive = lambda: False
            result = await self.run_keyed(1, entry)
            refusal = self.assert_refused(
                result, Outcome.NOT_RUN, RefusalReason.RECORDS_UNREACHABLE
            )
            self.assertIn("not looked up", refusal.sentence)
            entry.records.replies_arrive = lambda: True
            await trio.sleep(10)
            self.assertIsInstance(await self.run_keyed(2, entry), Success)
            self.assertEqual(sum(backends.runs.values()), 1)

        self.run_entry(scenario)


class SiblingsTest(unittest.TestCase):
    def run_pair(
        self, scenario: Callable[[Entry, Entry, FakeServer], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                backends = FakeBackends(nursery, LONGEST)
                domains = {"entry-1": "home", "entry-2": "home"}
                first, second = (
                    Entry(backends, name=name, domains=domains) for name in domains
                )
                routers = {"entry-1": first.router, "entry-2": second.router}
                for entry in (first, second):
                    entry.siblings.routers = routers
                    await nursery.start(entry.router.run)
                server = backends.add("s2", 2)
                second.grant(server)
                await scenario(first, second, server)
                nursery.cancel_scope.cancel()

        run_virtual(run)

    def test_a_full_entry_passes_requests_on_once(self) -> None:
        async def scenario(first: Entry, _: Entry, server: FakeServer) -> None:
            result = await first.router.route(make_request())
            self.assertEqual(result.unwrap().body, b"r0")
            self.assertEqual(server.most_running, 1)

        self.run_pair(scenario)

    def test_requests_wait_at_the_first_entry_while_all_are_full(self) -> None:
        async def scenario(first: Entry, second: Entry, server: FakeServer) -> None:
            results: list[Routed] = []

            async def route(number: int) -> None:
                results.append(await first.router.route(make_request(number)))

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(route, number)
            self.assertTrue(all(isinstance(each, Success) for each in results))
            self.assertEqual(server.most_running, 2)
            self.assertEqual(second.router.count_in_flight(), 0)

        self.run_pair(scenario)

    def test_a_lost_answer_of_another_entry_is_unknown(self) -> None:
        async def scenario(first: Entry, _: Entry, server: FakeServer) -> None:
            first.siblings.lost = lambda: True
            request = make_request(timeout=SECOND, method="POST", idempotent=False)
            result = await first.router.route(request)
            self.assertEqual(result.failure().outcome, Outcome.UNKNOWN)
            self.assertEqual(server.epoch, Epoch(1))

        self.run_pair(scenario)
