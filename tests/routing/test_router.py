"""Tests of routing on the virtual clock, with fakes at every port."""

from __future__ import annotations

from datetime import timedelta

import trio
from returns.result import Success

from rhubarbfield.routing import (
    ClassSettings,
    RefusalReason,
    RoutingSettings,
    TenantSettings,
)
from rhubarbfield.types import (
    Outcome,
    RequestClass,
    RequestId,
    Tenant,
)
from tests.routing.cases import EntryCase
from tests.routing.fakes import (
    BOARD,
    MS,
    SECOND,
    Entry,
    make_request,
    scenario,
)


class RouterTest(EntryCase):
    @scenario("run_entry")
    async def test_answers_and_frees_the_slot(self, entry: Entry) -> None:
        entry.grant(entry.backends.add("s1", 2))
        result = await entry.router.route(make_request())
        self.assertEqual(result.unwrap().body, b"r0")
        self.assertEqual(entry.router.count_free_slots(BOARD), 2)
        await entry.router.wait_idle()

    @scenario("run_entry")
    async def test_a_full_service_queues_and_never_exceeds_its_slots(
        self, entry: Entry
    ) -> None:
        servers = [entry.backends.add("s1", 2), entry.backends.add("s2", 3)]
        for server in servers:
            entry.grant(server)
        requests = [make_request(number) for number in range(40)]
        results = await self.route_all(entry, requests)
        self.assertTrue(all(isinstance(each, Success) for each in results))
        self.assertEqual([each.most_running for each in servers], [2, 3])

    @scenario("run_entry")
    async def test_an_unsent_request_is_retried_at_another_server(
        self, entry: Entry
    ) -> None:
        bad, good = entry.backends.add("s1", 8), entry.backends.add("s2", 1)
        bad.behaviour = lambda: "unreachable"
        entry.grant(bad)
        entry.grant(good)
        result = await entry.router.route(make_request(method="POST", idempotent=False))
        self.assertEqual(result.unwrap().status, 200)
        self.assertEqual(entry.backends.runs[RequestId("r0")], 1)

    @scenario("run_entry")
    async def test_a_sent_request_is_retried_only_if_idempotent(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 8)
        server.behaviour = lambda: "cut"
        entry.grant(server)
        once = make_request(1, method="POST", idempotent=False)
        result = await entry.router.route(once)
        self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
        self.assertEqual(entry.backends.runs[RequestId("r1")], 1)
        await entry.router.route(make_request(2))
        self.assertEqual(entry.backends.runs[RequestId("r2")], 3)

    @scenario("run_entry")
    async def test_not_run_is_not_reported_after_an_attempt_that_may_have_run(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 8)
        behaviours = iter(["cut", "unreachable", "unreachable"])
        server.behaviour = lambda: next(behaviours)
        entry.grant(server)
        result = await entry.router.route(make_request())
        self.assertEqual(result.failure().outcome, Outcome.UNKNOWN)

    @scenario("run_entry")
    async def test_a_timed_out_request_keeps_its_slot_until_proof(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 1, timedelta(seconds=20))
        entry.grant(server)
        result = await entry.router.route(make_request(timeout=SECOND))
        self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
        self.assertEqual(entry.router.count_free_slots(BOARD), 0)
        await trio.sleep(5)
        entry.servers.report(server.report(entry.clock.monotonic()))
        self.assertEqual(entry.router.count_free_slots(BOARD), 0)
        await trio.sleep(20)
        entry.servers.report(server.report(entry.clock.monotonic()))
        self.assertEqual(entry.router.count_free_slots(BOARD), 1)

    @scenario("run_entry")
    async def test_a_cancelled_caller_does_not_free_its_slot(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 1, SECOND)
        entry.grant(server)
        with trio.move_on_after(0.1):
            await entry.router.route(make_request())
        self.assertEqual(len(server.running), 1)
        self.assertEqual(entry.router.count_free_slots(BOARD), 0)
        await trio.sleep(1)
        self.assertEqual(entry.router.count_free_slots(BOARD), 1)

    @scenario("run_entry")
    async def test_a_request_cancelled_in_the_queue_is_not_run(
        self, entry: Entry
    ) -> None:
        entry.grant(entry.backends.add("s1", 1, SECOND))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.router.route, make_request(1))
            await trio.sleep(0.01)
            with trio.move_on_after(0.1):
                await entry.router.route(make_request(2))
        await entry.router.wait_idle()
        self.assertEqual(entry.backends.runs[RequestId("r2")], 0)

    @scenario("run_entry")
    async def test_a_request_that_would_miss_its_deadline_is_refused_at_once(
        self, entry: Entry
    ) -> None:
        entry.grant(entry.backends.add("s1", 1, SECOND))
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

    @scenario("run_entry")
    async def test_a_full_queue_refuses_the_tenant_above_its_share(
        self, entry: Entry
    ) -> None:
        classes = {
            each: ClassSettings(weight=1, queue_length=4, timeout=SECOND)
            for each in RequestClass
        }
        entry.settings.replace(RoutingSettings(classes=classes))
        entry.grant(entry.backends.add("s1", 1))
        flood = [make_request(n, tenant=Tenant("flood")) for n in range(8)]
        quiet = [make_request(n, tenant=Tenant("quiet")) for n in (8, 9)]
        results = await self.route_all(entry, [*flood, *quiet])
        self.assertTrue(all(isinstance(each, Success) for each in results[8:]))
        refused = [each for each in results[:8] if not isinstance(each, Success)]
        self.assertEqual(len(refused), 5)
        for each in refused:
            self.assert_refused(each, Outcome.NOT_RUN, RefusalReason.QUEUE_FULL)

    @scenario("run_entry")
    async def test_a_quota_bounds_one_tenant_only(self, entry: Entry) -> None:
        tenants = {Tenant("casa"): TenantSettings(in_flight=2)}
        entry.settings.replace(RoutingSettings(tenants=tenants))
        entry.grant(entry.backends.add("s1", 8))
        requests = [make_request(number) for number in range(3)]
        requests.append(make_request(3, tenant=Tenant("other")))
        results = await self.route_all(entry, requests)
        self.assert_refused(results[2], Outcome.NOT_RUN, RefusalReason.QUOTA)
        self.assertIsInstance(results[3], Success)

    @scenario("run_entry")
    async def test_reloaded_settings_apply_to_the_next_request(
        self, entry: Entry
    ) -> None:
        entry.grant(entry.backends.add("s1", 8))
        refuse_all = TenantSettings(in_flight=0)
        entry.settings.replace(RoutingSettings(default_tenant=refuse_all))
        result = await entry.router.route(make_request())
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.QUOTA)

    @scenario("run_entry")
    async def test_retries_stop_when_the_budget_is_spent(self, entry: Entry) -> None:
        server = entry.backends.add("s1", 8)
        attempts: list[None] = []
        server.behaviour = lambda: attempts.append(None) or "unreachable"
        entry.grant(server)
        for number in range(50):
            await entry.router.route(make_request(number))
        self.assertLessEqual(len(attempts), 50 + 5)

    @scenario("run_entry")
    async def test_a_leaving_server_gets_nothing_new(self, entry: Entry) -> None:
        leaving = entry.backends.add("s1", 4)
        entry.grant(leaving)
        entry.grant(entry.backends.add("s2", 4))
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(entry.router.route, make_request(number))
            await trio.sleep(0.15)
            entry.servers.mark_leaving(leaving.id)
            await trio.sleep(0.001)
            leaving.left_at = entry.clock.monotonic()
        self.assertEqual(leaving.begun_after_leaving, [])

    @scenario("run_entry")
    async def test_a_lease_that_lapses_before_dispatch_stops_the_request(
        self, entry: Entry
    ) -> None:
        valid_until = entry.clock.monotonic() + timedelta(microseconds=200)
        entry.grant(entry.backends.add("s1", 4), valid_until=valid_until)
        result = await entry.router.route(make_request(timeout=SECOND))
        self.assertEqual(result.failure().outcome, Outcome.NOT_RUN)
        self.assertEqual(entry.backends.runs[RequestId("r0")], 0)

    @scenario("run_entry")
    async def test_a_server_revoked_while_connecting_gets_no_byte(
        self, entry: Entry
    ) -> None:
        server = entry.backends.add("s1", 4)
        server.behaviour = lambda: "slow-connect"
        entry.grant(server)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.router.route, make_request(timeout=5 * SECOND))
            await trio.sleep(0.1)
            entry.servers.revoke(server.id)
        self.assertEqual(entry.backends.runs[RequestId("r0")], 0)

    @scenario("run_entry")
    async def test_all_tasks_waiting_for_idleness_are_woken(self, entry: Entry) -> None:
        entry.grant(entry.backends.add("s1", 4))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.router.route, make_request())
                await trio.sleep(0.01)
                nursery.start_soon(entry.router.wait_idle)
                nursery.start_soon(entry.router.wait_idle)

    @scenario("run_entry")
    async def test_a_service_without_servers_is_refused(self, entry: Entry) -> None:
        result = await entry.router.route(make_request())
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.NO_SUCH_SERVICE)
