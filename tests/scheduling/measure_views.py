"""Processor time of the views of a large random fleet, through stand-in relays.

``python -m tests.scheduling.measure_views`` prints a table;
``python -m tests.scheduling.measure_views profile`` prints where the time goes.
"""

from __future__ import annotations

import cProfile
import heapq
import math
import pstats
import statistics
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta
from typing import Any, cast
from unittest import mock

import msgspec
import trio
import trio.testing

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.collector import tune_collector
from rhubarbfield.peering import MessageStream, StreamMethod, Transport
from rhubarbfield.peering._grpclib import make_codec
from rhubarbfield.peering.ports import Encoding
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.mitigation import SERVING_PERCENT, InterferenceMitigator
from rhubarbfield.scheduling.model import NO_CHECKPOINT, Demand, Step, TaskName
from rhubarbfield.scheduling.orders import StartState
from rhubarbfield.scheduling.ports import (
    ActiveRun,
    ListedEnd,
    PaceOrder,
    StopOrder,
    ViewRequest,
    WorkerCalls,
    WorkerView,
)
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.relay_messages import (
    BATCH_INTERVAL,
    Call,
    CallBatch,
    CallReply,
    CallResult,
    ReplyBatch,
)
from rhubarbfield.scheduling.relayed_calls import RelayedCalls
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import InstanceName, WorkerId
from tests.scheduling.fleets import GOAL_MS, SERVING_IMAGES, Fleet
from tests.scheduling.measure_rounds import choose, make_placer

SEED = 1
WORKERS = 445
SERVING_TASKS = 300  # for each of three images
BATCH_JOBS = 100
ROUNDS = 30
RELAYS = 5
WARM_UP_SECONDS = 3
MEASURED_SECONDS = 10
REPEATS = 5
LATENCY_SCATTER = 0.14  # standard deviation of log latency between two views
MS = 1000


class Timings:
    """Processor time and number of calls by part; the stand-ins' time is left out."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.stand_ins = 0.0

    @contextmanager
    def measure(self, part: str) -> Any:
        began, before = time.process_time(), self.stand_ins
        try:
            yield
        finally:
            took = time.process_time() - began - (self.stand_ins - before)
            self.seconds[part] = self.seconds.get(part, 0.0) + took
            self.calls[part] = self.calls.get(part, 0) + 1

    @contextmanager
    def exclude(self) -> Any:
        began = time.process_time()
        try:
            yield
        finally:
            self.stand_ins += time.process_time() - began

    def clear(self) -> None:
        self.seconds.clear()
        self.calls.clear()
        self.stand_ins = 0.0


def make_mixed_fleet(clock: Clock) -> Fleet:
    """Return a fleet whose workers run serving tasks beside spare-core tasks."""
    fleet = Fleet(SEED, WORKERS, clock=clock)
    for image in SERVING_IMAGES:
        fleet.submit(
            Step(
                tasks=SERVING_TASKS,
                demand=Demand(2000, 4000),
                standing=True,
                image=image,
                tail_goal_ms=GOAL_MS,
                max_per_worker=1,
            )
        )
    for _ in range(BATCH_JOBS):
        fleet.submit_batch()
    for _ in range(ROUNDS):
        fleet.start(choose(make_placer(fleet)))
        for worker in list(fleet.state.workers):
            fleet.view(worker)
    return fleet


class StandInWorkers:
    """Workers that list the recorded runs, with measurements that scatter."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._levels: dict[TaskName, float] = {}
        self._percents: dict[TaskName, float] = {}
        self._ends: dict[WorkerId, list[ListedEnd]] = {}
        self.views = self.orders = 0

    def answer(self, call: Call) -> tuple[float, CallResult]:
        """Return a result, and after how many seconds the worker has it."""
        order, worker = call.order, call.to.worker
        clock = timedelta(seconds=trio.current_time())
        match order:
            case ViewRequest():
                self.views += 1
                return order.wait_timeout.total_seconds(), self._view(worker, clock)
            case StopOrder():
                ends = self._ends.setdefault(worker, [])
                number = len(ends) + 1
                ends.append(
                    ListedEnd(
                        number, order.task, order.run, RunEnd.STOPPED, NO_CHECKPOINT
                    )
                )
            case PaceOrder():
                pass
        self.orders += 1
        return 0.0, clock

    def _view(self, worker: WorkerId, clock: timedelta) -> WorkerView:
        state, draw = self._fleet.state, self._fleet.random
        record = state.workers[worker]
        ends = [
            each
            for each in self._ends.get(worker, ())
            if each.number > record.recorded_ends
        ]
        ended = {end.task for end in ends}
        active = []
        for task, run in record.runs.items():
            step = state.find_step(task)
            if step is None or task in ended:
                continue
            percent: float = SERVING_PERCENT
            if step.tail_goal_ms:
                level = self._levels.setdefault(task, draw.uniform(0.25, 0.85))
                measure = GOAL_MS * level * math.exp(draw.gauss(0, LATENCY_SCATTER))
            else:
                measure = step.demand.millicores * draw.uniform(0.5, 1.0)
                percent = self._percents.get(task, 0.0) + 1.0
                self._percents[task] = percent
            active.append(ActiveRun(task, run, NO_CHECKPOINT, percent, measure))
        return WorkerView(clock, tuple(active), tuple(ends), False)


class StandInStream:
    """The leader's side of a stream to a relay; messages are encoded and decoded."""

    def __init__(
        self, workers: StandInWorkers, timings: Timings, method: StreamMethod
    ) -> None:
        self._workers = workers
        self._timings = timings
        self._method = method
        self._codec = make_codec(Encoding.MSGPACK)
        self._due: list[tuple[float, int, CallReply]] = []
        self._sender, self._inbox = trio.open_memory_channel[bytes](math.inf)

    async def send(self, message: msgspec.Struct) -> bool:
        with self._timings.measure("encode requests"):
            self._codec.encode(message, None)
        with self._timings.exclude():
            batch = cast(CallBatch, message)
            if not batch.entries:
                self._sender.send_nowait(self._encode([]))
            for entry in batch.entries:
                if isinstance(entry, Call):
                    delay, result = self._workers.answer(entry)
                    due = trio.current_time() + delay
                    reply = CallReply(entry.number, result)
                    heapq.heappush(self._due, (due, entry.number, reply))
        await trio.lowlevel.checkpoint()
        return True

    async def receive(self) -> msgspec.Struct | None:
        data = await self._inbox.receive()
        with self._timings.measure("decode replies"):
            return cast(msgspec.Struct, self._codec.decode(data, self._method.outbound))

    async def run(self) -> None:
        while True:
            await trio.sleep(BATCH_INTERVAL.total_seconds())
            with self._timings.exclude():
                replies = []
                while self._due and self._due[0][0] <= trio.current_time():
                    replies.append(heapq.heappop(self._due)[2])
                if replies:
                    self._sender.send_nowait(self._encode(replies))

    def _encode(self, replies: list[CallReply]) -> bytes:
        return self._codec.encode(ReplyBatch(replies), None)


class StandInTransport:
    """Connections to relays that answer for the workers."""

    def __init__(self, workers: StandInWorkers, timings: Timings) -> None:
        self._workers = workers
        self._timings = timings

    def open_connection(self, *_args: Any, **_options: Any) -> StandInTransport:
        return self

    @asynccontextmanager
    async def open(self, method: StreamMethod) -> AsyncIterator[MessageStream | None]:
        stream = StandInStream(self._workers, self._timings, method)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.run)
            yield cast(MessageStream, stream)
            nursery.cancel_scope.cancel()

    def close(self) -> None:
        pass


@contextmanager
def measure_method(timings: Timings, cls: type, name: str, part: str) -> Any:
    """Measure a method that doesn't wait."""
    method: Callable[..., Any] = getattr(cls, name)

    def measured(*args: Any, **options: Any) -> Any:
        with timings.measure(part):
            return method(*args, **options)

    with mock.patch.object(cls, name, measured):
        yield


async def run_views(timings: Timings, profile: cProfile.Profile | None) -> float:
    """Poll all workers for a while; return the processor time by view in seconds."""
    fleet = make_mixed_fleet(TrioClock())
    workers = StandInWorkers(fleet)
    relayed = RelayedCalls(
        cast(WorkerCalls, None),
        list_relays=lambda: [InstanceName(f"relay-{n}") for n in range(RELAYS)],
        locate=lambda name: (name, 1),
        transport=cast(Transport, StandInTransport(workers, timings)),
        clock=fleet.clock,
        order_timeout=fleet.settings.order_timeout,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(relayed.run)
        nursery.start_soon(fleet.leader._ends.run)
        for session in fleet.sessions.values():
            session._calls = session._orders._calls = relayed
            session._orders._stops._calls = relayed
            for task, run in fleet.state.workers[session.worker].runs.items():
                session._ledger.starts[RunKey(task, run)] = StartState.SETTLED
            nursery.start_soon(session.run)
        await trio.sleep(WARM_UP_SECONDS)
        timings.clear()
        views, orders, began = workers.views, workers.orders, time.process_time()
        if profile is not None:
            profile.enable()
        await trio.sleep(MEASURED_SECONDS)
        if profile is not None:
            profile.disable()
        took = time.process_time() - began - timings.stand_ins
        views = workers.views - views
        print(
            f"{views} views, {workers.orders - orders} orders, "
            f"{1e6 * took / views:.1f} us by view"
        )
        nursery.cancel_scope.cancel()
    for part, seconds in timings.seconds.items():
        calls = timings.calls[part]
        print(f"  {part:20} {1e6 * seconds / views:7.1f} us by view, {calls} calls")
    return took / views


def run_once(profile: cProfile.Profile | None = None, *, has_parts: bool) -> float:
    """Measure a fleet on a virtual clock."""
    timings = Timings()
    clock = trio.testing.MockClock(autojump_threshold=0)
    if not has_parts:
        return trio.run(run_views, timings, profile, clock=clock)
    with (
        measure_method(timings, SchedulingLeader, "handle_view", "leader"),
        measure_method(timings, InterferenceMitigator, "handle_view", "of it model"),
        measure_method(timings, WorkerSession, "_stop_unrecorded", "unrecorded"),
    ):
        return trio.run(run_views, timings, profile, clock=clock)


def main() -> None:
    tune_collector()
    if sys.argv[1:] == ["profile"]:
        profile = cProfile.Profile()
        run_once(profile, has_parts=False)
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
        return
    run_once(has_parts=True)
    by_view = [run_once(has_parts=False) for _ in range(REPEATS)]
    print(f"median {1e6 * statistics.median(by_view):.1f} us by view")


if __name__ == "__main__":
    main()
