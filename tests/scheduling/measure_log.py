"""Measures the log of many changes of a large configuration, printed as a table.

``python -m tests.scheduling.measure_log`` changes configurations of several sizes
many times on a group of one replica in a process of its own, then opens its log in
another one. The logs are in a folder of ``MEASURE_FOLDER``, if that is set.
"""

from __future__ import annotations

import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import trio
from returns.result import Success

from rhubarbfield.clock import HostClock
from rhubarbfield.platform.wire import decode_configuration
from rhubarbfield.replication import Replica, ReplicationMessage
from rhubarbfield.scheduling.appliers import make_scheduling_machine
from rhubarbfield.scheduling.commands import PutConfiguration
from rhubarbfield.scheduling.controller import make_group_settings, open_log_store
from rhubarbfield.scheduling.deployment import (
    SCHEDULING_GROUP,
    DeploymentSettings,
    WorkerTimes,
)
from rhubarbfield.types import FailureDomain, GroupId, InstanceName

ROUTES = (300, 1350, 5000)
CHANGES = 300
MIB = 1024 * 1024
MODULE = "tests.scheduling.measure_log"


def make_body(routes: int, version: int) -> bytes:
    """Return a configuration as an operator sends it."""
    return msgspec.json.encode(
        {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{number:07}",
                    "Hostname": f"host{number % 40}.example",
                    "PathPrefix": f"/path{number}/",
                    "Type": "unsafe",
                    "TimeoutMs": 3000 + version,
                    "TargetLatencyMs": 250,
                    "Priority": 0,
                    "Service": "service-a",
                    "MaxAttempts": 3,
                    "Stretch": 1.5,
                }
                for number in range(routes)
            ],
            "Services": [
                {
                    "Name": "service-a",
                    "HealthPath": "/healthz",
                    "MaxConnections": 64,
                    "Protocol": "h1",
                    "Tls": False,
                    "EnforcesCapacity": True,
                    "Standby": False,
                }
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
    )


class NullSender:
    """Drops all messages: the group has no other replica."""

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        pass


def make_settings(folder: Path) -> DeploymentSettings:
    return DeploymentSettings(
        instance="a",
        failure_domain=FailureDomain("z"),
        host="a",
        peer_port=1,
        seeds=("a:2",),
        may_form_group=True,
        data_folder=str(folder),
        workers=WorkerTimes(report_ms=1100, longest_lease_ms=10000),
        memory_mb=296,
        disk_mb=128,
    )


def measure_disk(folder: Path) -> int:
    """Return the bytes of all files in a folder."""
    sizes = [each.stat().st_size for each in folder.rglob("*") if each.is_file()]
    return sum(sizes)


async def run(folder: Path, routes: int, changes: int) -> None:
    """Open the log of ``folder``, change its configuration, and print figures."""
    settings = make_settings(folder)
    machine = make_scheduling_machine()
    began = time.perf_counter()
    replica = Replica(
        group=SCHEDULING_GROUP,
        name=settings.name,
        bootstrap=settings.seed_names,
        machine=machine,
        store=open_log_store(settings),
        sender=NullSender(),
        clock=HostClock(),
        random=random.Random(1),
        settings=make_group_settings(settings),
        is_first_start=True,
    )
    disk = 0
    async with trio.open_nursery() as nursery:
        await nursery.start(replica.run)
        opened = time.perf_counter() - began
        while replica.leadership is None:
            await trio.sleep(0.01)
        worst = 0.0
        total = 0.0
        for version in range(1, changes + 1):
            body = make_body(routes, version)
            configuration = decode_configuration(body).unwrap()
            at = time.perf_counter()
            data = machine.encode_command(PutConfiguration(configuration=configuration))
            result = await replica.propose(data)
            took = time.perf_counter() - at
            assert isinstance(result, Success), result
            worst = max(worst, took)
            total += took
            disk = max(disk, measure_disk(folder))
        nursery.cancel_scope.cancel()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    disk = disk or measure_disk(folder)
    mean = total / changes if changes else 0
    print(
        f"{routes} {changes} peak={peak:.0f}MB disk={disk / MIB:.1f}MiB "
        f"open={opened:.3f}s mean={mean * 1000:.1f}ms worst={worst * 1000:.0f}ms",
        flush=True,
    )


def main() -> None:
    """Measure each size, or the one of the arguments in this process."""
    if len(sys.argv) > 1:
        trio.run(run, Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
        return
    for routes in ROUTES:
        with tempfile.TemporaryDirectory(
            dir=os.environ.get("MEASURE_FOLDER")
        ) as folder:
            for changes in (CHANGES, 0):
                arguments = (folder, str(routes), str(changes))
                command = (sys.executable, "-m", MODULE, *arguments)
                subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
