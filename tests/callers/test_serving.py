"""Tests of the HTTP server for callers, over real loopback connections."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import httpx
import msgspec
import trio
from prometheus_client.parser import text_string_to_metric_families

from rhubarbfield.callers import Readiness, ServingSettings, create_app, serve
from rhubarbfield.callers.answers import RefusalBody
from rhubarbfield.types import Outcome
from tests.routing.fakes import MS, Entry, FakeBackends, scenario

SETTINGS = ServingSettings(
    keep_alive=timedelta(seconds=1),
    readiness_propagation_delay=300 * MS,
    drain_timeout=timedelta(seconds=10),
)
HEADERS = {"Rhubarbfield-Tenant": "casa"}


class ServedEntry:
    """An entry that serves callers, with fake backend servers."""

    def __init__(self, entry: Entry, client: httpx.AsyncClient) -> None:
        self.entry = entry
        self.client = client
        self.stop = trio.Event()
        self.stopped = trio.Event()


class ReadinessTest(unittest.TestCase):
    def test_an_entry_is_ready_once_it_listens_and_knows_the_services(self) -> None:
        """A listening entry without a directory refused known services by 404."""
        informed: list[bool] = []
        readiness = Readiness(lambda: bool(informed))
        readiness.set_listening()
        self.assertFalse(readiness.is_ready())
        informed.append(True)
        self.assertTrue(readiness.is_ready())
        readiness.begin_stop()
        self.assertFalse(readiness.is_ready())


class ServeTest(unittest.TestCase):
    def run_served(self, scenario: Callable[[ServedEntry], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                backends = FakeBackends(nursery, timedelta(seconds=30))
                entry = Entry(backends)
                await nursery.start(entry.router.run)
                entry.grant(backends.add("s1", 8, 500 * MS))
                readiness = Readiness()
                app = create_app(
                    entry.router, readiness=readiness, rng=random.Random(1)
                )
                served = ServedEntry(entry, httpx.AsyncClient(headers=HEADERS))

                async def serve_until_stopped(
                    task_status: trio.TaskStatus[list[str]],
                ) -> None:
                    await serve(
                        app,
                        "127.0.0.1:0",
                        stop=served.stop,
                        readiness=readiness,
                        clock=entry.clock,
                        settings=SETTINGS,
                        task_status=task_status,
                    )
                    served.stopped.set()

                binds = await nursery.start(serve_until_stopped)
                served.client.base_url = binds[0]
                async with served.client:
                    await scenario(served)
                nursery.cancel_scope.cancel()

        trio.run(run)

    @scenario("run_served")
    async def test_an_answer_carries_its_outcome_and_request_id(
        self, served: ServedEntry
    ) -> None:
        response = await served.client.get("/services/board/a%2Fb?c=d")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.headers["Rhubarbfield-Outcome"], "answered")
        request_id = response.headers["Rhubarbfield-Request-Id"]
        self.assertEqual(response.text, request_id)
        metrics = await served.client.get("/-/metrics")
        names = {each.name for each in text_string_to_metric_families(metrics.text)}
        self.assertIn("rhubarbfield_request_seconds", names)

    @scenario("run_served")
    async def test_refusals_are_json_documents(self, served: ServedEntry) -> None:
        attempts = (
            ("GET", "/services/nobody/", b"", 404, "no-such-service"),
            ("GET", "/elsewhere", b"", 404, "bad-request"),
            ("TRACE", "/services/board/", b"", 405, "bad-request"),
            ("POST", "/services/board/", bytes(2 << 20), 413, "bad-request"),
            ("GET", "/services/board/" + "a" * 9000, b"", 414, "bad-request"),
        )
        for method, path, content, status, reason in attempts:
            response = await served.client.request(method, path, content=content)
            body = msgspec.json.decode(response.content, type=RefusalBody)
            self.assertEqual((response.status_code, body.reason), (status, reason))
            self.assertEqual(body.outcome, Outcome.NOT_RUN)
            self.assertEqual(response.headers["Rhubarbfield-Outcome"], "not-run")

    @scenario("run_served")
    async def test_a_fault_of_the_entry_shows_no_stack_trace(
        self, served: ServedEntry
    ) -> None:
        served.entry.router.route = None  # type: ignore[assignment, method-assign]
        with self.assertLogs(level="ERROR"):
            response = await served.client.get("/services/board/")
        body = msgspec.json.decode(response.content, type=RefusalBody)
        self.assertEqual((response.status_code, body.outcome), (500, "unknown"))

    @scenario("run_served")
    async def test_a_planned_stop_cuts_off_no_request(
        self, served: ServedEntry
    ) -> None:
        statuses: list[int] = []

        async def call(delay: float) -> None:
            await trio.sleep(delay)
            response = await served.client.get("/services/board/")
            statuses.append(response.status_code)

        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(call, number * 0.04)
            await trio.sleep(0.2)
            served.stop.set()
            await trio.sleep(0.05)
            ready = await served.client.get("/-/ready")
            self.assertEqual(ready.status_code, 503)
            self.assertEqual(ready.headers["Connection"], "close")
        self.assertEqual(statuses, [200] * 12)
        with trio.fail_after(3):
            await served.stopped.wait()

    @scenario("run_served")
    async def test_a_request_keeps_running_after_its_caller_disconnects(
        self, served: ServedEntry
    ) -> None:
        with trio.move_on_after(0.2):
            await served.client.post("/services/board/")
        await trio.sleep(0.1)
        self.assertEqual(served.entry.router.count_in_flight(), 1)
        self.assertEqual(served.entry.router.count_free_slots("board"), 7)
        with trio.fail_after(2):
            await served.entry.router.wait_idle()
