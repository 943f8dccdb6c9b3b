"""A stand-in runner that speaks the platform's protocol over HTTP."""

from __future__ import annotations

import logging
from functools import partial
from typing import Any

import httpx
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

RUN_SECONDS = 0.3
HEARTBEAT_SECONDS = 0.5
POLL_SECONDS = 0.02


class StandInRunner:
    """Runs each task for a fixed time, lists ended runs and sends heartbeats.

    It refuses calls that expect another instance, and answers
    ``unreadable_replies`` calls with bytes that can't be decoded.
    """

    def __init__(self, host: str, port: int, name: str = "i-1") -> None:
        self.address = f"{host}:{port}"
        self.name = name
        self.active: dict[str, dict[str, Any]] = {}
        self.ends: list[list[Any]] = []
        self.started: list[tuple[str, int]] = []
        self.fencing_token = 0
        self.unreadable_replies = 0
        self.refuse_with: str | None = None
        self._ended_runs = 0
        self._sequence = 0
        self._stopped: dict[str, int] = {}
        self.state = "ready"

    async def run(
        self,
        controls: list[str],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        app = QuartTrio(__name__)
        app.add_url_rule("/<call>", view_func=self.answer, methods=["POST"])
        config = Config()
        config.bind = [self.address]
        # Hypercorn would set the level of its own logger for the whole process.
        config.errorlog = logging.getLogger("tests.runner")
        async with trio.open_nursery() as nursery:
            await nursery.start(partial(serve, app, config))
            nursery.start_soon(self._send_heartbeats, controls)
            task_status.started()

    def read_clock(self) -> int:
        return int(trio.current_time() * 1000)

    async def answer(self, call: str) -> Response:
        if request.headers.get("X-Expected-Instance") != self.name:
            return Response("{}", status=421)
        if self.unreadable_replies:
            self.unreadable_replies -= 1
            return Response(b"\xff{", status=200)
        body = msgspec.json.decode(await request.get_data())
        if body.get("FencingToken", 0) < self.fencing_token:
            return self._refuse("fence")
        self.fencing_token = body.get("FencingToken", 0)
        if call == "hold":
            return await self._hold(body)
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            self._stopped[body["Task"]] = body["Run"]
            if body["Task"] in self.active:
                self._end(body["Task"], "stopped")
        return self._reply()

    def _start(self, body: dict[str, Any]) -> Response:
        if self.refuse_with is not None:
            return self._refuse(self.refuse_with)
        task, run = body["Task"], body["Run"]
        if run <= self._stopped.get(task, 0):
            return self._refuse("old")
        if task not in self.active:
            self.started.append((task, run))
            self.active[task] = {"run": run, "ends": trio.current_time() + RUN_SECONDS}
        return self._reply()

    async def _hold(self, body: dict[str, Any]) -> Response:
        self.ends = [end for end in self.ends if end[0] > body["AckedUpto"]]
        deadline = trio.current_time() + body.get("WaitMs", 0) / 1000
        while True:
            for task, run in list(self.active.items()):
                if trio.current_time() >= run["ends"]:
                    self._end(task, "done")
            if self.ends or trio.current_time() >= deadline:
                break
            await trio.sleep(POLL_SECONDS)
        rows = [[task, run["run"], "", 50, 0] for task, run in self.active.items()]
        return self._reply(ActiveRuns=rows, EndedRuns=self.ends)

    def _end(self, task: str, end: str) -> None:
        run = self.active.pop(task)["run"]
        self._stopped[task] = max(run, self._stopped.get(task, 0))
        self._ended_runs += 1
        self.ends.append([self._ended_runs, task, run, end, ""])

    def _reply(self, status: int = 200, **fields: Any) -> Response:
        content = msgspec.json.encode({"ClockMs": self.read_clock(), **fields})
        return Response(content, status=status, content_type="application/json")

    def _refuse(self, reason: str) -> Response:
        return self._reply(409, Reason=reason)

    async def _send_heartbeats(self, controls: list[str]) -> None:
        async with httpx.AsyncClient(follow_redirects=True) as client:
            while True:
                await self.send_heartbeat(client, controls)
                await trio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(
        self, client: httpx.AsyncClient, controls: list[str]
    ) -> bool:
        self._sequence += 1
        body = {
            "Service": "s",
            "Address": self.address,
            "Zone": "z1",
            "State": self.state,
            "Capacity": {"Cpu": 8000, "MemMb": 8000},
            "Labels": ["a", "r1"],
            "Machine": "m-1",
            "ClockMs": self.read_clock(),
            "Sequence": self._sequence,
        }
        for control in controls:
            url = f"http://{control}/instances/{self.name}"
            try:
                response = await client.put(url, json=body, timeout=1)
            except httpx.HTTPError:
                continue
            if response.status_code == httpx.codes.OK:
                return True
        return False
