"""Tests of the interface for operators, on controllers in memory."""

from __future__ import annotations

import unittest
from http import HTTPStatus

import msgspec
import trio

from rhubarbfield.httpserver import HttpRequest, HttpResponse
from rhubarbfield.platform.control import ControlInterface
from tests.platform.test_wire import HEARTBEAT
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.test_reception import count_heartbeats

CONTROL_PORT = 2
REFUSED = 20
MANY_ROUTES = 5000
MANY_ORDERS = 8
TOO_MANY_ROUTES = 20_000


def make_body(version: int, routes: int) -> bytes:
    """Return a configuration as operators of the platform send it."""
    return msgspec.json.encode(
        {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{number:07}",
                    "Hostname": f"host-{number}.example",
                    "PathPrefix": f"/path-{number}/",
                    "Type": "unsafe",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 250,
                    "Priority": 2,
                    "Service": "service",
                    "MaxAttempts": 3,
                    "Stretch": 1.5,
                }
                for number in range(routes)
            ],
            "Services": [{"Name": "service", "EnforcesCapacity": True}],
            "Limits": {},
        }
    )


async def send(
    controllers: Controllers, method: str, body: bytes = b""
) -> HttpResponse:
    interface = ControlInterface(controllers.leader.service, CONTROL_PORT)
    request = HttpRequest(method=method, path="/config", headers={}, body=body)
    return await interface.answer(request)


class ConfigurationTest(unittest.TestCase):
    @with_controllers()
    async def test_a_configuration_of_thousands_of_routes_is_accepted(
        self, controllers: Controllers
    ) -> None:
        """From some 700 routes on it was answered 503 without end."""
        body = make_body(1000, MANY_ROUTES)
        response = await send(controllers, "PUT", body)
        self.assertEqual(response.status, HTTPStatus.OK)
        read = await send(controllers, "GET")
        self.assertEqual(msgspec.json.decode(read.body), msgspec.json.decode(body))

    @with_controllers()
    async def test_a_configuration_that_can_never_be_stored_is_refused(
        self, controllers: Controllers
    ) -> None:
        before = await send(controllers, "GET")
        body = make_body(1000, TOO_MANY_ROUTES)
        with self.assertLogs("rhubarbfield.scheduling.service", "WARNING"):
            response = await send(controllers, "PUT", body)
        self.assertEqual(response.status, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.assertIn(b"a command may have 2097152 bytes at most", response.body)
        self.assertEqual(await send(controllers, "GET"), before)

    @with_controllers()
    async def test_configurations_beyond_the_room_of_the_log_are_refused_by_reason(
        self, controllers: Controllers
    ) -> None:
        responses: dict[int, HttpResponse] = {}

        async def put(version: int) -> None:
            body = make_body(version, MANY_ROUTES)
            responses[version] = await send(controllers, "PUT", body)

        with self.assertLogs("rhubarbfield.scheduling.service", "WARNING"):
            async with trio.open_nursery() as nursery:
                for version in range(1000, 1000 + MANY_ORDERS):
                    nursery.start_soon(put, version)
        answered = {each.status for each in responses.values()}
        refusal = HTTPStatus.SERVICE_UNAVAILABLE
        self.assertEqual(answered, {HTTPStatus.OK, refusal})
        for each in responses.values():
            if each.status == refusal:
                self.assertIn(b"bytes of proposals are pending", each.body)
        highest = max(v for v, r in responses.items() if r.status == HTTPStatus.OK)
        read = await send(controllers, "GET")
        self.assertEqual(msgspec.json.decode(read.body)["Version"], highest)


class HeartbeatTest(unittest.TestCase):
    @with_controllers()
    async def test_heartbeats_out_of_range_are_counted_and_logged_from_time_to_time(
        self, controllers: Controllers
    ) -> None:
        """Two with a clock near the longest duration ended the leader."""
        interface = ControlInterface(controllers.leader.service, CONTROL_PORT)
        body = msgspec.json.encode({**HEARTBEAT, "ClockMs": 86_399_999_999_999_999})
        request = HttpRequest(
            method="PUT", path="/instances/i-1", headers={}, body=body
        )
        before = count_heartbeats("refused")
        with self.assertLogs("rhubarbfield.scheduling.reception") as logs:
            for _ in range(REFUSED):
                response = await interface.answer(request)
                self.assertEqual(response.status, HTTPStatus.BAD_REQUEST)
                self.assertIn(b"$.ClockMs", response.body)
                await trio.sleep(0.1)
            await trio.sleep(10)
            await interface.answer(request)
        self.assertEqual(count_heartbeats("refused") - before, REFUSED + 1)
        self.assertEqual(len(logs.records), 2)
        self.assertEqual(controllers.leader.log.state.scheduling.workers, {})


if __name__ == "__main__":
    unittest.main()
