"""Tests of the leader's side of relayed calls."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import wraps
from typing import Any

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.scheduling.metrics import WORKER_CALLS_ROUTED
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from rhubarbfield.scheduling.relayed_calls import HOP_ALLOWANCE
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.controllers import RecordedCalls
from tests.scheduling.deployments import ONE_CORE, count_runs_at_once
from tests.scheduling.relays import (
    ORDER_TIMEOUT,
    RelayedDeployment,
    Relays,
    make_start,
    make_stop,
    make_view_request,
    wait_until,
)

# An order gets no reply for 1.3 s, then a retry goes another way.
MAX_SILENCE_SECONDS = 2.0
RETRY_SECONDS = 0.25

Test = Callable[[Any, Relays], Awaitable[None]]


def with_relays(*names: str) -> Callable[[Test], Callable[[Any], None]]:
    """Return a decorator that runs a test with relays that are not started."""

    def decorate(test: Test) -> Callable[[Any], None]:
        @wraps(test)
        def run(case: Any) -> None:
            async def check() -> None:
                await test(case, Relays(*names))

            run_deterministic(check, seed=1)

        return run

    return decorate


def count_routed(route: str) -> float:
    return WORKER_CALLS_ROUTED.labels(route)._value.get()


class RoutingTest(unittest.TestCase):
    @with_relays("r1", "r2", "r3")
    async def test_workers_are_spread_and_stay_with_their_relay(
        self, relays: Relays
    ) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(12)]
        async with relays.run():
            for _ in range(3):
                for to in workers:
                    self.assertIsInstance(
                        await relays.relayed.view(to, make_view_request()), Success
                    )
        called = [
            {address for address, _ in calls.orders} for calls in relays.made.values()
        ]
        self.assertEqual([len(each) for each in called], [4, 4, 4])
        self.assertEqual(len(set().union(*called)), 12)
        self.assertEqual(relays.direct.orders, [])

    @with_relays("r1", "r2")
    async def test_relay_that_connects_later_takes_over_its_share(
        self, relays: Relays
    ) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(8)]
        async with relays.run(started=("r1",)):
            for to in workers:
                await relays.relayed.view(to, make_view_request())
            self.assertEqual(len(relays.made["r1"].orders), 8)
            await relays.start_relay("r2")
            await trio.sleep(5)
            for _ in range(2):
                for to in workers:
                    await relays.relayed.view(to, make_view_request())
        self.assertEqual(len(relays.made["r1"].orders), 8 + 2 * 4)
        self.assertEqual(len(relays.made["r2"].orders), 2 * 4)

    @with_relays("r1")
    async def test_calls_are_direct_without_a_relay(self, relays: Relays) -> None:
        to = relays.add_worker("w1")
        direct, relayed = count_routed("direct"), count_routed("relayed")
        async with relays.run(started=()):
            self.assertIsInstance(await relays.relayed.start(to, make_start()), Success)
            await relays.start_relay("r1")
            await trio.sleep(5)
            self.assertIsInstance(await relays.relayed.stop(to, make_stop()), Success)
            relays.kill("r1")
            await trio.sleep(0.1)
            await relays.relayed.view(to, make_view_request())
        made = [type(order) for _, order in relays.made["r1"].orders]
        self.assertEqual(made, [StopOrder])
        self.assertEqual(len(relays.direct.orders), 2)
        self.assertEqual(count_routed("direct"), direct + 2)
        self.assertEqual(count_routed("relayed"), relayed + 1)

    @with_relays("r1", "r2")
    async def test_removed_controller_is_no_relay_any_more(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            relays.names.remove(relays.find_relay(to))
            await trio.sleep(2)
            await relays.relayed.view(to, make_view_request())
        self.assertEqual([len(made.orders) for made in relays.made.values()], [1, 1])

    @with_relays("r1", "r2")
    async def test_connections_are_closed_at_all_relays(self, relays: Relays) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            await relays.relayed.forget(to.address)
            await trio.sleep(0.1)
        for calls in (relays.direct, *relays.made.values()):
            self.assertIn(to.address, calls.forgotten)


class ResultTest(unittest.TestCase):
    @with_relays("r1")
    async def test_results_are_the_same_as_of_direct_calls(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        other = WorkerAddress(WorkerId("w0"), to.address)
        order = make_start()
        pace = PaceOrder(task=order.task, run=order.run, percent=50, term=order.term)
        async with relays.run():
            started = await relays.relayed.start(to, order)
            self.assertIsInstance(started.unwrap(), timedelta)
            self.assertIsInstance(await relays.relayed.pace(to, pace), Success)
            view = (await relays.relayed.view(to, make_view_request())).unwrap()
            self.assertEqual([run.task for run in view.active], [order.task])
            await relays.relayed.stop(to, make_stop())
            view = (await relays.relayed.view(to, make_view_request())).unwrap()
            direct = (await relays.fleet.view(to, make_view_request())).unwrap()
            self.assertEqual(view.ends, direct.ends)
            again = (await relays.relayed.start(to, order)).failure()
            directly = (await relays.fleet.start(to, order)).failure()
            self.assertEqual(type(again), type(directly))
            self.assertEqual(again.refusal, directly.refusal)
            self.assertEqual(
                await relays.relayed.start(other, order), Failure(OtherLife())
            )
            relays.get_worker(to).is_unreachable = True
            lost = (await relays.relayed.start(to, order)).failure()
            self.assertIsInstance(lost, NoReply)
        self.assertEqual(relays.direct.orders, [])

    @with_relays("r1", "r2")
    async def test_orders_to_each_worker_keep_their_order(self, relays: Relays) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(10)]

        async def give_orders(to: WorkerAddress) -> None:
            for run in range(1, 21):
                await relays.relayed.start(to, make_start(run=run))
                await relays.relayed.stop(to, make_stop(run=run))

        async with relays.run(), trio.open_nursery() as nursery:
            for to in workers:
                nursery.start_soon(give_orders, to)
        for to in workers:
            made = [
                (type(order), order.run)
                for calls in relays.made.values()
                for address, order in calls.orders
                if address == to.address
            ]
            expected = [
                (kind, run) for run in range(1, 21) for kind in (StartOrder, StopOrder)
            ]
            self.assertEqual(made, expected)

    @with_relays("r1")
    async def test_call_that_a_relay_does_not_end_is_cancelled_there(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        hanging = HangingCalls(relays.fleet)
        async with relays.run(started=()):
            await relays.start_relay("r1", hanging)
            await trio.sleep(5)
            began = trio.current_time()
            result = await relays.relayed.start(to, make_start())
            elapsed = timedelta(seconds=trio.current_time() - began)
            self.assertIsInstance(result.failure(), NoReply)
            self.assertAlmostEqual(
                elapsed.total_seconds(),
                (ORDER_TIMEOUT + HOP_ALLOWANCE).total_seconds(),
                places=2,
            )
            self.assertEqual(hanging.in_progress, 1)
            await wait_until(lambda: hanging.in_progress == 0, seconds=0.1)
            self.assertIsInstance(
                await relays.relayed.view(to, make_view_request()), Success
            )


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


class HangingCalls(RecordedCalls):
    """Calls whose starts never end.

    Attributes
    ----------
    in_progress
        Number of starts that are not cancelled.
    """

    in_progress = 0

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        self.in_progress += 1
        try:
            await trio.sleep_forever()
        finally:
            self.in_progress -= 1
        raise AssertionError


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
