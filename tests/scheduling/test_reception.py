"""Tests of heartbeats at controllers that do not lead."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import msgspec
import trio
from prometheus_client import REGISTRY

from rhubarbfield.groups import NotLeading
from rhubarbfield.scheduling.heartbeats import HEARTBEAT_CALL, HEARTBEAT_STREAM
from rhubarbfield.testing.memory_transport import MemoryConnection, MemoryTransport
from rhubarbfield.types import InstanceName
from tests.scheduling.controllers import (
    REPORT_SECONDS,
    Controllers,
    report,
    with_controllers,
)

COMMIT_SECONDS = 0.5  # a commit, and its application at followers
CONTACT_SECONDS = 1.1  # a follower without contact acknowledges for up to 1 s


def count_heartbeats(outcome: str) -> float:
    name = "rhubarbfield_scheduling_heartbeats_total"
    return REGISTRY.get_sample_value(name, {"outcome": outcome}) or 0


class FormerTransport(MemoryTransport):
    """Transport of a version that doesn't know the call for heartbeats."""

    async def serve(self, host: str, port: int, **options: Any) -> None:
        calls = dict(options.pop("calls"))
        streams = dict(options.pop("streams"))
        del calls[HEARTBEAT_CALL]
        del streams[HEARTBEAT_STREAM]
        await super().serve(host, port, calls=calls, streams=streams, **options)


class UnaryTransport(MemoryTransport):
    """Transport of a version that knows the call and not the stream of it."""

    async def serve(self, host: str, port: int, **options: Any) -> None:
        streams = dict(options.pop("streams"))
        del streams[HEARTBEAT_STREAM]
        await super().serve(host, port, streams=streams, **options)


class FollowerTest(unittest.TestCase):
    @with_controllers()
    async def test_worker_registers_at_a_follower(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        self.assertIs(await report(controllers.followers[0], worker), True)
        self.assertIsNotNone(controllers.find_worker(worker))

    @with_controllers()
    async def test_heartbeat_without_news_is_not_passed_on_to_the_leader(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        before = count_heartbeats("taken")
        for _ in range(10):
            self.assertIs(await report(controllers.followers[0], worker), True)
            await trio.sleep(REPORT_SECONDS)
        self.assertEqual(count_heartbeats("taken"), before)

    @with_controllers()
    async def test_worker_that_reports_to_followers_receives_tasks(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        for number in range(10):
            await trio.sleep(REPORT_SECONDS)
            await report(controllers.followers[number % 2], worker)
        await trio.sleep(COMMIT_SECONDS)
        await controllers.submit("j")
        await trio.sleep(COMMIT_SECONDS)
        self.assertEqual(len(worker.started), 1)

    @with_controllers()
    async def test_draining_is_committed_before_a_follower_acknowledges_it(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        follower = controllers.followers[0]
        self.assertIs(await report(follower, worker, draining=True), True)
        record = controllers.find_worker(worker)
        assert record is not None
        self.assertTrue(record.draining)

    @with_controllers()
    async def test_departure_at_a_follower_ends_placement_on_the_worker(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        service = controllers.followers[0].service
        self.assertIs(await service.handle_departure(worker.worker), True)
        await controllers.submit("j")
        await trio.sleep(COMMIT_SECONDS)
        self.assertEqual(worker.started, [])

    @with_controllers()
    async def test_worker_unknown_to_the_leader_registers_again(
        self, controllers: Controllers
    ) -> None:
        """A follower that lags behind may still have a worker that was removed."""
        worker = controllers.add_worker("w1")
        follower = controllers.followers[0]
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        removed = controllers.find_worker(worker)
        assert removed is not None
        outdated = msgspec.structs.replace(removed)
        leader_state = controllers.leader.log.state.scheduling
        del leader_state.workers[worker.worker]
        follower.log.state.scheduling.workers[worker.worker] = outdated
        for _ in range(2):
            self.assertIs(await report(follower, worker), True)
            await trio.sleep(REPORT_SECONDS)
        self.assertIsNotNone(controllers.find_worker(worker))

    @with_controllers()
    async def test_worker_keeps_receiving_tasks_after_a_change_of_leader(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        follower, next_follower = controllers.followers
        controllers.leader.release_leadership()
        for _ in range(6):
            if await report(follower, worker) is not True:
                await report(next_follower, worker)
            await trio.sleep(REPORT_SECONDS)
        await controllers.submit("j")
        await trio.sleep(COMMIT_SECONDS)
        self.assertEqual(len(worker.started), 1)

    @with_controllers(transport=FormerTransport)
    async def test_former_leader_gets_all_heartbeats(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        leader = NotLeading(InstanceName(controllers.get_name(controllers.leader)))
        follower = controllers.followers[0]
        self.assertEqual(await report(follower, worker), leader)
        self.assertEqual(await report(follower, worker, draining=True), leader)
        departure = await follower.service.handle_departure(worker.worker)
        self.assertEqual(departure, leader)

    @with_controllers(transport=UnaryTransport)
    async def test_digests_reach_a_leader_that_does_not_serve_the_stream(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        self.assertIs(await report(controllers.followers[0], worker), True)

    @with_controllers()
    async def test_digests_cost_no_call_of_their_own(
        self, controllers: Controllers
    ) -> None:
        """A gRPC call of its own costs three times as much as one on a stream."""
        with mock.patch.object(
            MemoryConnection, "call", autospec=True, side_effect=AssertionError
        ):
            worker = controllers.add_worker("w1")
            await report(controllers.leader, worker)
            for _ in range(4):
                await trio.sleep(REPORT_SECONDS)
                self.assertIs(await report(controllers.followers[0], worker), True)


class CutOffFollowerTest(unittest.TestCase):
    @with_controllers()
    async def test_heartbeats_are_not_acknowledged(
        self, controllers: Controllers
    ) -> None:
        known, unknown = (controllers.add_worker(name) for name in ("w1", "w2"))
        follower = controllers.followers[0]
        await report(controllers.leader, known)
        await trio.sleep(COMMIT_SECONDS)
        controllers.cut_off(follower)
        await trio.sleep(CONTACT_SECONDS)
        self.assertIs(await report(follower, known), False)
        self.assertIs(await report(follower, known, draining=True), False)
        self.assertIs(await report(follower, unknown), False)

    @with_controllers()
    async def test_worker_goes_on_receiving_tasks(
        self, controllers: Controllers
    ) -> None:
        """At most one heartbeat is lost, after which the worker reports elsewhere."""
        worker = controllers.add_worker("w1")
        cut_off, other = controllers.followers
        await report(controllers.leader, worker)
        await trio.sleep(COMMIT_SECONDS)
        controllers.cut_off(cut_off)
        for _ in range(4):
            if await report(cut_off, worker) is not True:
                await report(other, worker)
            await trio.sleep(REPORT_SECONDS)
        await controllers.submit("j")
        await trio.sleep(COMMIT_SECONDS)
        self.assertEqual(len(worker.started), 1)


if __name__ == "__main__":
    unittest.main()
