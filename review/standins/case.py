"""The frame of a case: start, play, check, end everything."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record
from standins.runner import Runner
from standins.system import System

LIMIT_SECONDS = 115
HELD, BROKEN, NOT_RUN = 0, 1, 2
Play = Callable[[System, "Fleet", bool], Awaitable[list[str]]]


class Fleet:
    """The runners of a case."""

    def __init__(self, system: System) -> None:
        self._system = system
        self.runners: list[Runner] = []

    async def add(self, number: int, service: str = "svc", **fields: object) -> Runner:
        """Start a runner and return it."""
        system = self._system
        runner = Runner(
            system.record,
            name=f"i-{os.getpid():x}{number:04x}",
            machine=f"m-{number}",
            service=service,
            address=f"{system.runner_hosts[number]}:{system.work}",
            controls=list(system.controls),
            **fields,  # type: ignore[arg-type]
        )
        await runner.start()
        self.runners.append(runner)
        return runner

    async def close(self) -> None:
        """End all runners."""
        for runner in self.runners:
            await runner.close("the case ends")


def make_route(name: str, hostname: str, prefix: str, **fields: object) -> dict:
    """Return a route like those of the users' example."""
    return {
        "Name": name,
        "Hostname": hostname,
        "PathPrefix": prefix,
        "Type": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 0,
        "Service": "svc",
        "MaxAttempts": 3,
        "Stretch": 2.0,
        **fields,
    }


def make_configuration(version: int, routes: list[dict], **fields: object) -> dict:
    """Return a complete configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "svc",
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
        **fields,
    }


def run_case(
    file: str,
    play: Play,
    *,
    entries: int = 1,
    runners: int = 2,
    spares: int = 0,
    peer_proxies: bool = False,
) -> None:
    """Run a case and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(file).resolve().parent / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as folder:
            system = System(
                record, Path(folder), entries=entries, runners=runners, spares=spares
            )
            fleet = Fleet(system)
            try:
                async with asyncio.timeout(LIMIT_SECONDS):
                    if peer_proxies:
                        await system.add_peer_proxies()
                    system.start()
                    breaks = await play(system, fleet, trouble)
            except TimeoutError:
                record.write("result", ran=False, why="it took too long")
                return NOT_RUN
            finally:
                await fleet.close()
                system.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(folder).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())
        record.write("result", ran=True, trouble=trouble, breaks=breaks)
        for line in breaks:
            print(line)
        return BROKEN if breaks else HELD

    began = time.monotonic()
    try:
        code = asyncio.run(main())
    except Exception as error:  # the case could not run
        record.write("result", ran=False, why=repr(error))
        print(repr(error), file=sys.stderr)
        code = NOT_RUN
    print(f"exit {code} after {time.monotonic() - began:.0f} s, trouble={trouble}")
    sys.exit(code)
