"""Tests of the leader's side of relayed calls."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
import trio.testing
from returns.result import Failure, Result, Success

from rhubarbfield.scheduling.metrics import WORKER_CALLS_ROUTED
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    OtherLife,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from rhubarbfield.scheduling.relay_messages import ReplyBatch
from rhubarbfield.scheduling.relayed_calls import HOP_ALLOWANCE
from rhubarbfield.types import InstanceName, WorkerId
from tests.scheduling.relaying_controllers import RecordedCalls
from tests.scheduling.relays import (
    ORDER_TIMEOUT,
    Relays,
    make_start,
    make_stop,
    make_view_request,
    wait_until,
    with_relays,
)


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

    @with_relays("r1", "r2", "r3", workers_per_relay=4)
    async def test_no_more_relays_are_used_than_the_workers_need(
        self, relays: Relays
    ) -> None:
        workers = [relays.add_worker(f"w{number}") for number in range(6)]
        async with relays.run():
            for _ in range(3):
                for to in workers:
                    await relays.relayed.view(to, make_view_request())
            called = self.list_called(relays)
            self.assertEqual(sorted(map(len, called.values())), [0, 2, 4])
            fullest = max(called, key=lambda name: len(called[name]))
            relays.kill(fullest)
            await trio.sleep(0.1)
            for to in workers:
                result = await relays.relayed.view(to, make_view_request())
                self.assertIsInstance(result, Success)
            moved = self.list_called(relays)
            del moved[fullest]
            self.assertEqual(sorted(map(len, moved.values())), [2, 4])
        self.assertEqual(relays.direct.orders, [])

    def list_called(self, relays: Relays) -> dict[str, set[str]]:
        """Return the workers that each relay has called."""
        return {
            name: {address for address, _ in calls.orders}
            for name, calls in relays.made.items()
        }

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

    @with_relays("r1", "r2")
    async def test_relay_that_is_about_to_end_gets_no_further_calls(
        self, relays: Relays
    ) -> None:
        to = relays.add_worker("w1")
        async with relays.run():
            await relays.relayed.view(to, make_view_request())
            used = next(name for name, calls in relays.made.items() if calls.orders)
            link = relays.relayed._links[InstanceName(used)]
            link._handle_replies(ReplyBatch([], is_closing=True))
            result = await relays.relayed.view(to, make_view_request())
            self.assertIsInstance(result, Success)
        self.assertEqual([len(calls.orders) for calls in relays.made.values()], [1, 1])

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

    @with_relays("r1")
    async def test_each_call_ends_at_its_own_time(self, relays: Relays) -> None:
        """A view that may take long is followed by orders that may not."""
        to = relays.add_worker("w1")
        ended: list[tuple[str, float]] = []
        async with relays.run(), trio.open_nursery() as nursery:
            link = relays.relayed._links[InstanceName("r1")]

            async def call(name: str, seconds: float) -> None:
                began = trio.current_time()
                timeout = timedelta(seconds=seconds)
                # The relay waits for the end of the view for longer than that.
                result = await link.call(to, make_view_request(30), timeout)
                self.assertEqual(result, NoReply("no reply in time"))
                ended.append((name, round(trio.current_time() - began, 6)))

            for name, seconds in (("a", 2.0), ("b", 0.7), ("c", 0.9), ("d", 0.6)):
                nursery.start_soon(call, name, seconds)
                await trio.testing.wait_all_tasks_blocked()
            await trio.sleep(0.8)
            nursery.start_soon(call, "e", 0.05)
        self.assertEqual(
            ended, [("d", 0.6), ("b", 0.7), ("e", 0.05), ("c", 0.9), ("a", 2.0)]
        )
        self.assertEqual(link._deadlines, [])


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


if __name__ == "__main__":
    unittest.main()
