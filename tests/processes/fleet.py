"""A fleet of real processes, with access to its ports and logs."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import httpx

from rhubarbfield.testing.fleet import (
    LOOPBACK,
    FleetInstance,
    FleetPlan,
    write_fleet,
)

PORT_BLOCK_SIZE = 100
FIRST_PORT, LAST_PORT = 20_000, 32_000
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
MAX_WARNINGS_PER_LOG = 5
MAX_WARNING_CHARACTERS = 4000
SHORT_TIMING = {
    "leader_lease_seconds": 0.8,
    "election_timeout_seconds": 1.0,
    "backend_server_lease_seconds": 1.5,
    "worker_lease_seconds": 3.0,
    "readiness_off_seconds": 1.0,
    "longest_stop_seconds": 10.0,
    "heartbeat_seconds": 0.2,
    "silence_seconds": 1.0,
}


class PortBlock:
    """A block of a hundred free ports that no other test takes until it is closed.

    The kernel keeps the claim, a bound datagram socket on the first port, and ends it
    with the process.

    Attributes
    ----------
    first
        The first port.
    """

    def __init__(self) -> None:
        start = FIRST_PORT + os.getpid() * PORT_BLOCK_SIZE % (LAST_PORT - FIRST_PORT)
        later = range(start, LAST_PORT, PORT_BLOCK_SIZE)
        earlier = range(FIRST_PORT, start, PORT_BLOCK_SIZE)
        for self.first in (*later, *earlier):
            self._claim = socket.socket(type=socket.SOCK_DGRAM)
            try:
                self._claim.bind((LOOPBACK, self.first))
            except OSError:
                self._claim.close()
                continue
            if all(map(_is_free, range(self.first, self.first + PORT_BLOCK_SIZE))):
                return
            self._claim.close()
        raise AssertionError("no block of free ports")

    def __enter__(self) -> int:
        return self.first

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Give the ports back."""
        self._claim.close()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) != 0


def wait_until(
    condition: Callable[[], Any],
    description: str,
    timeout: float = START_TIMEOUT_SECONDS,
) -> Any:
    """Poll ``condition`` and return its first true value.

    Raises
    ------
    AssertionError
        If there is none within ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"not within {timeout} s: {description}")


class ProcessFleet:
    """Processes of the program, by name."""

    def __init__(self, folder: Path, plan: FleetPlan) -> None:
        self.folder = folder
        self.instances = write_fleet(folder, plan)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        secret = (folder / "secret").read_text(encoding="utf-8").strip()
        self._operator_headers = {"Authorization": f"Bearer {secret}"}

    def start(self, *arguments: str, name: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "rhubarbfield", *arguments]
        self._processes[name] = subprocess.Popen(command, stderr=log, stdout=log)

    def start_daemon(self, kind: str, instance: str) -> None:
        settings = str(self.instances[instance].settings_file)
        self.start(kind, "--settings", settings, name=f"{kind}-{instance}")

    def start_all(self) -> None:
        for instance in self.instances:
            self.start_daemon("controller", instance)
            self.start_daemon("entry", instance)
        for instance in self.instances:
            self.wait_ready(instance)

    def start_worker(
        self, name: str, domain: str, cores: int = 16, count: int = 1
    ) -> None:
        to = [
            instance.workers
            for instance in self.instances.values()
            if instance.domain == domain
        ]
        arguments = ("--domain", domain, "--cores", str(cores), "--count", str(count))
        self._start_stand_in("worker", name, to, *arguments)

    def start_backend(
        self, name: str, domain: str, slots: int = 4, count: int = 1
    ) -> int:
        port = self._allocate_port() if count == 1 else 0
        to = [
            instance.announcements
            for instance in self.instances.values()
            if instance.domain == domain
        ]
        arguments = ("--port", str(port), "--slots", str(slots), "--count", str(count))
        self._start_stand_in("backend", name, to, *arguments)
        return port

    def _allocate_port(self) -> int:
        first = next(iter(self.instances.values())).port
        in_use = len([name for name in self._processes if name.startswith("s-")])
        return first + PORT_BLOCK_SIZE - 1 - in_use

    def _start_stand_in(
        self, kind: str, name: str, to: list[str], *arguments: str
    ) -> None:
        addresses = [part for one in to for part in ("--to", one)]
        secret = ("--secret_file", str(self.folder / "secret"))
        self.start(
            "stand-in", kind, "--name", name, *secret, *addresses, *arguments, name=name
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self._processes[name].kill()
        self._processes[name].wait()

    def stop(self, name: str, timeout: float = START_TIMEOUT_SECONDS) -> int:
        self._processes[name].terminate()
        return self._processes[name].wait(timeout)

    def get_pid(self, name: str) -> int:
        return self._processes[name].pid

    def find_exit_code(self, name: str) -> int | None:
        """Return the exit code of a process, or None while it runs."""
        return self._processes[name].poll()

    def close(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def read_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def print_warnings(self) -> None:
        """Print the last lines of each log that are above the level ``info``."""
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(encoding="utf-8").splitlines()
            warnings = [line for line in lines if '"level":"info"' not in line]
            for line in warnings[-MAX_WARNINGS_PER_LOG:]:
                print(f"{log.stem}: {line[:MAX_WARNING_CHARACTERS]}", file=sys.stderr)

    def wait_ready(self, instance: str) -> None:
        found = self.instances[instance]
        for url in (f"{found.operators}/-/ready", f"{found.callers}/-/ready"):
            wait_until(lambda url=url: _is_ok(url), f"{url} is ready")

    def query(self, text: str, instance: str | None = None) -> dict[str, Any]:
        """Return the table that answers a query.

        The controllers are tried in turn, or just that of ``instance``.
        """
        instances = (
            [self.instances[instance]] if instance else list(self.instances.values())
        )
        return self._post(instances, "query", {"text": text})

    def list_rows(self, text: str) -> list[dict[str, Any]]:
        table = self.query(text)
        return [dict(zip(table["columns"], r, strict=True)) for r in table["rows"]]

    def command(
        self, number: int, text: str, operator: str = "ana", instance: str | None = None
    ) -> dict[str, Any]:
        instances = (
            [self.instances[instance]] if instance else list(self.instances.values())
        )
        body = {"operator": operator, "number": number, "text": text}
        return self._post(instances, "command", body)

    def _post(
        self, instances: list[FleetInstance], path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        last_reply: Any = None
        for instance in instances:
            try:
                answer = httpx.post(
                    f"{instance.operators}/v1/{path}",
                    json=body,
                    headers=self._operator_headers,
                    timeout=10,
                )
            except httpx.HTTPError as error:
                last_reply = repr(error)
                continue
            last_reply = json.loads(answer.content)
            if answer.is_success:
                return dict(last_reply)
        return {"failure": last_reply, "columns": [], "rows": []}

    def send_request(self, instance: str, **headers: str) -> httpx.Response:
        """Send a request to the service ``board`` through one entry, as a caller."""
        url = f"{self.instances[instance].callers}/services/board/render"
        sent = {"Rhubarbfield-Tenant": "house-a", **headers}
        return httpx.get(url, headers=sent, timeout=10)

    def observe(self, port: int) -> dict[str, Any]:
        """Return the counts of a stand-in backend server."""
        answer = httpx.get(f"http://{LOOPBACK}:{port}/-/observations", timeout=5)
        return dict(answer.json())

    def find_leader(self, domain: str) -> str | None:
        """Return the instance of the latest leader of a domain, by the logs."""
        leading: list[tuple[str, str]] = []
        for name, instance in self.instances.items():
            if instance.domain != domain:
                continue
            log = (self.folder / f"controller-{name}.log").read_bytes()
            for line in log.splitlines():
                if b'"domain-leading' in line or b'"domain-led' in line:
                    event = json.loads(line)
                    if event["event"].startswith("domain-leading"):
                        leading.append((event["at"], name))
        return max(leading)[1] if leading else None


def _is_ok(url: str) -> bool:
    try:
        return httpx.get(url, timeout=2).is_success
    except httpx.HTTPError:
        return False


@contextmanager
def run_fleet(
    domains: dict[str, tuple[str, ...]],
    *,
    diskless: tuple[str, ...] = (),
    timing: dict[str, float] | None = None,
) -> Iterator[ProcessFleet]:
    """Yield a fleet whose daemons are all ready; kill its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder, PortBlock() as first_port:
        plan = FleetPlan(
            domains=domains,
            first_port=first_port,
            diskless=diskless,
            timing=SHORT_TIMING if timing is None else timing,
        )
        fleet = ProcessFleet(Path(folder), plan)
        try:
            fleet.start_all()
            yield fleet
        except BaseException:
            fleet.print_warnings()
            raise
        finally:
            fleet.close()
