"""Stand-in runners, which follow the users' page on running tasks.

What a task is and needs is in the job's `Spec`, as JSON: a list with one object a
step: `cpu`, `mem`, `ms` (work), `lasts`, `gang` (number of members), `saves`, `fails`.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from record import Record
from wire import Server, call

GANG_WAIT_S = 3.0
SAVE_S = 2.0
STOP_S = 0.05  # a stop takes at most StopMs
MAX_HOLD_MS = 10_000


class Run:
    """One run of a task on one runner."""

    def __init__(self, task: str, run: int, spec: dict[str, Any], checkpoint: str) -> None:
        self.task, self.run, self.spec, self.checkpoint = task, run, spec, checkpoint
        self.saved = checkpoint
        self.resumed_ms = int(checkpoint or 0)
        self.began: float | None = None  # when it began to work
        self.came = time.monotonic()
        self.stopping = False

    @property
    def worked_ms(self) -> float:
        if self.began is None:
            return float(self.resumed_ms)
        return self.resumed_ms + (time.monotonic() - self.began) * 1000


class Gangs:
    """The gangs of all runners: who is present, and when they begin to work."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._present: dict[tuple[str, int], dict[str, tuple[Runner, Run]]] = {}
        self.mixed: list[str] = []  # runs whose members carried different checkpoints

    def join(self, runner: Runner, run: Run) -> None:
        key = run.task.rpartition(".")[0], run.run
        members = self._present.setdefault(key, {})
        members[run.task] = (runner, run)
        if len(members) < run.spec["gang"]:
            return
        values = sorted({each.checkpoint for _, each in members.values()})
        if len(values) > 1:
            # All must carry the same value: these do not come together.
            self.mixed.append(f"{key[0]} run {key[1]}: {values}")
            self._record.write(f"gang {key[0]} run {key[1]}: checkpoints differ {values}")
            return
        self._record.write(f"gang {key[0]} run {key[1]}: all present, from {values}")
        for _, each in members.values():
            each.began = time.monotonic()

    def leave(self, run: Run, how: str) -> None:
        """End the others: `done` together, else `broken`."""
        members = self._present.get((run.task.rpartition(".")[0], run.run), {})
        members.pop(run.task, None)
        if run.began is None and how != "done":
            return  # it only waited; the others go on to wait
        for task, (runner, other) in list(members.items()):
            if other.began is not None and task in members:
                del members[task]
                runner.end(other, "done" if how == "done" else "broken")


class Runner:
    """One runner: one machine at one address, which may crash and come back."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        controls: list[str],
        gangs: Gangs,
        record: Record,
        *,
        service: str = "s1",
        cpu: int = 32_000,
        mem: int = 128_000,
        labels: tuple[str, ...] = ("a", "r1"),
        beat_s: float = 1.1,
    ) -> None:
        self.name, self.address, self.service = name, f"{host}:{port}", service
        self._controls, self._gangs, self._record = controls, gangs, record
        self._cpu, self._mem, self._labels, self._beat_s = cpu, mem, labels, beat_s
        self._server = Server(host, port, self._answer)
        self._life = 0
        self.state = "ready"
        self.is_up = False
        self.log: list[tuple[float, str, str, int]] = []  # time, what, task, run
        self._reset()

    def _reset(self) -> None:
        self._life += 1
        self.id = f"i-{self.name}-{self._life}"
        self.active: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self._ended = 0
        self._highest: dict[str, int] = {}
        self._token = 0
        self._sequence = 0
        self._deadline_ms = 0
        self._zero = time.monotonic()
        self._changed = asyncio.Event()

    def _note(self, what: str, run: Run, more: str = "") -> None:
        self.log.append((self._record.now, what, run.task, run.run))
        self._record.write(f"runner {self.id} {what} {run.task} run {run.run} {more}")

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._zero) * 1000)

    async def run(self) -> None:
        """Run until cancelled."""
        await self._server.start()
        self.is_up = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self._beat())
            group.create_task(self._work())

    async def crash(self, down_s: float) -> None:
        """Crash: nothing is sent; another incarnation comes at the same address."""
        self._record.write(f"runner {self.id} crashes")
        self.is_up = False
        await self._server.stop()
        lost = list(self.active.values())
        self.active = {}
        for run in lost:
            self._note("crashed-with", run)
            if run.spec.get("gang"):
                self._gangs.leave(run, "lost")
        await asyncio.sleep(down_s)
        self._reset()
        await self._server.start()
        self.is_up = True
        self._record.write(f"runner {self.id} is up")

    async def _beat(self) -> None:
        turn = 0
        while True:
            if self.is_up:
                self._sequence += 1
                body = {
                    "Service": self.service,
                    "Address": self.address,
                    "Zone": "z1",
                    "Version": "v1",
                    "Slots": 8,
                    "State": self.state,
                    "ColdRemainingMs": 0,
                    "Capacity": {"Cpu": self._cpu, "MemMb": self._mem, "Gpu": 0},
                    "Labels": list(self._labels),
                    "Machine": f"m-{self.name}",
                    "ClockMs": self.clock_ms,
                    "Sequence": self._sequence,
                }
                for _ in range(len(self._controls)):
                    address, path = self._controls[turn], f"/instances/{self.id}"
                    status, _, headers = await call(address, "PUT", path, body)
                    if status == 307:
                        location = headers["location"].removeprefix("http://")
                        address, _, path = location.partition("/")
                        status, _, _ = await call(address, "PUT", "/" + path, body)
                    if status == 200:
                        break
                    turn = (turn + 1) % len(self._controls)
            await asyncio.sleep(self._beat_s)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.active and self.clock_ms > self._deadline_ms:
                for run in list(self.active.values()):
                    self.end(run, "lapsed")
            for run in list(self.active.values()):
                spec = run.spec
                if self.active.get(run.task) is not run or run.stopping:
                    continue
                if run.began is None:
                    if now - run.came > GANG_WAIT_S:
                        self.end(run, "alone")
                    continue
                if spec.get("saves"):
                    step = int(run.worked_ms / (SAVE_S * 1000))
                    if step and step * SAVE_S * 1000 > run.resumed_ms:
                        run.saved = str(int(step * SAVE_S * 1000))
                if not spec.get("lasts") and run.worked_ms >= spec["ms"]:
                    self.end(run, "failed" if spec.get("fails") else "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list it."""
        if self.active.get(run.task) is not run:
            return
        del self.active[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._ended += 1
        self.ends.append([self._ended, run.task, run.run, how, run.saved])
        self._note(f"ends-{how}", run, f"saved {run.saved!r}")
        if run.spec.get("gang"):
            self._gangs.leave(run, how)
        self._changed.set()

    async def _answer(
        self, _method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if headers.get("x-expected-instance") != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("FencingToken", 0) < self._token:
            return self._refuse("fence")
        self._token = order.get("FencingToken", 0)
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return await self._hold(order)
        return 200, {"ClockMs": self.clock_ms}

    def _refuse(self, reason: str) -> tuple[int, Any]:
        return 409, {"ClockMs": self.clock_ms, "Reason": reason}

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))

    def _start(self, order: dict[str, Any]) -> tuple[int, Any]:
        task, number = order["Task"], order["Run"]
        active = self.active.get(task)
        if active is not None and active.run == number:
            self._extend(order["DeadlineMs"])
            return 200, {"ClockMs": self.clock_ms}
        if order["DeadlineMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(order["DeadlineMs"])
        if number <= self._highest.get(task, 0) or active is not None:
            return self._refuse("old")
        spec = json.loads(order["Spec"])["steps"][int(task.split(".")[2])]
        used = [run.spec for run in self.active.values()]
        cpu = sum(each.get("cpu", 0) for each in used) + spec.get("cpu", 0)
        mem = sum(each.get("mem", 0) for each in used) + spec.get("mem", 0)
        if cpu > self._cpu or mem > self._mem:
            return self._refuse("room")
        run = Run(task, number, spec, order.get("Checkpoint", ""))
        self.active[task] = run
        self._note("starts", run, f"checkpoint {run.checkpoint!r}")
        if spec.get("gang"):
            self._gangs.join(self, run)
        else:
            run.began = time.monotonic()
        return 200, {"ClockMs": self.clock_ms}

    def _stop(self, order: dict[str, Any]) -> tuple[int, Any]:
        task, number = order["Task"], order["Run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.active.get(task)
        if run is not None and run.run <= number and not run.stopping:
            run.stopping = True
            if run.spec.get("saves") and run.began is not None:
                run.saved = str(int(run.worked_ms))  # a new value at a stop
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return 200, {"ClockMs": self.clock_ms}

    async def _hold(self, order: dict[str, Any]) -> tuple[int, Any]:
        if "DeadlineMs" in order:
            self._extend(order["DeadlineMs"])
        self.ends = [end for end in self.ends if end[0] > order.get("AckedUpto", 0)]
        until = time.monotonic() + min(order.get("WaitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self._changed = asyncio.Event()
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                break
        active = [
            [run.task, run.run, run.saved, self._percent(run), 0]
            for run in self.active.values()
        ]
        return 200, {
            "ClockMs": self.clock_ms,
            "ActiveRuns": active,
            "EndedRuns": self.ends[:500],
        }

    def _percent(self, run: Run) -> int:
        if run.spec.get("lasts"):
            return 100
        return min(99, int(100 * run.worked_ms / run.spec["ms"]))
