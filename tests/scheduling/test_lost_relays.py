"""Tests of calls through relays that die, freeze or are cut off."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.scheduling.model import JobPhase, Step
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    StartOrder,
    WorkerAddress,
)
from rhubarbfield.scheduling.relay import MAX_ORDER_WAIT
from rhubarbfield.types import InstanceName
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, count_runs_at_once
from tests.scheduling.relaying_controllers import RecordedCalls
from tests.scheduling.relays import (
    RelayedDeployment,
    Relays,
    make_start,
    make_view_request,
    with_relays,
)

# An order gets no reply for 1.3 s, then a retry goes another way.
MAX_SILENCE_SECONDS = 2.0
RETRY_SECONDS = 0.25


class LostRelayTest(unittest.TestCase):
    @with_relays("r1", "r2")
    async def test_relay_that_dies_gives_no_reply_and_calls_go_another_way(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            lost = relays.find_relay(to)
            other = "r2" if lost == "r1" else "r1"
            results: list[Result[Any, CallFailure]] = []

            async def wait_for_end() -> None:
                results.append(await relays.relayed.view(to, make_view_request(2)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_for_end)
                await trio.sleep(0.5)
                died_at = trio.current_time()
                relays.kill(lost)
            self.assertLess(trio.current_time() - died_at, 0.05)
            self.assertIsInstance(results[0].failure(), NoReply)
            self.assertIsInstance(await relays.relayed.start(to, make_start()), Success)
        self.assertEqual(len(relays.made[other].orders), 1)
        self.assertEqual(relays.direct.orders, [])

    @with_relays("r1", "r2")
    async def test_frozen_relay_silences_its_workers_for_a_bounded_time(
        self, relays: Relays
    ) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(8)]
        silences: list[float] = []

        async def measure_silence(to: WorkerAddress) -> None:
            began = trio.current_time()
            while isinstance(
                await relays.relayed.start(to, make_start(to.worker)), Failure
            ):
                await trio.sleep(RETRY_SECONDS)
            silences.append(trio.current_time() - began)

        async with relays.run():
            for to in workers:
                await relays.relayed.view(to, make_view_request())
            relays.freeze("r1")
            async with trio.open_nursery() as nursery:
                for to in workers:
                    nursery.start_soon(measure_silence, to)
            self.assertLess(max(silences), MAX_SILENCE_SECONDS)
            self.assertLess(sorted(silences)[3], 0.1)
            await trio.sleep(20)
            for to in workers:
                began = trio.current_time()
                await relays.relayed.view(to, make_view_request())
                self.assertLess(trio.current_time() - began, 0.1)

    @with_relays("r1", "r2")
    async def test_frozen_relay_is_lost_before_a_view_times_out(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            relays.freeze(relays.find_relay(to))
            began = trio.current_time()
            result = await relays.relayed.view(to, make_view_request(5))
            self.assertIsInstance(result.failure(), NoReply)
            self.assertLess(trio.current_time() - began, MAX_SILENCE_SECONDS)

    @with_relays("r1", "r2", "r3")
    async def test_relay_that_misses_pings_gets_no_further_workers(
        self, relays: Relays
    ) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(6)]
        async with relays.run():
            relays.freeze("r1")
            await trio.sleep(1)
            for to in workers:
                result = await relays.relayed.view(to, make_view_request())
                self.assertIsInstance(result, Success)
        self.assertEqual(relays.direct.orders, [])

    @with_relays("r1", "r2")
    async def test_worker_that_a_relay_does_not_reach_gets_another(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            first = relays.find_relay(to)
            relays.cut_off(first, to)
            lost = await relays.relayed.start(to, make_start())
            self.assertIsInstance(lost.failure(), NoReply)
            for _ in range(3):
                result = await relays.relayed.view(to, make_view_request())
                self.assertIsInstance(result, Success)
        self.assertEqual(len(relays.made[first].orders), 2)
        self.assertEqual(relays.direct.orders, [])

    @with_relays("r1")
    async def test_worker_that_the_only_relay_does_not_reach_is_called_directly(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            relays.cut_off("r1", to)
            lost = await relays.relayed.start(to, make_start())
            self.assertIsInstance(lost.failure(), NoReply)
            for _ in range(3):
                result = await relays.relayed.view(to, make_view_request())
                self.assertIsInstance(result, Success)
            relays.direct.unreachable.add(to.address)
            relays.made["r1"].unreachable.clear()
            lost = await relays.relayed.start(to, make_start())
            self.assertIsInstance(lost.failure(), NoReply)
            result = await relays.relayed.view(to, make_view_request())
            self.assertIsInstance(result, Success)

    @with_relays("r1")
    async def test_order_that_waited_long_at_the_leader_is_not_carried_out(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            link = relays.relayed._links[InstanceName("r1")]
            held_until = relays.clock.monotonic() + 2 * MAX_ORDER_WAIT
            link._outbox._next_batch_at = held_until
            result = await relays.relayed.start(to, make_start())
            self.assertIsInstance(result.failure(), NoReply)
        self.assertEqual(relays.get_worker(to).started, [])

    @with_relays()
    async def test_balance_without_a_connected_relay_changes_nothing(
        self, relays: Relays
    ) -> None:
        """A relay may be removed between its first answer and the balance."""
        relays.relayed._balance()
        self.assertEqual(relays.relayed._assigned, {})

    def test_lost_relay_causes_no_second_start(self) -> None:
        run_deterministic(self._check_single_start, seed=1)

    async def _check_single_start(self) -> None:
        deployment = RelayedDeployment("r1", "r2")
        await deployment.configure()
        relays = deployment.relays
        workers = [
            deployment.add_worker(f"w{number}", duration=timedelta(seconds=2))
            for number in range(3)
        ]
        async with relays.run(started=()):
            for name in relays.names:
                calls = CallsOfDyingRelay(relays, name)
                await relays.start_relay(name, calls)
            await trio.sleep(5)
            async with deployment.lead():
                await deployment.submit("j", Step(tasks=6, demand=ONE_CORE))
                for _ in range(200):
                    await trio.sleep(0.05)
                    self.assertLessEqual(count_runs_at_once(deployment), 1)
                self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)
        started = [(task, run) for each in workers for task, run, _ in each.started]
        self.assertEqual(len(started), 6)
        self.assertEqual(len({task for task, _ in started}), 6)
        self.assertEqual({run for _, run in started}, {1})


class CallsOfDyingRelay(RecordedCalls):
    """Calls of a relay whose streams are cut after each worker's first start."""

    def __init__(self, relays: Relays, name: str) -> None:
        super().__init__(relays.fleet)
        self._network = relays.network
        self._name = name
        self._started: set[str] = set()

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        result = await super().start(to, order)
        if to.address not in self._started:
            self._started.add(to.address)
            self._network.disconnect_host(self._name)
        return result


if __name__ == "__main__":
    unittest.main()
