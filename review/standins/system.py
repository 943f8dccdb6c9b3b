"""The project's programs as processes, and the operator and clients that use them."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from standins import http
from standins.proxy import Proxy
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
RESTART_SECONDS = 0.5  # the platform restarts an ended process after a short delay
BOUNDS = {"MaxHoldMs": 10_000, "ContactMs": 3_000}
_TAG = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


_candidates = itertools.count(20_000 + os.getpid() % 8_000)


def pick_network() -> str:
    """Return the first three numbers of loopback addresses of this process alone."""
    return f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def pick_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all these addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidates)
        sockets = []
        try:
            for host in hosts:
                each = socket.socket()
                sockets.append(each)
                each.bind((host, port))
            ports.append(port)
        except OSError:
            pass
        finally:
            for each in sockets:
                each.close()
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform's pages describe, as far as it is used."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill_section(match: re.Match[str]) -> str:
        entries = find(match[1]) or []
        parts = []
        for number, entry in enumerate(entries):
            comma = "," if number < len(entries) - 1 else ""
            parts.append(match[2].replace("{{.}}", str(entry)).replace("{{,}}", comma))
        return "".join(parts)

    def fill(match: re.Match[str]) -> str:
        value = find(match[2])
        if match[3]:
            return json.dumps(value)
        return "" if value is None else str(value)

    template = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return _TAG.sub(fill, template)


class System:
    """Three controllers and some entries, as the deploy file starts them."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        entries: int = 1,
        runners: int = 2,
        spares: int = 0,
    ) -> None:
        self.record = record
        self.folder = folder
        self.network = pick_network()
        self.core = [f"{self.network}.{number}" for number in (31, 32, 33)]
        self.front = [f"{self.network}.{41 + number}" for number in range(entries)]
        self.runner_hosts = [f"{self.network}.{61 + n}" for n in range(runners)]
        # Machines of the core that may be added.
        self.spares = [f"{self.network}.{34 + number}" for number in range(spares)]
        hosts = [*self.core, *self.spares, *self.front, *self.runner_hosts]
        self.peer, self.control, self.calls, self.ready, self.metrics, self.work = (
            pick_ports(hosts, 6)
        )
        self.original = list(self.core)
        self.controls = [f"{host}:{self.control}" for host in self.core]
        self.peer_ports = dict.fromkeys(
            [*self.core, *self.spares, *self.front], self.peer
        )
        self._proxies: dict[tuple[str, str], Proxy] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stopping = False
        self.expected_ends: set[str] = set()
        self.own_ends: list[str] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = {
            serves: role
            for role in deploy["roles"].values()
            for serves in role["serves"]
        }
        self._watcher: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start all machines for the first time."""
        for host in [*self.core, *self.front]:
            self.launch(host, bootstrap=True)
        self._watcher = asyncio.create_task(self._watch())

    async def add_peer_proxies(self) -> None:
        """Put a proxy on each way to a controller, before the processes start.

        A process calls the others at its own peer port, so that the port tells which
        process is calling.
        """
        hosts = [*self.core, *self.front]
        ports = pick_ports(hosts, len(hosts))
        self.peer_ports = dict(zip(hosts, ports, strict=True))
        for caller in hosts:
            for called in self.core:
                if caller != called:
                    proxy = Proxy(
                        called, self.peer_ports[caller], called, self.peer_ports[called]
                    )
                    await proxy.start()
                    self._proxies[caller, called] = proxy

    def cut_off(self, host: str) -> None:
        """Cut a controller off from the other controllers."""
        self.record.write("cut", host=host)
        for pair, proxy in self._proxies.items():
            if host in pair and not set(pair) & set(self.front):
                proxy.cut()

    def heal(self) -> None:
        """End all cuts; what was held up passes."""
        self.record.write("heal")
        for proxy in self._proxies.values():
            proxy.heal()

    def launch(self, host: str, *, bootstrap: bool = False) -> None:
        """Start the program of a machine."""
        settings = self._write_settings(host, bootstrap=bootstrap)
        role = self._find_role(host)
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "RHUBARBFIELD_NODE_FILE": str(settings),
                },
            )
        self.record.write("process-started", host=host, pid=self.processes[host].pid)

    def _find_role(self, host: str) -> dict[str, Any]:
        return self._roles["control" if host in self.core else "front"]

    def _write_settings(self, host: str, *, bootstrap: bool = False) -> Path:
        """Fill in the deploy file's template for a machine."""
        is_core = host in self.core
        fields = {
            "NodeName": f"{'core' if is_core else 'front'}-{host}",
            "Zone": "z1",
            "Ip": host,
            "InternalPorts": [self.peer_ports[host], self.peer_ports[host] + 15],
            "BindAddrs": {"ControlAddr": f"{host}:{self.control}"}
            if is_core
            else {
                "Front": f"{host}:{self.calls}",
                "ReadyAddr": f"{host}:{self.ready}",
            },
            "SeedNodes": self.controls,
            "Bootstrap": bootstrap,
            "DataDir": str(self.folder / host) if is_core else None,
            "FaultTolerance": {"Machines": 1},
            "HeartbeatMs": 1100,
            "Bounds": BOUNDS,
        }
        template = (ROOT / self._find_role(host)["template"]).read_text()
        text = render(template, fields)
        # All machines have the same port here, which may be used by another program.
        text = text.replace(f'"{host}:9464"', f'"{host}:{self.metrics}"')
        settings = self.folder / f"{host}.yaml"
        settings.write_text(text)
        return settings

    async def _watch(self) -> None:
        """Restart processes that have ended, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            for host, process in list(self.processes.items()):
                code = process.poll()
                if code is None or self.stopping:
                    continue
                if host in self.expected_ends:
                    self.expected_ends.discard(host)
                else:
                    self.own_ends.append(host)
                    self.record.write("process-ended-by-itself", host=host, code=code)
                await asyncio.sleep(RESTART_SECONDS)
                self.launch(host)

    def remove(self, host: str) -> None:
        """Kill a machine of the core, which never comes back."""
        self.record.write("removed", host=host)
        process = self.processes.pop(host)
        process.kill()
        process.wait()
        self.core.remove(host)
        self.controls.remove(f"{host}:{self.control}")

    def add(self) -> str:
        """Add an empty machine to the core, at another address."""
        host = self.spares.pop(0)
        self.core.append(host)
        self.controls.append(f"{host}:{self.control}")
        self.record.write("added", host=host)
        self.launch(host)
        return host

    def rewrite_settings(self, host: str) -> None:
        """Write the settings file of a running machine anew, without a signal."""
        self.record.write("settings-changed", host=host, seeds=self.controls)
        self._write_settings(host)

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_ends.add(host)
        self.record.write("signal", host=host, signal=number.name)
        self.processes[host].send_signal(number)

    def stop(self) -> None:
        """End all processes that were started."""
        self.stopping = True
        if self._watcher is not None:
            self._watcher.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for proxy in self._proxies.values():
            proxy.close()

    def read_log(self, host: str) -> list[dict[str, Any]]:
        """Return the log lines of a machine."""
        lines = (self.folder / f"{host}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    # The operator.

    async def put_configuration(self, document: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        while True:
            for control in self.controls:
                target = control
                for _ in range(3):
                    reply = await http.call(target, "PUT", "/config", body)
                    if reply is None or reply[0] != 307:
                        break
                    target = reply[1]["location"].split("/")[2]
                status = None if reply is None else reply[0]
                self.record.write(
                    "config", version=document["Version"], to=target, status=status
                )
                if status == 200:
                    return
            await asyncio.sleep(0.3)

    async def find_leader(self) -> str:
        """Return the machine that answers for the configuration."""
        while True:
            for host in self.core:
                reply = await http.call(
                    f"{host}:{self.control}", "GET", "/config", timeout=1
                )
                if reply is not None and reply[0] == 200:
                    return host
            await asyncio.sleep(0.1)

    # Clients.

    async def request(
        self,
        method: str,
        hostname: str,
        path: str,
        body: Any = None,
        *,
        entry: int = 0,
        deadline: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Send one request of a client; return status and content, or None."""
        data = None if body is None else json.dumps(body).encode()
        headers = {"Host": hostname, "X-Deadline-Ms": str(int(deadline * 1000))}
        front = f"{self.front[entry % len(self.front)]}:{self.calls}"
        reply = await http.call(front, method, path, data, headers, deadline)
        answer = None
        if reply is not None:
            content = json.loads(reply[2]) if reply[2] else None
            answer = reply[0], content
        self.record.write(
            "request",
            method=method,
            host=hostname,
            path=path,
            status=None if answer is None else answer[0],
            content=None if answer is None else answer[1],
        )
        return answer

    async def submit(
        self, hostname: str, prefix: str, job: str, body: dict[str, Any], **more: Any
    ) -> bool:
        """Hand a job in until a 2xx; return False for a final refusal."""
        for number, step in enumerate(body["Steps"]):
            cpu = 0 if step.get("Fills") else step.get("Cpu", 0)
            self.record.needs[f"{job}.{number}"] = (cpu, step.get("MemMb", 0))
        for _ in range(40):
            answer = await self.request("POST", hostname, prefix + job, body, **more)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] in (400, 404, 413):
                return False
            await asyncio.sleep(0.3)
        return False

    async def read_state(
        self, hostname: str, prefix: str, job: str, attempts: int = 20
    ) -> Any:
        """Return the status and state of a job, from the first clear answer."""
        for attempt in range(attempts):
            answer = await self.request("GET", hostname, prefix + job, entry=attempt)
            if answer is not None and answer[0] < 500:
                state = (answer[1] or {}).get("State") if answer[0] == 200 else None
                return answer[0], state
            await asyncio.sleep(0.3)
        return None, None

    async def wait_ready(self) -> None:
        """Wait until each entry reports itself ready."""
        for host in self.front:
            while True:
                reply = await http.call(f"{host}:{self.ready}", "GET", "/readyz")
                if reply is not None and reply[0] == 200:
                    break
                await asyncio.sleep(0.2)
