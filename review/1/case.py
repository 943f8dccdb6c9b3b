"""The leader is cut off for less than a second, while a start is carried out late."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import Fleet, make_configuration, make_route, run_case
from standins.check import find_two_runs
from standins.system import System

HOST = "nony24.example"
PREFIX = "/lohu930/"
ROUTE = make_route("r-3hwrr6x", HOST, PREFIX)
CUT_SECONDS = 0.9
LATE_SECONDS = 3.0
PLAY_SECONDS = 90
CATCH_UP_SECONDS = 4.0  # for so long a machine counts as lost after a cut
TASKS = 40
LATE_TASKS = (38, 39)  # 0.05 of the first starts
JOB = {
    # These tasks work for longer than the others.
    "Spec": '{"0": {"ms": 300}, "0.38": {"ms": 3500}, "0.39": {"ms": 3500}}',
    "Steps": [{"Count": TASKS, "Cpu": 200, "MemMb": 64, "EstimatedMs": 1000}],
}


async def play(system: System, fleet: Fleet, trouble: bool) -> list[str]:
    began = time.monotonic()
    await system.put_configuration(make_configuration(7, [ROUTE]))
    held: set[str] = set()

    def hold_first(task: str, run: int) -> float:
        """One start in twenty gets no answer, and is carried out late."""
        if run != 1 or task in held or int(task.split(".")[-1]) not in LATE_TASKS:
            return 0.0
        held.add(task)
        return LATE_SECONDS

    for number in range(4):
        runner = await fleet.add(number)
        runner.late_seconds = hold_first
    await system.wait_ready()
    await asyncio.sleep(2)
    number = 0
    cut_last, healed_at = "", time.monotonic()
    while time.monotonic() - began < PLAY_SECONDS:
        number += 1
        job = f"5c0e7a21d94b{number:04x}"
        leader = await system.find_leader()
        if leader != cut_last:
            # Only one machine is lost at a time.
            left = healed_at + CATCH_UP_SECONDS - time.monotonic()
            await asyncio.sleep(max(0.0, left))
            if await system.find_leader() != leader:
                continue
        assert await system.submit(HOST, PREFIX, job, JOB)
        for _ in range(60):
            if {f"{job}.0.0.{index}" for index in LATE_TASKS} <= held:
                break
            await asyncio.sleep(0.01)
        if trouble:
            system.cut_off(leader)
        await asyncio.sleep(CUT_SECONDS)
        system.heal()
        cut_last, healed_at = leader, time.monotonic()
        await asyncio.sleep(0.6 + 0.6 * random.random())
    await asyncio.sleep(LATE_SECONDS + 1)
    return find_two_runs(system.record)


run_case(__file__, play, runners=4, peer_proxies=True)
