"""A stand-in runner that follows the users' protocol.

What a task does is told in the job's payload, a JSON object by step number:
``{"0": {"ms": 500}}``, or by step and index: ``{"0.3": {"ms": 500}}``. A task without
an entry works for 500 ms. ``"end": "failed"`` lets its runs end as failed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from standins import http
from standins.record import Record

STOP_SECONDS = 0.1
DEFAULT_MS = 500


class Run:
    """A run that is active here."""

    def __init__(self, task: str, run: int, spec: str, checkpoint: str) -> None:
        plans = {}
        with contextlib.suppress(ValueError):
            plans = json.loads(spec)
        _, _, step, index = task.split(".")
        plan = {}
        if isinstance(plans, dict):
            plan = plans.get(f"{step}.{index}", plans.get(step, {}))
        self.task = task
        self.run = run
        self.spec = spec
        self.checkpoint = checkpoint
        self.seconds = plan.get("ms", DEFAULT_MS) / 1000
        self.how = plan.get("end", "done")
        self.lasts = plan.get("lasts", False)
        self.began = time.monotonic()
        self.stops_at: float | None = None

    @property
    def percent(self) -> int:
        """Progress; a task that lasts is at work at once."""
        if self.lasts:
            return 100
        return min(99, int((time.monotonic() - self.began) / self.seconds * 100))


class Runner:
    """One incarnation of a runner.

    It guards its capacity, has a lease on its own clock, keeps the highest fencing
    token, and lists each end until ``AckedUpto`` reaches it.
    """

    def __init__(
        self,
        record: Record,
        *,
        name: str,
        machine: str,
        service: str,
        address: str,
        advertised: str = "",
        controls: list[str],
        cpu: int = 8000,
        mem_mb: int = 16000,
        max_hold_ms: int = 10_000,
        heartbeat_ms: int = 1100,
        rack: str = "r1-1",
    ) -> None:
        self.record = record
        self.name = name
        self.machine = machine
        self.service = service
        self.address = address
        self.advertised = advertised or address
        self.controls = controls
        self.capacity = {"Cpu": cpu, "MemMb": mem_mb, "Gpu": 0}
        self.labels = ["a", rack]
        self.max_hold_ms = max_hold_ms
        self.heartbeat_ms = heartbeat_ms
        self.state = "ready"
        self.up = True
        self.token = 0
        self.lease_ends = 0  # on this runner's clock, in ms
        self.acked = 0
        self.active: dict[str, Run] = {}
        self.needs: dict[str, tuple[int, int]] = {}
        self.ends: list[list[Any]] = []
        self.highest_ended: dict[str, int] = {}
        self.acked_state = ""
        # Called with each order to start; True: carry it out late, without an answer.
        self.late_seconds: Any = lambda task, run: 0.0
        self._sequence = 0
        self._end_number = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def clock_ms(self) -> int:
        """This runner's steady clock."""
        return int(time.monotonic() * 1000) - 1_000

    async def start(self) -> None:
        """Serve calls, and report to the controllers."""
        host, _, port = self.address.rpartition(":")
        self._server = await http.serve(host, int(port), self._answer)
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report()),
        ]

    async def close(self, why: str = "closed") -> None:
        """End this incarnation; everything that runs here ends with it."""
        if not self.up:
            return
        self.up = False
        for run in list(self.active.values()):
            self.record.write("gone", runner=self.name, task=run.task, run=run.run)
        self.active.clear()
        self.record.write("runner-ended", runner=self.name, why=why)
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def stop_reports(self) -> None:
        """Send no more heartbeats, before the exit is announced."""
        self._tasks[1].cancel()

    async def leave(self) -> bool:
        """Announce the exit; return whether it was acknowledged."""
        return await self._call_control("DELETE", None)

    # Calls of controllers.

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> http.Answer | None:
        if not self.up:
            return None
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        if method == "GET":
            return 200, {}
        content = json.loads(body or b"{}")
        if path == "/run-start":
            late = self.late_seconds(content["Task"], content["Run"])
            if late:
                self.record.write(
                    "start-held",
                    runner=self.name,
                    task=content["Task"],
                    run=content["Run"],
                    token=content.get("FencingToken", 0),
                    seconds=late,
                )
                self._tasks.append(asyncio.create_task(self._start_late(late, content)))
                return None
        return await self._carry_out(path, content)

    async def _start_late(self, seconds: float, content: dict[str, Any]) -> None:
        await asyncio.sleep(seconds)
        status, answer = await self._carry_out("/run-start", content)
        self.record.write(
            "start-carried-out-late",
            runner=self.name,
            task=content["Task"],
            run=content["Run"],
            status=status,
            reason=answer.get("Reason", ""),
        )

    async def _carry_out(self, path: str, content: dict[str, Any]) -> http.Answer:
        token = content.get("FencingToken", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        if path == "/run-start":
            return self._start(content)
        if path == "/run-stop":
            return self._stop(content)
        if path == "/hold":
            return await self._hold(content)
        if path == "/pace":
            return 200, {"ClockMs": self.clock_ms()}
        return 404, {}

    def _extend(self, content: dict[str, Any]) -> None:
        deadline = content.get("DeadlineMs")
        if deadline is not None:
            longest = self.clock_ms() + self.max_hold_ms
            self.lease_ends = max(self.lease_ends, min(deadline, longest))

    def _start(self, content: dict[str, Any]) -> http.Answer:
        task, number = content["Task"], content["Run"]
        if content.get("DeadlineMs", 0) <= self.clock_ms():
            return self._refuse("late")
        self._extend(content)
        present = self.active.get(task)
        if present is not None and present.run == number:
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.highest_ended.get(task, 0):
            return self._refuse("old")
        if present is not None:
            return self._refuse("old")
        need = self.record.needs.get(
            ".".join(task.split(".")[:1] + task.split(".")[2:3])
        )
        if need is not None and not self._has_room(need):
            return self._refuse("room")
        checkpoint = content.get("Checkpoint", "")
        run = Run(task, number, content.get("Spec", ""), checkpoint)
        self.active[task] = run
        self.needs[task] = need or (0, 0)
        self.record.write(
            "start",
            runner=self.name,
            service=self.service,
            task=task,
            run=number,
            token=self.token,
            checkpoint=checkpoint,
        )
        return 200, {"ClockMs": self.clock_ms()}

    def _has_room(self, need: tuple[int, int]) -> bool:
        used = [self.needs[task] for task in self.active]
        cpu = sum(each[0] for each in used) + need[0]
        mem = sum(each[1] for each in used) + need[1]
        return cpu <= self.capacity["Cpu"] and mem <= self.capacity["MemMb"]

    def _stop(self, content: dict[str, Any]) -> http.Answer:
        task, number = content["Task"], content["Run"]
        run = self.active.get(task)
        if run is not None and run.run <= number:
            if run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_SECONDS
        else:
            self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        return 200, {"ClockMs": self.clock_ms()}

    async def _hold(self, content: dict[str, Any]) -> http.Answer:
        self._extend(content)
        acked = content.get("AckedUpto", 0)
        if acked > self.acked:
            for end in self.ends:
                if end[0] <= acked:
                    self.record.write(
                        "end-noted", runner=self.name, task=end[1], run=end[2]
                    )
            self.acked = acked
            self.ends = [end for end in self.ends if end[0] > acked]
        wait = min(content.get("WaitMs", 0), 2000) / 1000
        until = time.monotonic() + wait
        while not self.ends and (left := until - time.monotonic()) > 0:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        active = [
            [run.task, run.run, run.checkpoint, run.percent, 0]
            for run in self.active.values()
        ]
        return 200, {
            "ClockMs": self.clock_ms(),
            "ActiveRuns": active,
            "EndedRuns": self.ends[:500],
        }

    def _refuse(self, reason: str) -> http.Answer:
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    # Work.

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.lease_ends
            for run in list(self.active.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif not run.lasts and now - run.began >= run.seconds:
                    self._end(run, run.how)

    def _end(self, run: Run, how: str) -> None:
        del self.active[run.task]
        del self.needs[run.task]
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(run.run, highest)
        self._end_number += 1
        self.ends.append([self._end_number, run.task, run.run, how, run.checkpoint])
        self.record.write("end", runner=self.name, task=run.task, run=run.run, how=how)
        self._changed.set()

    # Reports.

    async def _report(self) -> None:
        while True:
            if await self._call_control("PUT", self.make_report()):
                self.acked_state = self.state
            await asyncio.sleep(self.heartbeat_ms / 1000)

    def make_report(self) -> bytes:
        """The next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.advertised,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 8,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Machine": self.machine,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock_ms(),
                "Sequence": self._sequence,
            }
        ).encode()

    async def _call_control(self, method: str, body: bytes | None) -> bool:
        path = f"/instances/{self.name}"
        for control in list(self.controls):
            target = control
            for _ in range(3):
                reply = await http.call(target, method, path, body, timeout=1.0)
                if reply is None:
                    break
                status, headers, _ = reply
                if status == 307:
                    target = headers["location"].split("/")[2]
                    continue
                if 200 <= status < 300:
                    # The daemon that answered is called first next time.
                    self.controls.remove(control)
                    self.controls.insert(0, control)
                    return True
                break
        return False
