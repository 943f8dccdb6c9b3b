"""The project's own programs as processes, with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from record import Record
from wire import call

ROOT = Path(__file__).resolve().parents[2]
RESTART_S = 0.5  # the platform restarts an ended process after a short delay


def pick_prefix() -> str:
    """Return the first three numbers of loopback addresses nobody listens at."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def pick_ports(host: str, count: int) -> list[int]:
    """Return ports that are free."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class System:
    """Three controllers and some entries of one deployment."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        *,
        entries: int = 2,
        beat_ms: int = 1100,
        longest_lease_ms: int = 10_000,
    ) -> None:
        self._folder, self._record = folder, record
        self._beat_ms, self._longest_lease_ms = beat_ms, longest_lease_ms
        self.prefix = pick_prefix()
        self._ports = pick_ports(f"{self.prefix}.11", 5)
        self.controllers = [f"{self.prefix}.{11 + n}" for n in range(3)]
        self.entries = [f"{self.prefix}.{21 + n}" for n in range(entries)]
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._commands = {
            **{host: roles["controller"]["run"].split() for host in self.controllers},
            **{host: roles["entry"]["run"].split() for host in self.entries},
        }
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stopping = False
        self.ends: list[str] = []
        self.seeds: dict[str, list[str]] = {}  # of a host, where not all controllers

    @property
    def controls(self) -> list[str]:
        return [f"{host}:{self._ports[1]}" for host in self.controllers]

    @property
    def peer_port(self) -> int:
        return self._ports[0]

    @property
    def control_port(self) -> int:
        return self._ports[1]

    @property
    def fronts(self) -> list[str]:
        return [f"{host}:{self._ports[2]}" for host in self.entries]

    def start_all(self) -> None:
        """Start the whole system for the first time."""
        self.start_controllers()
        for host in self.entries:
            self.start(host, first=True)

    def start_controllers(self) -> None:
        """Start the controllers for the first time."""
        for host in self.controllers:
            self.start(host, first=True)

    async def find_leader(self) -> str:
        """Return the host that answers a read of the configuration itself."""
        while True:
            for host, control in zip(self.controllers, self.controls, strict=True):
                status, _, _ = await call(control, "GET", "/config")
                if status == 200:
                    return host
            await asyncio.sleep(0.2)

    def start(self, host: str, *, first: bool = False) -> None:
        """Start the program of a host."""
        peer, control, front, ready, metrics = self._ports
        is_entry = host in self.entries
        settings = {
            "failure_domain": "z1",
            "host": host,
            "peer_port": peer,
            "callers": f"{host}:{front}" if is_entry else "",
            "readiness": f"{host}:{ready}" if is_entry else "",
            "control": "" if is_entry else f"{host}:{control}",
            "seeds": self.seeds.get(host, self.controls),
            "may_form_group": first,
            "data_folder": "" if is_entry else str(self._folder / f"data-{host}"),
            "tolerated_losses": 1,
            "grace_ms": 6000,
            "workers": {
                "report_ms": self._beat_ms,
                "longest_lease_ms": self._longest_lease_ms,
            },
            "metrics": f"{host}:{metrics}",
            "instance": host,
        }
        path = self._folder / f"{host}.yaml"
        path.write_text(json.dumps(settings))  # JSON is YAML
        env = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["RHUBARBFIELD_NODE_FILE"] = str(path)
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                self._commands[host], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write(f"system start {host} pid {self._processes[host].pid}")

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        self._record.write(f"system {number.name} to {host}")
        self._processes[host].send_signal(number)

    async def watch(self) -> None:
        """Restart processes that have ended, until cancelled."""
        await asyncio.gather(*(self._watch_host(host) for host in self._commands))

    async def _watch_host(self, host: str) -> None:
        while True:
            await asyncio.sleep(0.05)
            process = self._processes.get(host)
            if process is None or process.poll() is None or self._stopping:
                continue
            self._record.write(f"system ended {host} code {process.returncode}")
            self.ends.append(f"{host} {process.returncode}")
            await asyncio.sleep(RESTART_S)
            self.start(host)

    def stop(self) -> None:
        """Kill all processes."""
        self._stopping = True
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    def read_log(self, host: str) -> str:
        return (self._folder / f"{host}.log").read_text(errors="replace")

    async def put_configuration(self, configuration: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged, as the operator does."""
        while True:
            for control in self.controls:
                address, path = control, "/config"
                for _ in range(3):
                    status, _, headers = await call(
                        address, "PUT", path, configuration, timeout=1.0
                    )
                    if status != 307:
                        break
                    location = headers["location"].removeprefix("http://")
                    address, _, path = location.partition("/")
                    path = "/" + path
                version = configuration["Version"]
                self._record.write(f"operator PUT version {version}: {status}")
                if status == 200:
                    return
            await asyncio.sleep(0.3)


def make_route(name: str, host: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Hostname": host,
        "PathPrefix": prefix,
        "Type": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 3,
        "Stretch": 2.0,
        **more,
    }


def make_configuration(
    version: int, routes: list[dict[str, Any]], services: list[str], *, guards: bool = True
) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConnections": 64,
                "Protocol": "h1",
                "Tls": False,
                "EnforcesCapacity": guards,
                "Standby": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
