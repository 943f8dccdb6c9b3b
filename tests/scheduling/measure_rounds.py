"""Processor time of the parts of a placement round, on a large random fleet.

``python -m tests.scheduling.measure_rounds`` prints a table;
``python -m tests.scheduling.measure_rounds profile`` prints where the time goes.
"""

from __future__ import annotations

import cProfile
import pstats
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.placing import Placer
from tests.scheduling.fleets import Fleet

SEED = 1
ROUNDS = 40
SERVING_TASKS = 330  # for each of three images
OPEN_JOBS = 400
ENDED_JOBS = 400
LIVE_RUNS = 2500
RUNS_ENDED_PER_ROUND = 8
VIEWS_PER_ROUND = 8
ROUND_INTERVAL = timedelta(milliseconds=20)
MS = 1000


class Timings:
    """Processor time by part."""

    def __init__(self) -> None:
        self.parts: dict[str, list[float]] = {}

    def measure(self, part: str, function: Callable[[], Any]) -> Any:
        began = time.process_time()
        result = function()
        self.parts.setdefault(part, []).append(time.process_time() - began)
        return result

    async def measure_async(
        self, part: str, function: Callable[[], Awaitable[Any]]
    ) -> None:
        began = time.process_time()
        await function()
        self.parts.setdefault(part, []).append(time.process_time() - began)

    def print(self) -> None:
        for part, seconds in self.parts.items():
            mean, longest = statistics.fmean(seconds) * MS, max(seconds) * MS
            print(f"{part:20} mean {mean:8.3f} ms, longest {longest:8.3f} ms")


def make_placer(fleet: Fleet) -> Placer:
    leader = fleet.leader
    leader._jobs.synchronize(fleet.state)
    return Placer(
        leader._jobs.open.values(),
        fleet.state.map_serving_queues(),
        leader.measure_headroom(),
        avoided=leader._avoided,
        interference=leader._interference,
        rank=leader._rank,
        is_starved=leader._backlog.is_starved,
    )


def choose(placer: Placer) -> tuple[RunStart, ...]:
    for _ in placer.iterate_steps():
        pass
    return placer.starts


def make_fleet(workers: int, clock: Clock | None = None) -> Fleet:
    """Return a fleet with many live runs, open jobs and ended jobs."""
    fleet = Fleet(SEED, workers, clock=clock)
    fleet.submit_serving(SERVING_TASKS)
    while True:
        fleet.start(choose(make_placer(fleet)))
        for worker in list(fleet.state.workers):
            fleet.view(worker)
        live = sum(len(worker.runs) for worker in fleet.state.workers.values())
        if live >= LIVE_RUNS or fleet.jobs >= OPEN_JOBS:
            break
        for _ in range(20):
            fleet.submit_batch()
    while fleet.jobs < OPEN_JOBS:
        fleet.submit_batch()
    for _ in range(ENDED_JOBS):
        fleet.cancel(fleet.submit_batch())
    return fleet


async def run_rounds(fleet: Fleet, timings: Timings) -> None:
    leader = fleet.leader
    await fleet.keep_house()
    for _ in range(ROUNDS):
        fleet.clock.advance(ROUND_INTERVAL)
        for worker in fleet.random.sample(list(fleet.state.workers), VIEWS_PER_ROUND):
            timings.measure("view", lambda w=worker: fleet.view(w))  # type: ignore[misc]
        fleet.end_runs(RUNS_ENDED_PER_ROUND)
        for session in fleet.sessions.values():
            session.handle_report(None)
        await timings.measure_async("housekeeping", fleet.keep_house)
        timings.measure("headroom", leader.measure_headroom)
        placer = timings.measure("headroom and placer", lambda: make_placer(fleet))
        fleet.start(timings.measure("choice", lambda p=placer: choose(p)))


def main() -> None:
    is_profiled = sys.argv[1:] == ["profile"]
    for workers in (246,) if is_profiled else (246, 450):
        fleet = make_fleet(workers)
        state = fleet.state
        live = sum(len(worker.runs) for worker in state.workers.values())
        is_open = sum(job.is_open for job in state.jobs.values())
        print(f"{workers} workers, {live} live runs, {is_open} open jobs")
        timings = Timings()
        if is_profiled:
            profile = cProfile.Profile()
            profile.enable()
            trio.run(run_rounds, fleet, timings)
            profile.disable()
            pstats.Stats(profile).sort_stats("tottime").print_stats(30)
        else:
            trio.run(run_rounds, fleet, timings)
        timings.print()


if __name__ == "__main__":
    main()
