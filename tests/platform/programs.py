"""Controllers and entries as processes, started and restarted as a platform does."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import httpx
import msgspec
import trio
import yaml

RESTART_SECONDS = 0.5  # the platform restarts an ended process after a short delay
POLL_SECONDS = 0.05


class Network(msgspec.Struct, frozen=True):
    """Addresses and ports of one deployment.

    Attributes
    ----------
    prefix
        First three numbers of its loopback addresses.
    """

    prefix: str
    controllers: int = 3
    entries: int = 3
    peer_port: int = 17_751
    control_port: int = 17_752
    callers_port: int = 17_753
    ready_port: int = 17_754
    metrics_port: int = 17_756

    def list_controllers(self) -> list[str]:
        """Return the addresses of the controllers."""
        return [f"{self.prefix}.{31 + number}" for number in range(self.controllers)]

    def list_entries(self) -> list[str]:
        """Return the addresses of the entries."""
        return [f"{self.prefix}.{41 + number}" for number in range(self.entries)]

    def list_hosts(self) -> list[str]:
        """Return all addresses."""
        return [*self.list_controllers(), *self.list_entries()]


def pick_network(number: int = 0) -> Network:
    """Return addresses of this process alone; ``number`` tells several apart."""
    first, second = divmod(os.getpid() * 7 + number, 250)
    return Network(f"127.{2 + first % 250}.{1 + second}")


class End(msgspec.Struct, frozen=True):
    """The end of a process that nobody had asked for.

    Attributes
    ----------
    code
        Exit code; negative, the signal that ended it.
    error
        The last line that is not an event.
    """

    host: str
    code: int
    error: str


class Deployment:
    """Processes of one deployment, which are restarted whenever they end.

    Parameters
    ----------
    folder
        Folder for settings, logs and data.
    network
        Where they listen.
    """

    def __init__(self, folder: Path, network: Network) -> None:
        self.network = network
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._awaited_codes: dict[int, set[int]] = {}
        self._stopping = False
        self.ends: list[End] = []

    def start(self, host: str, *, may_form_group: bool = False) -> None:
        """Start the program of a host."""
        is_entry = host in self.network.list_entries()
        program = "job-entry" if is_entry else "job-controller"
        path = self.write_settings(host, may_form_group=may_form_group)
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [sys.executable, "-m", "rhubarbfield", program, "--settings", path],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": ":".join(sys.path)},
            )

    def write_settings(self, host: str, *, may_form_group: bool) -> Path:
        """Write the settings file of a host, and return its path."""
        path = self._folder / f"{host}.yaml"
        settings = self.describe(host, may_form_group=may_form_group)
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path

    async def rewrite_settings_slowly(self, host: str, rng: random.Random) -> None:
        """Write the settings of a started host again, first only in part."""
        path = self._folder / f"{host}.yaml"
        if not path.exists():
            return
        text = path.read_text(encoding="utf-8")
        path.write_text(text[: rng.randrange(len(text))], encoding="utf-8")
        await trio.sleep(rng.uniform(0.1, 1))
        path.write_text(text, encoding="utf-8")

    def describe(self, host: str, *, may_form_group: bool) -> dict[str, Any]:
        """Return the settings of a host."""
        network = self.network
        is_entry = host in network.list_entries()
        return {
            "instance": host,
            "failure_domain": "z1",
            "host": host,
            "peer_port": network.peer_port,
            "callers": f"{host}:{network.callers_port}" if is_entry else "",
            "readiness": f"{host}:{network.ready_port}" if is_entry else "",
            "control": "" if is_entry else f"{host}:{network.control_port}",
            "metrics": f"{host}:{network.metrics_port}",
            "seeds": [
                f"{c}:{network.control_port}" for c in network.list_controllers()
            ],
            "may_form_group": may_form_group,
            "data_folder": "" if is_entry else str(self._folder / host),
            "workers": {"report_ms": 1100, "longest_lease_ms": 10_000},
        }

    async def watch(self) -> None:
        """Restart processes that have ended, until cancelled."""
        while True:
            await trio.sleep(POLL_SECONDS)
            for host, process in list(self._processes.items()):
                if process.poll() is not None and not self._stopping:
                    self._record_end(host, process.returncode)
                    await trio.sleep(RESTART_SECONDS)
                    self.start(host)

    def _record_end(self, host: str, code: int) -> None:
        if code in self._awaited_codes.get(self._processes[host].pid, ()):
            return
        lines = self.read_log(host).splitlines()
        others = [line for line in lines if not line.startswith("{")]
        self.ends.append(End(host, code, others[-1] if others else ""))

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host, if it is there.

        Before its first statement a program can't handle any: it ends by them.
        """
        process = self._processes.get(host)
        if process is None or process.poll() is not None:
            return
        awaited = self._awaited_codes.setdefault(process.pid, set())
        if number is signal.SIGTERM:
            awaited.add(0)
        if number is not signal.SIGCONT and not _catches(process.pid, number):
            awaited.add(-number)
        process.send_signal(number)

    def find_exit_code(self, host: str) -> int | None:
        """Return the exit code of a host's process, or None while it runs."""
        return self._processes[host].poll()

    def get_pid(self, host: str) -> int:
        """Return the id of a host's process."""
        return self._processes[host].pid

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
        """Return what a host's processes have written."""
        path = self._folder / f"{host}.log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    def list_events(self, host: str) -> list[dict[str, Any]]:
        """Return the events that a host's processes have logged."""
        lines = self.read_log(host).splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def wait_ready(self) -> None:
        """Wait until each entry reports itself ready."""
        async with httpx.AsyncClient(timeout=1.0) as client:
            for host in self.network.list_entries():
                url = f"http://{host}:{self.network.ready_port}/readyz"
                while not await _is_ok(client, url):
                    await trio.sleep(POLL_SECONDS)


def _catches(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)


async def _is_ok(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(url)).is_success
    except httpx.HTTPError:
        return False
