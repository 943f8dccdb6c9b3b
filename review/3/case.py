"""A configuration removes a route whose jobs are accepted and not done."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import Fleet, make_configuration, make_route, run_case
from standins.check import find_still_jobs
from standins.system import System

HOST = "nony24.example"
PREFIX = "/lohu930/"
IDLE = make_route("r-idle", "ficu95.example", "/pufi791/")
KEPT = make_route("r-73d3zji", HOST, "/pule252/")
OLD = make_route("r-3hwrr6x", HOST, PREFIX)
# The route that takes its place has the same host and prefix.
NEW = make_route("r-9n73hh2", HOST, PREFIX)
FINISH_SECONDS = 14
JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(4)]
JOB = {
    "Spec": '{"0": {"ms": 1500}, "1": {"ms": 500}}',
    "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 1500},
        {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 500, "StartAfter": [0]},
    ],
}


async def play(system: System, fleet: Fleet, trouble: bool) -> list[str]:
    await system.put_configuration(make_configuration(7, [OLD, KEPT, IDLE]))
    for number in range(3):
        await fleet.add(number)
    await system.wait_ready()
    await asyncio.sleep(2)
    for job in JOBS:
        assert await system.submit(HOST, PREFIX, job, JOB)
    await asyncio.sleep(0.5)  # the first step is at work
    # One change: a route is removed, and one is added in its place.
    changed = [NEW, KEPT, IDLE] if trouble else [OLD, KEPT]
    await system.put_configuration(make_configuration(9, changed))
    await asyncio.sleep(FINISH_SECONDS)
    return await find_still_jobs(system, fleet, HOST, PREFIX, dict.fromkeys(JOBS, JOB))


run_case(__file__, play, runners=3)
