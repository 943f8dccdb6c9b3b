"""Tests of the relaying side, with a stream in the place of the leader."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from rhubarbfield.clock import MILLISECOND, TrioClock
from rhubarbfield.scheduling.ports import (
    NoReply,
    Refusal,
    Refused,
    WorkerAddress,
    WorkerOrder,
)
from rhubarbfield.scheduling.relay import (
    LEADER_SILENCE_TIMEOUT,
    MAX_ORDER_WAIT,
    TRANSIT_WINDOW,
    TransitDelays,
    WorkerRelay,
)
from rhubarbfield.scheduling.relay_messages import (
    Call,
    CallBatch,
    CallNumber,
    CallResult,
    Cancel,
    ReplyBatch,
)
from rhubarbfield.testing.scheduling_fleet import StandInFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.testing.streams import MemoryStream, memory_stream_pair
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.relaying_controllers import RecordedCalls
from tests.scheduling.relays import make_start, make_view_request

CLOCK_OFFSET = timedelta(days=3)  # between the clocks of leader and relay
WORKER = WorkerId("w1")


class LeaderEnd:
    """The leader's end of a stream."""

    def __init__(self, stream: MemoryStream, to: WorkerAddress) -> None:
        self.stream = stream
        self._to = to
        self._clock = TrioClock()

    async def send(self, *entries: Call | Cancel) -> None:
        sent_at = self._clock.monotonic() + CLOCK_OFFSET
        await self.stream.send(CallBatch(sent_at, list(entries)))

    def make_call(self, number: int, order: WorkerOrder) -> Call:
        return Call(CallNumber(number), self._to, order)

    async def receive(self) -> dict[int, CallResult]:
        """Return the results of the next batch, which is empty for a ping."""
        with trio.fail_after(3):
            batch = await self.stream.receive()
        assert isinstance(batch, ReplyBatch)
        return {reply.number: reply.result for reply in batch.replies}


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = TrioClock()
        self.fleet = StandInFleet(self.clock)
        self.worker = StandInWorker(WORKER, self.clock, duration=None)
        self.fleet.add(self.worker)
        self.calls = RecordedCalls(self.fleet)
        self.is_leading = False
        self.relay = WorkerRelay(self.calls, self.clock, lambda: self.is_leading)

    @asynccontextmanager
    async def open_stream(self) -> AsyncIterator[LeaderEnd]:
        """Yield the leader's end of a stream on which one ping was answered."""
        leader_end, relay_end = memory_stream_pair(ReplyBatch, CallBatch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.relay.serve, relay_end)
            leader = LeaderEnd(leader_end, WorkerAddress(WORKER, self.worker.address))
            await leader.send()
            assert await leader.receive() == {}
            yield leader
            leader_end.close_nowait()

    def test_order_that_waited_too_long_is_not_carried_out(self) -> None:
        run_deterministic(self._check_late_order, seed=1)

    async def _check_late_order(self) -> None:
        async with self.open_stream() as leader:
            leader.stream.outgoing.delay = MAX_ORDER_WAIT + 10 * MILLISECOND
            await leader.send(leader.make_call(1, make_start()))
            self.assertIsInstance((await leader.receive())[1], NoReply)
            self.assertEqual(self.worker.started, [])
            leader.stream.outgoing.delay = MAX_ORDER_WAIT / 2
            await leader.send(leader.make_call(2, make_start()))
            self.assertIsInstance((await leader.receive())[2], timedelta)
        self.assertEqual(len(self.worker.started), 1)

    def test_order_of_an_earlier_term_is_refused(self) -> None:
        run_deterministic(self._check_earlier_term, seed=1)

    async def _check_earlier_term(self) -> None:
        async with self.open_stream() as old, self.open_stream() as new:
            await new.send(new.make_call(1, make_view_request(term=3)))
            await new.receive()
            await old.send(old.make_call(1, make_start(term=2)))
            self.assertEqual(await old.receive(), {1: Refused(Refusal.DEPOSED)})
        self.assertEqual(len(self.calls.orders), 1)

    def test_call_that_nobody_waits_for_is_not_begun(self) -> None:
        run_deterministic(self._check_cancelled_call, seed=1)

    async def _check_cancelled_call(self) -> None:
        async with self.open_stream() as leader:
            first, second = (leader.make_call(n, make_start()) for n in (1, 2))
            await leader.send(first, Cancel(first.number), second)
            self.assertEqual(list(await leader.receive()), [2])
        self.assertEqual(len(self.calls.orders), 1)

    def test_end_of_the_stream_ends_its_calls_and_connections(self) -> None:
        run_deterministic(self._check_end_of_stream, seed=1)

    async def _check_end_of_stream(self) -> None:
        async with self.open_stream() as leader:
            await leader.send(leader.make_call(1, make_view_request(wait_seconds=9)))
            await trio.sleep(1)
            ended_at = trio.current_time()
        self.assertLess(trio.current_time() - ended_at, 0.1)
        self.assertEqual(self.calls.forgotten, [self.worker.address])

    def test_connections_of_an_instance_that_leads_are_kept(self) -> None:
        self.is_leading = True
        run_deterministic(self._check_kept_connections, seed=1)

    async def _check_kept_connections(self) -> None:
        async with self.open_stream() as leader:
            await leader.send(leader.make_call(1, make_view_request()))
            await leader.receive()
        self.assertEqual(self.calls.forgotten, [])

    def test_stream_of_a_silent_leader_ends(self) -> None:
        run_deterministic(self._check_silent_leader, seed=1)

    async def _check_silent_leader(self) -> None:
        leader_end, relay_end = memory_stream_pair(ReplyBatch, CallBatch)
        with trio.fail_after(LEADER_SILENCE_TIMEOUT.total_seconds() + 0.1):
            await self.relay.serve(relay_end)
        leader_end.close_nowait()


class TransitDelaysTest(unittest.TestCase):
    def test_delay_is_relative_to_the_fastest_recent_message(self) -> None:
        delays = TransitDelays()
        for milliseconds, transit, expected in (
            (0, 5, 0),
            (100, 3, 0),
            (200, 9, 6),
            (300, 903, 900),
        ):
            sent_at = CLOCK_OFFSET + milliseconds * MILLISECOND
            received_at = (milliseconds + transit) * MILLISECOND
            self.assertEqual(
                delays.measure(sent_at, received_at), expected * MILLISECOND
            )

    def test_messages_after_a_pause_count_as_late(self) -> None:
        delays = TransitDelays()
        delays.measure(CLOCK_OFFSET, timedelta())
        pause = 5 * TRANSIT_WINDOW
        for number in range(1, 4):
            sent_at = CLOCK_OFFSET + number * MILLISECOND
            self.assertGreater(delays.measure(sent_at, pause), pause / 2)

    def test_clocks_that_drift_apart_cause_no_delay(self) -> None:
        delays = TransitDelays()
        for number in range(1000):
            sent_at = CLOCK_OFFSET + number * 100 * MILLISECOND
            received_at = number * 102 * MILLISECOND
            delay = delays.measure(sent_at, received_at)
            self.assertLess(delay, MAX_ORDER_WAIT / 4)


if __name__ == "__main__":
    unittest.main()
