"""Tests of backend servers that are silent for a while, in a whole fleet in memory."""

from __future__ import annotations

import unittest

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
