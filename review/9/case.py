"""A connection goes silent under a submission while its route is removed."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from client import make_id  # noqa: E402
from proxy import Proxy  # noqa: E402
from scene import BROKEN, HELD, NOT_RUN, Scene, run_case  # noqa: E402
from system import make_configuration, make_route  # noqa: E402

CHANGE_AFTER_S = 0.3  # from the submission to the change of the configuration
REJECTIONS = (400, 404, 429, 503)


async def play(scene: Scene) -> int:
    system = scene.system
    kept = make_route("r-1", "h.example", "/kept/", "s1")
    removed = make_route("r-2", "h.example", "/removed/", "s1")
    system.start_controllers()
    assert scene._tasks is not None
    scene._tasks.create_task(system.watch())
    for _ in range(3):
        scene.add_runner()
    await system.put_configuration(make_configuration(1, [kept, removed], ["s1"]))
    leader = await system.find_leader()
    # The entry reaches the leader through the proxy, and the others directly.
    between = f"{system.prefix}.31"
    proxy = Proxy(f"{between}:{system.peer_port}", f"{leader}:{system.peer_port}", scene.record)
    await proxy.start()
    others = [host for host in system.controllers if host != leader]
    seeds = [f"{host}:{system.control_port}" for host in (between, *others)]
    entry = system.entries[0]
    system.seeds[entry] = seeds
    system.start(entry, first=True)
    await asyncio.sleep(4.0)  # the runners have registered, the entry is ready
    client, job = scene.make_client(prefix="/removed/"), make_id()
    client.use_only(system.fronts[:1])
    if scene.trouble:
        proxy.silence_after = job.encode()
    spec = {"cpu": 1_000, "mem": 100, "ms": 4_000}
    step = {"Count": 2, "Cpu": 1_000, "MemMb": 100, "EstimatedMs": 4_000}
    body = {"Spec": json.dumps({"steps": [spec]}), "Steps": [step]}
    submission = asyncio.ensure_future(client.request("POST", job, body))
    await asyncio.sleep(CHANGE_AFTER_S)
    await system.put_configuration(make_configuration(2, [kept], ["s1"]))
    statuses = [(await submission)[0]]
    while statuses[-1] not in (200, *REJECTIONS):  # no clear answer: sent again
        await asyncio.sleep(0.5)
        statuses.append((await client.request("POST", job, body))[0])
    await asyncio.sleep(5.0)
    starts = [
        task for each in scene.runners for _, what, task, _ in each.log if what == "starts"
    ]
    proxy.stop()
    scene.record.write(f"attempts to hand the job in: {statuses}; tasks started: {starts}")
    if not starts:
        return HELD if statuses[-1] in REJECTIONS else NOT_RUN
    is_rejected = all(status in REJECTIONS for status in statuses)
    return BROKEN if is_rejected else HELD


run_case(HERE, play)
