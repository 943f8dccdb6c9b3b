"""Tests of backend servers that are silent for a while, in a whole fleet in memory."""

from __future__ import annotations

import unittest

import msgspec
import trio
from returns.result import Success

from rhubarbfield.replay.fleet import MemoryFleet
from tests.entry.fleets import (
    DOMAINS,
    find_owner,
    isolate_domain,
    make_request,
    route,
    run_fleet,
)

SERVER = "s-north-0"
SILENCE_SECONDS = 3.0
RETURN_SECONDS = 2.0
ANSWER_SECONDS = 2.0
REQUESTS = 30
REPORTS_SECONDS = 3.0  # longer than a report of free slots is valid
CLOSE_SECONDS = 0.1  # shorter than a report of free slots is valid


class SilentServerTest(unittest.TestCase):
    def test_a_server_that_was_silent_is_used_again(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            isolate_domain(fleet, "north")
            before = find_owner(fleet, SERVER)
            announcer = fleet.announcers[SERVER]
            announcer.muted = True
            await trio.sleep(SILENCE_SECONDS)
            announcer.muted = False
            await trio.sleep(RETURN_SECONDS)
            self.assertEqual(find_owner(fleet, SERVER), before)
            for name in DOMAINS["north"]:
                with trio.fail_after(ANSWER_SECONDS):
                    result = await route(fleet, name, make_request(f"r-{name}"))
                self.assertIsInstance(result, Success)

        run_fleet(body)


class StoppedOwnerTest(unittest.TestCase):
    def test_requests_for_an_entry_that_has_stopped_are_answered_by_the_next_owner(
        self,
    ) -> None:
        async def body(fleet: MemoryFleet) -> None:
            isolate_domain(fleet, "north")
            await trio.sleep(REPORTS_SECONDS)
            owner, _ = find_owner(fleet, SERVER)
            other = next(name for name in DOMAINS["north"] if name != owner)
            await self.spend_retries(fleet, other)
            await fleet.kill_process(f"entry {owner}")
            await trio.sleep(CLOSE_SECONDS)
            results: list[object] = []

            async def send_request(number: int) -> None:
                request = make_request(f"r{number}")
                results.append(await route(fleet, other, request))

            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(send_request, number)
            self.assertEqual([type(result) for result in results], [Success] * REQUESTS)
            self.assertEqual(find_owner(fleet, SERVER)[0], other)

        for seed in range(1, 4):
            run_fleet(body, seed)

    async def spend_retries(self, fleet: MemoryFleet, entry: str) -> None:
        """Leave no retry in the budget, as after many failures."""
        limits = fleet.entries[entry].router.settings
        limits.replace(msgspec.structs.replace(limits.current, retry_burst=0.0))
        result = await route(fleet, entry, make_request("first"))
        self.assertIsInstance(result, Success)
