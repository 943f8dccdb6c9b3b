"""A fleet of real processes, and an outside view of what it does."""

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
    FleetPlan,
    InstancePlace,
    write_fleet,
)

PORT_BLOCK = 100
FIRST_BLOCK, LAST_BLOCK = 20_000, 32_000
START_LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.05
MOST_COMPLAINTS = 5
LONGEST_COMPLAINT = 4000
QUICK_TIMING = {
    "leader_lease_seconds": 0.8,
    "election_timeout_seconds": 1.0,
    "backend_server_lease_seconds": 1.5,
    "worker_lease_seconds": 3.0,
    "readiness_off_seconds": 1.0,
    "longest_stop_seconds": 10.0,
    "heartbeat_seconds": 0.2,
    "silence_seconds": 1.0,
}


def find_port_block() -> int:
    """Return the first of a hundred ports of which none is in use."""
    start = FIRST_BLOCK + os.getpid() * PORT_BLOCK % (LAST_BLOCK - FIRST_BLOCK)
    for first in range(start, LAST_BLOCK, PORT_BLOCK):
        if all(_is_free(port) for port in range(first, first + PORT_BLOCK)):
            return first
    raise AssertionError("no block of free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) != 0


def wait_until(
    holds: Callable[[], Any], what: str, limit: float = START_LIMIT_SECONDS
) -> Any:
    """Return the first true value of ``holds``."""
    ends = time.monotonic() + limit
    while time.monotonic() < ends:
        value = holds()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"not within {limit} s: {what}")


class ProcessFleet:
    """Processes of the program, started and ended by pid."""

    def __init__(self, folder: Path, plan: FleetPlan) -> None:
        self.folder = folder
        self.places = write_fleet(folder, plan)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        secret = (folder / "secret").read_text(encoding="utf-8").strip()
        self._operators = {"Authorization": f"Bearer {secret}"}

    def start(self, *arguments: str, name: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "rhubarbfield", *arguments]
        self._processes[name] = subprocess.Popen(command, stderr=log, stdout=log)

    def start_daemon(self, kind: str, instance: str) -> None:
        settings = str(self.places[instance].settings_file)
        self.start(kind, "--settings", settings, name=f"{kind}-{instance}")

    def start_all(self) -> None:
        for instance in self.places:
            self.start_daemon("controller", instance)
            self.start_daemon("entry", instance)
        for instance in self.places:
            self.wait_ready(instance)

    def start_worker(
        self, name: str, domain: str, cores: int = 16, count: int = 1
    ) -> None:
        to = [p.workers for p in self.places.values() if p.domain == domain]
        arguments = ("--domain", domain, "--cores", str(cores), "--count", str(count))
        self._start_stand_in("worker", name, to, *arguments)

    def start_backend(
        self, name: str, domain: str, slots: int = 4, count: int = 1
    ) -> int:
        port = self._take_port() if count == 1 else 0
        to = [p.announcements for p in self.places.values() if p.domain == domain]
        arguments = ("--port", str(port), "--slots", str(slots), "--count", str(count))
        self._start_stand_in("backend", name, to, *arguments)
        return port

    def _take_port(self) -> int:
        first = next(iter(self.places.values())).port
        used = len([name for name in self._processes if name.startswith("s-")])
        return first + PORT_BLOCK - 1 - used

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

    def stop(self, name: str, limit: float = START_LIMIT_SECONDS) -> int:
        self._processes[name].terminate()
        return self._processes[name].wait(limit)

    def get_pid(self, name: str) -> int:
        return self._processes[name].pid

    def close(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def print_complaints(self) -> None:
        """Show what the processes logged above the level of information."""
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(encoding="utf-8").splitlines()
            loud = [line for line in lines if '"level":"info"' not in line]
            for line in loud[-MOST_COMPLAINTS:]:
                print(f"{log.stem}: {line[:LONGEST_COMPLAINT]}", file=sys.stderr)

    def wait_ready(self, instance: str) -> None:
        place = self.places[instance]
        for url in (f"{place.operators}/-/ready", f"{place.callers}/-/ready"):
            wait_until(lambda url=url: _is_ok(url), f"{url} is ready")

    def query(self, text: str, instance: str | None = None) -> dict[str, Any]:
        """Return the table that answers, from any controller that does."""
        places = [self.places[instance]] if instance else list(self.places.values())
        return self._post(places, "query", {"text": text})

    def list_rows(self, text: str) -> list[dict[str, Any]]:
        table = self.query(text)
        return [dict(zip(table["columns"], r, strict=True)) for r in table["rows"]]

    def command(
        self, number: int, text: str, operator: str = "ana", instance: str | None = None
    ) -> dict[str, Any]:
        places = [self.places[instance]] if instance else list(self.places.values())
        body = {"operator": operator, "number": number, "text": text}
        return self._post(places, "command", body)

    def _post(
        self, places: list[InstancePlace], what: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        last: Any = None
        for place in places:
            try:
                answer = httpx.post(
                    f"{place.operators}/v1/{what}",
                    json=body,
                    headers=self._operators,
                    timeout=10,
                )
            except httpx.HTTPError as error:
                last = repr(error)
                continue
            last = json.loads(answer.content)
            if answer.is_success:
                return dict(last)
        return {"failure": last, "columns": [], "rows": []}

    def ask(self, instance: str, **headers: str) -> httpx.Response:
        """Ask the service through one entry, as a caller would."""
        url = f"{self.places[instance].callers}/services/board/render"
        sent = {"Rhubarbfield-Tenant": "house-a", **headers}
        return httpx.get(url, headers=sent, timeout=10)

    def observe(self, port: int) -> dict[str, Any]:
        """Return what a stand-in backend server counted for itself."""
        answer = httpx.get(f"http://{LOOPBACK}:{port}/-/observations", timeout=5)
        return dict(answer.json())

    def find_leader(self, domain: str) -> str | None:
        """Return the instance whose controller logged last that it leads."""
        leading: list[tuple[str, str]] = []
        for name, place in self.places.items():
            if place.domain != domain:
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
    """Yield a fleet whose processes all serve; end them afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        plan = FleetPlan(
            domains=domains,
            first_port=find_port_block(),
            diskless=diskless,
            timing=QUICK_TIMING if timing is None else timing,
        )
        fleet = ProcessFleet(Path(folder), plan)
        try:
            fleet.start_all()
            yield fleet
        except BaseException:
            fleet.print_complaints()
            raise
        finally:
            fleet.close()
