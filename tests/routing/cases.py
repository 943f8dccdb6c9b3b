"""Base class for tests of routing on the virtual clock."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio
from returns.result import Result

from rhubarbfield.routing import BackendAnswer, Refusal, RefusalReason
from rhubarbfield.types import Outcome
from tests.routing.fakes import Entry, FakeBackends, run_virtual

MAX_REQUEST_TIME = timedelta(seconds=30)
Routed = Result[BackendAnswer, Refusal]


class EntryCase(unittest.TestCase):
    """A test of one entry."""

    def run_entry(self, test: Callable[[Entry], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                entry = Entry(FakeBackends(nursery, MAX_REQUEST_TIME))
                await nursery.start(entry.router.run)
                await test(entry)
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
