"""Tests of the order in which waiting requests get slots."""

from __future__ import annotations

import unittest
from collections import Counter
from datetime import timedelta

from rhubarbfield.routing import LiveSettings, RoutingSettings, TenantSettings
from rhubarbfield.routing.queues import ServiceQueue, Waiter
from rhubarbfield.types import RequestClass, Tenant
from tests.routing.fakes import make_request


def make_waiter(tenant: str, request_class: RequestClass) -> Waiter:
    request = make_request(tenant=Tenant(tenant), request_class=request_class)
    return Waiter(request, timedelta(seconds=10))


class ServiceQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        tenants = {Tenant("heavy"): TenantSettings(weight=3.0)}
        self.queue = ServiceQueue(LiveSettings(RoutingSettings(tenants=tenants)))

    def push(self, tenant: str, request_class: RequestClass, count: int) -> None:
        for _ in range(count):
            self.queue.push(make_waiter(tenant, request_class))

    def pop_many(self, count: int) -> list[Waiter]:
        return [waiter for _ in range(count) if (waiter := self.queue.pop())]

    def test_tenants_share_by_weight(self) -> None:
        self.push("light", RequestClass.BULK, 40)
        self.push("heavy", RequestClass.BULK, 40)
        turns = Counter(each.request.tenant for each in self.pop_many(40))
        self.assertEqual(turns, {"heavy": 30, "light": 10})

    def test_urgent_goes_before_bulk_without_starving_it(self) -> None:
        self.push("a", RequestClass.BULK, 10)
        self.push("a", RequestClass.URGENT, 100)
        popped = [each.request.request_class for each in self.pop_many(101)]
        first_bulk = popped.index(RequestClass.BULK)
        self.assertGreaterEqual(first_bulk, 60)
        self.assertLessEqual(first_bulk, 65)

    def test_a_class_added_again_keeps_no_credit_or_debt(self) -> None:
        self.push("a", RequestClass.BULK, 50)
        self.pop_many(50)
        self.push("a", RequestClass.URGENT, 50)
        self.pop_many(50)
        self.push("a", RequestClass.BULK, 5)
        self.push("a", RequestClass.URGENT, 5)
        popped = [each.request.request_class for each in self.pop_many(5)]
        self.assertEqual(popped, [RequestClass.URGENT] * 5)

    def test_a_removed_waiter_is_never_popped(self) -> None:
        removed = make_waiter("a", RequestClass.URGENT)
        self.queue.push(removed)
        self.push("b", RequestClass.URGENT, 1)
        self.assertTrue(self.queue.remove(removed))
        self.assertFalse(self.queue.remove(removed))
        self.assertEqual([each.request.tenant for each in self.pop_many(2)], ["b"])
        self.assertIsNone(self.queue.pop())

    def test_a_quiet_tenant_does_not_wait_for_a_flood(self) -> None:
        self.push("flood", RequestClass.BULK, 100)
        quiet = make_request(tenant=Tenant("quiet"), request_class=RequestClass.BULK)
        self.assertEqual(self.queue.count_ahead(quiet), 1)
