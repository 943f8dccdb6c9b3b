"""Stand-ins for the platform, its runners, clients and the operator.

They speak what PROTOCOL.md says, over loopback, with the standard library alone.
The project's programs run as separate processes with the commands of the deploy file.
"""

import asyncio
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STOP_MS = 200
MAX_HOLD_MS = 6_000
HEARTBEAT_MS = 1_500
GANG_WAIT_MS = 3_000
SAVE_MS = 2_000


def free_port(host):
    """Return a port that is free on a loopback address."""
    with socket.create_server((host, 0)) as probe:
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.rows = []
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        at = self.now()
        self.rows.append((at, what, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{at:8.3f} {what} {text}", file=self._file, flush=True)


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Send one HTTP/1.1 request on a new connection; return status, headers, body.

    Status 0 stands for no answer.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body, headers or {}), timeout
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""


async def _call(address, method, path, body, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {headers.pop('Host', address)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
            "Connection: close",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader):
    """Read one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    return status, fields, await reader.readexactly(length)


class Deployment:
    """The project's programs, as the deploy file names them."""

    def __init__(self, record, controllers=3, entries=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        pid = os.getpid()
        net = f"127.{20 + pid % 200}.{1 + pid // 200 % 250}"
        self.cores = [f"{net}.{11 + each}" for each in range(controllers)]
        self.fronts = [f"{net}.{41 + each}" for each in range(entries)]
        self.runner_hosts = [f"{net}.{101 + each}" for each in range(100)]
        first = self.cores[0]
        names = ("peer", "front", "ready", "control", "metrics")
        self.ports = {name: free_port(first) for name in names}
        self.processes = {}
        self._logs = {}

    def controls(self):
        return [f"{host}:{self.ports['control']}" for host in self.cores]

    def front(self, number=0):
        return f"{self.fronts[number]}:{self.ports['front']}"

    def fill_template(self, host, bootstrap):
        """Fill in the template of the settings as DEPLOY.md tells."""
        is_core = host in self.cores
        folder = self.folder / f"data-{host}"
        values = {
            "Zone": f"z{(self.cores + self.fronts).index(host) % 3}",
            "Ip": host,
            "InternalPorts.0": str(self.ports["peer"]),
            "BindAddrs.Front": "" if is_core else f"{host}:{self.ports['front']}",
            "BindAddrs.ReadyAddr": "" if is_core else f"{host}:{self.ports['ready']}",
            "BindAddrs.ControlAddr": (
                f"{host}:{self.ports['control']}" if is_core else ""
            ),
            "Bootstrap|json": "true" if bootstrap else "false",
            "DataDir": str(folder) if is_core else "",
            "FaultTolerance.Machines": "1",
            "Limits.MemoryMb": "296" if is_core else "300",
            "Limits.DiskMb": "128" if is_core else "0",
            "HeartbeatMs": str(HEARTBEAT_MS),
            "Bounds.MaxHoldMs": str(MAX_HOLD_MS),
            "NodeName": ("core-" if is_core else "front-") + host.replace(".", "-"),
        }
        role = self.roles["controller" if is_core else "entry"]
        text = (ROOT / role["template"]).read_text()
        seeds = ",".join(f'"{each}"' for each in self.controls()[:3])
        text = re.sub(r"\{\{#SeedNodes\}\}.*\{\{/SeedNodes\}\}", seeds, text)
        text = re.sub(r"\{\{([^{}]+)\}\}", lambda m: values[m.group(1)], text)
        text = text.replace(
            f"metrics: \"{host}:9464\"", f"metrics: \"{host}:{self.ports['metrics']}\""
        )
        path = self.folder / f"{host}.yaml"
        path.write_text(text)
        if is_core:
            folder.mkdir(exist_ok=True)
        return path

    def start(self, host, bootstrap=False):
        """Start the program of a host."""
        path = self.fill_template(host, bootstrap)
        role = self.roles["controller" if host in self.cores else "entry"]
        log = self._logs.setdefault(host, open(self.folder / f"{host}.log", "ab"))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RHUBARBFIELD_NODE_FILE": str(path),
        }
        self.processes[host] = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.record.add("process-started", host=host)

    def start_all(self):
        for host in self.cores + self.fronts:
            self.start(host, bootstrap=True)

    def signal(self, host, number):
        self.processes[host].send_signal(number)
        self.record.add("signal", host=host, signal=signal.Signals(number).name)

    def read_log(self, host):
        return (self.folder / f"{host}.log").read_text(errors="replace")

    async def find_leader(self):
        """Return the host of the controller that serves the configuration itself."""
        for host in self.cores:
            status, _, _ = await call(
                f"{host}:{self.ports['control']}", "GET", "/config", timeout=1.0
            )
            if status == 200:
                return host
        return None

    async def wait_ready(self, timeout=30.0):
        """Wait until each entry is ready; raise if one isn't in time."""
        deadline = time.monotonic() + timeout
        for host in self.fronts:
            while True:
                status, _, _ = await call(
                    f"{host}:{self.ports['ready']}", "GET", "/readyz", timeout=1.0
                )
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{host} is not ready")
                await asyncio.sleep(0.1)

    async def put_configuration(self, configuration, timeout=15.0):
        """Send a configuration as the operator does; return whether it was accepted."""
        controls = itertools.cycle(self.controls())
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            address = next(controls)
            path = "/config"
            for _ in range(3):
                status, fields, _ = await call(
                    address, "PUT", path, configuration, timeout=1.5
                )
                if status != 307:
                    break
                address, _, rest = fields["location"].split("//", 1)[1].partition("/")
                path = "/" + rest
            self.record.add(
                "configuration", version=configuration["Version"], status=status
            )
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        """End all processes that were started, by their ids."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self._logs.values():
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(version, routes, guards=True):
    """Return a configuration; a route is a dict that replaces the defaults."""
    defaults = {
        "Type": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 250,
        "Priority": 0,
        "Service": "svc",
        "MaxAttempts": 3,
        "Stretch": 1.5,
    }
    return {
        "Version": version,
        "Routes": [{**defaults, **route} for route in routes],
        "Services": [
            {
                "Name": "svc",
                "HealthPath": "/healthz",
                "MaxConnections": 64,
                "Protocol": "h1",
                "Tls": False,
                "EnforcesCapacity": guards,
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


class World:
    """What the runners know of the tasks: demand, work and gangs, by step.

    The fields of a step: ``cpu``, ``fills`` (the cores aren't counted), ``work_s``,
    ``lasts``, ``tail_ms`` (what a task that serves reports), ``fails`` (every run
    fails), and ``gang`` (the number of its members, which work only together).
    """

    def __init__(self):
        self.steps = {}  # (job, step) -> dict
        self.gangs = {}  # (step of an occurrence, run) -> {task: runner}
        self.complete = {}  # the same -> when all members were there
        self.broken = set()

    def join(self, task, run, runner, members):
        """Note that a member of a gang's run has started."""
        key = task.rpartition(".")[0], run
        present = self.gangs.setdefault(key, {})
        present[task] = runner
        if len(present) == members:
            self.complete.setdefault(key, time.monotonic())

    def leave(self, task, run, how):
        """Note that a member has ended; the others end with it."""
        key = task.rpartition(".")[0], run
        self.gangs.get(key, {}).pop(task, None)
        if how != "done":
            self.broken.add(key)

    def add(self, job, number, **fields):
        self.steps[job, number] = fields

    def find(self, task):
        job, _, step, _ = task.split(".")
        return self.steps.get((job, int(step)), {})


class Runner:
    """One life of a runner."""

    def __init__(self, record, world, controls, host, rack, cpu=64_000, name=None):
        self.record, self.world, self.controls = record, world, controls
        self.host, self.rack, self.cpu = host, rack, cpu
        self.mem_mb = 250_000
        self.kind = "a"
        self.name = name or f"i-{host.rpartition('.')[2]}"
        self.state = "ready"
        self.mode = ""  # "busy" answers 503 to what is to be started
        self.fence = 0
        self.active = {}
        self.ends = []
        self.highest = {}  # of each task: the highest run stopped or ended here
        self.last_end = 0
        self.lease_end = 0.0
        self.sequence = 0
        self.acked = 0
        self.changed = asyncio.Event()
        self.clock_began = time.monotonic()
        self.port = None
        self._server = None
        self._tasks = []
        self._writers = set()
        self._controls = itertools.cycle(controls)

    # Life

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self):
        """End at once; what it runs ends with it."""
        self.record.add("runner-crashed", runner=self.name, runs=len(self.active))
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.active = {}

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000) + 1_000

    def describe(self):
        self.sequence += 1
        return {
            "Service": "svc",
            "Address": f"{self.host}:{self.port}",
            "Zone": "z0",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
            "Labels": [self.kind, self.rack],
            "Machine": f"m-{self.host.rpartition('.')[2]}",
            "ClockMs": self.clock_ms(),
            "Sequence": self.sequence,
        }

    async def beat_once(self):
        """Send a heartbeat; return whether it was acknowledged."""
        for _ in self.controls:
            address, path = next(self._controls), f"/instances/{self.name}"
            for _ in range(3):
                status, fields, _ = await call(
                    address, "PUT", path, self.describe(), timeout=1.0
                )
                if status != 307:
                    break
                address, _, rest = fields["location"].split("//", 1)[1].partition("/")
                path = "/" + rest
            if 200 <= status < 300:
                return True
        return False

    async def _beat(self):
        while True:
            acknowledged = await self.beat_once()
            await asyncio.sleep(HEARTBEAT_MS / 1000 if acknowledged else 0.2)

    async def drain(self):
        """Report that it drains; return whether that was acknowledged."""
        self.state = "draining"
        acknowledged = await self.beat_once()
        self.record.add("draining", runner=self.name, acknowledged=acknowledged)
        return acknowledged

    # Work

    async def _work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            passed, last = now - last, now
            if self.clock_ms() > self.lease_end and self.active:
                for task in list(self.active):
                    self._end(task, "lapsed")
            for task, run in list(self.active.items()):
                step = run["step"]
                if run.get("stopping_at") and now >= run["stopping_at"]:
                    self._end(task, "stopped")
                    continue
                if step.get("lasts"):
                    run["worked"] += passed
                    continue
                if step.get("gang") and not self._is_working(task, run, now):
                    continue
                run["worked"] += passed * run["pace"] / 100
                if run["worked"] >= step.get("work_s", 1.0):
                    self._end(task, "failed" if step.get("fails") else "done")

    def _is_working(self, task, run, now):
        """Return whether all members are there; end the run if they can't be."""
        key = task.rpartition(".")[0], run["run"]
        if key in self.world.broken:
            self._end(task, "broken")
            return False
        if key in self.world.complete:
            return True
        if now - run["since"] > GANG_WAIT_MS / 1000:
            self._end(task, "alone")
        return False

    def _end(self, task, how):
        run = self.active.pop(task)
        if run["step"].get("gang"):
            self.world.leave(task, run["run"], how)
        self.last_end += 1
        saved = run["saved"]
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.ends.append([self.last_end, task, run["run"], how, saved])
        self.record.add("end", runner=self.name, task=task, run=run["run"], how=how)
        self.changed.set()

    def used(self):
        steps = (run["step"] for run in self.active.values())
        return sum(each.get("cpu", 0) for each in steps if not each.get("fills"))

    def _extend(self, deadline):
        if deadline:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.lease_end = max(self.lease_end, min(deadline, longest))

    # Calls

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                _, path, _ = lines[0].split()
                fields = dict(
                    (name.strip().lower(), value.strip())
                    for name, _, value in (line.partition(":") for line in lines[1:])
                )
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
                status, reply = await self._answer(path, fields, body)
                content = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:  # the stand-in ends
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, fields, body):
        if fields.get("x-expected-instance") not in (None, self.name):
            return 421, {}
        if path == "/healthz":
            return 200, {}
        order = json.loads(body)
        if path == "/run-start" and self.mode == "busy":
            self.record.add("start-refused", runner=self.name, task=order["Task"])
            return 503, {}
        token = order.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/pace":
            run = self.active.get(order["Task"])
            if run and run["run"] == order["Run"]:
                run["pace"] = order["Percent"]
            return 200, {"ClockMs": self.clock_ms()}
        if path == "/hold":
            return await self._hold(order)
        return 404, {}

    def _refuse(self, reason):
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    def _start(self, order):
        task, run = order["Task"], order["Run"]
        present = self.active.get(task)
        if present and present["run"] == run:
            self._extend(order["DeadlineMs"])
            return 200, {"ClockMs": self.clock_ms()}
        if order["DeadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(order["DeadlineMs"])
        if run <= self.highest.get(task, 0) or present:
            return self._refuse("old")
        step = self.world.find(task)
        wanted = 0 if step.get("fills") else step.get("cpu", 0)
        if self.used() + wanted > self.cpu:
            return self._refuse("room")
        self.active[task] = {
            "run": run,
            "step": step,
            "saved": order.get("Checkpoint", ""),
            "worked": 0.0,
            "pace": 100,
            "since": time.monotonic(),
        }
        if step.get("gang"):
            self.world.join(task, run, self, step["gang"])
        self.record.add("start", runner=self.name, task=task, run=run)
        return 200, {"ClockMs": self.clock_ms()}

    def _stop(self, order):
        task, run = order["Task"], order["Run"]
        present = self.active.get(task)
        if present and present["run"] <= run:
            if not present.get("stopping_at"):
                present["stopping_at"] = time.monotonic() + STOP_MS / 2000
                self.record.add("stop", runner=self.name, task=task, run=run)
        else:
            self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {"ClockMs": self.clock_ms()}

    async def _hold(self, order):
        self.acked = max(self.acked, order.get("AckedUpto", 0))
        self.ends = [end for end in self.ends if end[0] > self.acked]
        self._extend(order.get("DeadlineMs"))
        wait = order.get("WaitMs", 0) / 1000
        if wait and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        rows = []
        for task, run in self.active.items():
            step = run["step"]
            if step.get("lasts"):
                percent = 100
            else:
                percent = int(100 * run["worked"] / step.get("work_s", 1.0))
            measure = step.get("tail_ms") or step.get("cpu", 0)
            rows.append([task, run["run"], run["saved"], min(percent, 100), measure])
        return 200, {
            "ClockMs": self.clock_ms(),
            "ActiveRuns": rows,
            "EndedRuns": self.ends[:500],
        }


class Client:
    """A client that hands jobs in, reads and cancels them."""

    def __init__(self, record, world, deployment, host="jobs.example", prefix="/q/"):
        self.record, self.world, self.deployment = record, world, deployment
        self.host, self.prefix = host, prefix
        self.accepted = {}

    async def submit(self, job, steps, retries=4, front=0, **fields):
        """Hand a job in; return the last status."""
        status = 0
        for attempt in range(1 + retries):
            status, _, _ = await call(
                self.deployment.front((front + attempt) % len(self.deployment.fronts)),
                "POST",
                f"{self.prefix}{job}",
                {"Spec": f"spec of {job}", "Steps": steps, **fields},
                {"Host": self.host, "X-Deadline-Ms": "3000"},
            )
            self.record.add("submit", job=job, status=status)
            if 200 <= status < 300:
                self.accepted.setdefault(job, self.record.now())
                break
            if status in (400, 404):
                break
            await asyncio.sleep(0.3)
        return status

    async def ask(self, method, path, front=0):
        status, _, body = await call(
            self.deployment.front(front),
            method,
            f"{self.prefix}{path}",
            None,
            {"Host": self.host, "X-Deadline-Ms": "3000"},
        )
        try:
            content = json.loads(body) if body else {}
        except ValueError:
            content = {}
        self.record.add(method.lower(), path=path or "(count)", status=status, **content)
        return status, content
