"""Tests of the stand-in backend server's own counts and orders."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import httpx
import msgspec
import trio

from rhubarbfield.exceptions import UsageError
from rhubarbfield.testing import backend
from rhubarbfield.testing.backend import (
    Observations,
    StandInBackend,
    StandInSettings,
    serve_backend,
)
from tests.routing.fakes import scenario


class StandInBackendTest(unittest.TestCase):
    def run_stand_in(
        self, scenario: Callable[[StandInBackend, httpx.AsyncClient], Awaitable[None]]
    ) -> None:
        settings = StandInSettings(
            slots=2, connections=4, mean_latency=timedelta(milliseconds=200), spread=0
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                stand_in = await nursery.start(serve_backend, settings)
                url = f"http://127.0.0.1:{stand_in.port}"
                async with httpx.AsyncClient(base_url=url) as client:
                    await scenario(stand_in, client)
                nursery.cancel_scope.cancel()

        trio.run(run)

    @scenario("run_stand_in")
    async def test_counts_what_finds_no_slot(
        self, _: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(client.get, "/render")
        shown = await client.get("/-/observations")
        seen = msgspec.json.decode(shown.content, type=Observations)
        self.assertEqual((seen.most_running, seen.over_slots), (2, 1))
        self.assertEqual(seen.most_connections, 3)

    @scenario("run_stand_in")
    async def test_counts_what_runs_on_after_its_caller_left(
        self, stand_in: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        headers = {"Idempotency-Key": "k", "Rhubarbfield-Tenant": "casa"}
        with trio.move_on_after(0.1):
            await client.post("/reserve", headers=headers)
        await trio.sleep(0.02)
        self.assertEqual(stand_in.observe().running, 1)
        await trio.sleep(0.2)
        self.assertEqual(stand_in.observe().running, 0)
        self.assertEqual(stand_in.observe().runs_by_key, {"casa/k": 1})

    @scenario("run_stand_in")
    async def test_closes_connections_above_the_limit(
        self, stand_in: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        streams = [
            await trio.open_tcp_stream("127.0.0.1", stand_in.port) for _ in range(5)
        ]
        await trio.sleep(0.1)
        self.assertEqual(stand_in.observe().over_connections, 1)
        for stream in streams:
            await stream.aclose()

    @scenario("run_stand_in")
    async def test_takes_orders_only_from_outside_the_entries(
        self, stand_in: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        routed = {"Rhubarbfield-Request-Id": "r1"}
        await client.post("/-/leave", headers=routed)
        self.assertEqual(stand_in.state, "serving")
        await client.post("/-/leave")
        self.assertEqual(stand_in.state, "leaving")
        refused = await client.get("/render", headers=routed)
        self.assertEqual(refused.headers["Rhubarbfield-Outcome"], "not-run")
        wrong = await client.post("/-/misbehave", content=b'{"misbehaviour": 1}')
        self.assertEqual(wrong.status_code, 400)

    def test_a_wrong_flag_is_a_usage_error(self) -> None:
        for argv in (["--slot=1"], ["--slots=0"], ["--mean_ms=fast"]):
            with self.assertRaises(UsageError):
                backend.main(argv)
