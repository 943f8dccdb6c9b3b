"""Tests of the counts and the control requests of the stand-in backend server."""

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

RUN_SECONDS = 0.2


class StandInBackendTest(unittest.TestCase):
    def run_stand_in(
        self, scenario: Callable[[StandInBackend, httpx.AsyncClient], Awaitable[None]]
    ) -> None:
        settings = StandInSettings(
            slots=2,
            connections=4,
            mean_latency=timedelta(seconds=RUN_SECONDS),
            spread=0,
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                stand_in = await nursery.start(serve_backend, settings)
                url = f"http://127.0.0.1:{stand_in.port}"
                async with httpx.AsyncClient(base_url=url) as client:
                    await scenario(stand_in, client)
                nursery.cancel_scope.cancel()

        trio.run(run)

    async def wait_for_running(self, stand_in: StandInBackend, count: int) -> None:
        with trio.fail_after(5):
            while stand_in.observe().running != count:
                await trio.sleep(0.005)

    @scenario("run_stand_in")
    async def test_requests_without_a_free_slot_are_counted(
        self, _: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(client.get, "/render")
        response = await client.get("/-/observations")
        counts = msgspec.json.decode(response.content, type=Observations)
        self.assertEqual((counts.most_running, counts.over_slots), (2, 1))
        self.assertEqual(counts.most_connections, 3)

    @scenario("run_stand_in")
    async def test_requests_are_counted_until_their_end_after_a_disconnect(
        self, stand_in: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        headers = {"Idempotency-Key": "k", "Rhubarbfield-Tenant": "casa"}
        abandoned = trio.CancelScope()
        began = trio.current_time()

        async def call() -> None:
            with abandoned:
                await client.post("/reserve", headers=headers)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await self.wait_for_running(stand_in, 1)
            abandoned.cancel()
        await trio.sleep(0.02)
        self.assertEqual(stand_in.observe().running, 1)
        await self.wait_for_running(stand_in, 0)
        self.assertGreaterEqual(trio.current_time() - began, RUN_SECONDS)
        self.assertEqual(stand_in.observe().runs_by_key, {"casa/k": 1})

    @scenario("run_stand_in")
    async def test_connections_above_the_limit_are_closed(
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
    async def test_routed_requests_do_not_control_the_server(
        self, stand_in: StandInBackend, client: httpx.AsyncClient
    ) -> None:
        routed = {"Rhubarbfield-Request-Id": "r1"}
        await client.post("/-/leave", headers=routed)
        self.assertEqual(stand_in.state, "serving")
        await client.post("/-/leave")
        self.assertEqual(stand_in.state, "leaving")
        refused = await client.get("/render", headers=routed)
        self.assertEqual(refused.headers["Rhubarbfield-Outcome"], "not-run")
        invalid = await client.post("/-/misbehave", content=b'{"misbehaviour": 1}')
        self.assertEqual(invalid.status_code, 400)

    def test_an_invalid_flag_is_a_usage_error(self) -> None:
        for argv in (["--slot=1"], ["--slots=0"], ["--mean_ms=fast"]):
            with self.assertRaises(UsageError):
                backend.main(argv)
