"""A runner that leaves is cut off, one way, when it announces its exit."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import Fleet, make_configuration, make_route, run_case
from standins.check import find_two_runs
from standins.proxy import Proxy
from standins.system import System, pick_ports

HOST = "nony24.example"
PREFIX = "/lohu930/"
ROUTE = make_route("r-3hwrr6x", HOST, PREFIX)
RUNNERS = 16
JOB_ID = "5c0e7a21d94b36f8"
JOB = {
    "Spec": '{"0": {"ms": 20000}}',
    # The leader starts one on each runner.
    "Steps": [
        {
            "Count": RUNNERS,
            "Cpu": 500,
            "MemMb": 256,
            "EstimatedMs": 20000,
        }
    ],
}
DRAIN_SECONDS = 2.5  # DrainMs after the acknowledgement, and a little longer
CUT_BEFORE_EXIT_SECONDS = 0.2
CUT_SECONDS = 5.5
END_SECONDS = 5.0  # "it ends anyway, some seconds later"


async def play(system: System, fleet: Fleet, trouble: bool) -> list[str]:
    record = system.record
    await system.put_configuration(make_configuration(7, [ROUTE]))
    host = system.runner_hosts[0]
    inward_port, *outward_ports = pick_ports([host], 1 + len(system.core))
    inward = Proxy(host, inward_port, host, system.work)
    outward = [
        Proxy(host, port, core, system.control)
        for port, core in zip(outward_ports, system.core, strict=True)
    ]
    for proxy in (inward, *outward):
        await proxy.start()
    leaver = await fleet.add(0, advertised=f"{host}:{inward_port}")
    leaver.controls[:] = [f"{host}:{port}" for port in outward_ports]
    for number in range(1, RUNNERS):
        await fleet.add(number)
    await system.wait_ready()
    await asyncio.sleep(2)
    assert await system.submit(HOST, PREFIX, JOB_ID, JOB)
    while not leaver.active:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)

    leaver.state = "draining"
    while leaver.acked_state != "draining":
        await asyncio.sleep(0.05)
    record.write("draining-acknowledged", runner=leaver.name)
    await asyncio.sleep(DRAIN_SECONDS)
    if trouble:
        record.write("cut", runner=leaver.name, direction="to the runner")
        inward.close()  # refuses
        for proxy in outward:
            proxy.cut(forward=False)
    await asyncio.sleep(CUT_BEFORE_EXIT_SECONDS)
    leaver.stop_reports()
    announced = time.monotonic()
    record.write("exit-announced", runner=leaver.name)
    acknowledged = await leaver.leave()
    record.write("exit-answered", runner=leaver.name, acknowledged=acknowledged)
    if not acknowledged:
        await asyncio.sleep(announced + END_SECONDS - time.monotonic())
    await leaver.close("its planned end")
    await asyncio.sleep(max(0.0, CUT_SECONDS - END_SECONDS))
    for proxy in outward:
        proxy.heal()
    await asyncio.sleep(6)
    for proxy in outward:
        proxy.close()
    return find_two_runs(record)


run_case(__file__, play, runners=RUNNERS)
