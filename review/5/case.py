"""A scheduled job of which many occurrences are due; the jobs of others are lost."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import Fleet, make_configuration, make_route, run_case
from standins.check import find_still_jobs
from standins.system import System

HOST = "nony24.example"
PREFIX = "/lohu930/"
ROUTE = make_route("r-3hwrr6x", HOST, PREFIX)
OTHER_PREFIX = "/pule252/"
OTHER = make_route("r-73d3zji", HOST, OTHER_PREFIX)
FINISH_SECONDS = 14
OCCURRENCES = 10_000
JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(4)]
SCHEDULED = "c31e7a21d94b36f8"
JOB = {
    "Spec": '{"0": {"ms": 2500}, "1": {"ms": 500}}',
    "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 2500},
        {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 500, "StartAfter": [0]},
    ],
}


def make_scheduled(occurrences: int) -> dict:
    """Return a job whose occurrences, one each second, end now."""
    now_ms = int(time.time() * 1000)
    return {
        "Spec": '{"0": {"ms": 100}}',
        "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 16, "EstimatedMs": 100}],
        "RepeatCount": occurrences,
        "StartAtMs": now_ms - occurrences * 1000,
        "IntervalMs": 1000,
    }


async def play(system: System, fleet: Fleet, trouble: bool) -> list[str]:
    await system.put_configuration(make_configuration(7, [ROUTE, OTHER]))
    for number in range(3):
        await fleet.add(number)
    await system.wait_ready()
    await asyncio.sleep(2)
    for job in JOBS:
        assert await system.submit(HOST, PREFIX, job, JOB)
    scheduled = make_scheduled(OCCURRENCES if trouble else 3)
    assert await system.submit(HOST, OTHER_PREFIX, SCHEDULED, scheduled)
    await asyncio.sleep(FINISH_SECONDS)
    return await find_still_jobs(system, fleet, HOST, PREFIX, dict.fromkeys(JOBS, JOB))


run_case(__file__, play, runners=3)
