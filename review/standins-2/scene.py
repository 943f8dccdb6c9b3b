"""A small deployment for one case: three controllers, two entries and some runners."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from client import Client
from record import Record
from runner import Gangs, Runner
from system import System, make_configuration, make_route

LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Scene:
    """The deployment, its clients and its record."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.system = System(folder, record)
        self.gangs = Gangs(record)
        self.runners: list[Runner] = []
        self._tasks: asyncio.TaskGroup | None = None

    def add_runner(self, **more: Any) -> Runner:
        """Start a runner on an address of its own."""
        number = len(self.runners)
        runner = Runner(
            f"{number}",
            f"{self.system.prefix}.{101 + number}",
            self.system.peer_port,
            self.system.controls,
            self.gangs,
            self.record,
            **more,
        )
        self.runners.append(runner)
        assert self._tasks is not None
        self._tasks.create_task(runner.run())
        return runner

    def make_client(self, host: str = "h.example", prefix: str = "/p/") -> Client:
        return Client(self.system.fronts, host, prefix, self.record)

    async def begin(
        self, runners: int, routes: list[dict[str, Any]] | None = None, **more: Any
    ) -> None:
        """Start the system and the runners, and wait until jobs can run."""
        self.system.start_all()
        assert self._tasks is not None
        self._tasks.create_task(self.system.watch())
        for _ in range(runners):
            self.add_runner(**more)
        routes = routes or [make_route("r-1", "h.example", "/p/", "s1")]
        services = sorted({each["Service"] for each in routes})
        await self.system.put_configuration(make_configuration(1, routes, services))
        await asyncio.sleep(4.0)  # the runners have registered


def run_case(folder: Path, play: Callable[[Scene], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""
    record = Record(folder / "record.txt")
    place = Path(tempfile.mkdtemp(prefix="case-"))
    scene = Scene(place, record)

    async def run() -> int:
        async with asyncio.TaskGroup() as group:
            scene._tasks = group
            stop = asyncio.Event()

            async def main() -> int:
                try:
                    async with asyncio.timeout(LIMIT_S):
                        return await play(scene)
                finally:
                    stop.set()

            task = asyncio.ensure_future(main())
            await stop.wait()
            result = (await asyncio.gather(task, return_exceptions=True))[0]
            for each in list(group._tasks):
                each.cancel()
        if isinstance(result, BaseException):
            record.write(f"the case could not run: {result!r}")
            return NOT_RUN
        return result

    try:
        code = asyncio.run(run())
    finally:
        scene.system.stop()
        if os.environ.get("KEEP"):
            print(place)
        else:
            shutil.rmtree(place, ignore_errors=True)
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
    sys.exit(code)
