"""A soak of a whole deployment as processes, which are disturbed while they run.

``python -m tests.platform.soak --seeds 20`` runs that many soaks and prints what went
wrong. A seed decides what happens when; how far a process has got by then depends on
the machine.
"""

from __future__ import annotations

import logging
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import httpx
import trio
from absl import app, flags

from rhubarbfield.exceptions import EXIT_USAGE
from tests.platform.disturbances import DISTURBANCES, SpoiltDeployment
from tests.platform.programs import Network, pick_network
from tests.platform.runner import StandInRunner
from tests.platform.test_whole_path import CONFIGURATION, JOB

START_SECONDS = 30.0  # how fast they start is tested by tests.platform.starts
RECOVERY_SECONDS = 12.0
COMPLETION_SECONDS = 30.0
STOP_SECONDS = 9.0  # the grace period is 6 s
OPEN_FILES = 128
RUNNERS = 2
CLIENTS = 4
RUNNER_PORT = 17_755
JOB_GAP_SECONDS = 0.4
# A process that has just been started ends by SIGTERM itself.
ENDS_BY_SIGNAL = (0, -signal.SIGKILL, -signal.SIGTERM)
BUSY_DISTURBANCES = 3


class LogPipe:
    """Copies the output of a process to a file, unless it is told to stop."""

    def __init__(self, descriptor: int, path: Path) -> None:
        self._stream = trio.lowlevel.FdStream(descriptor)
        self._path = path
        self.reading = trio.Event()
        self.reading.set()

    async def run(self) -> None:
        """Copy until the process ends or the pipe is closed."""
        try:
            while data := await self._stream.receive_some(65_536):
                with self._path.open("ab") as file:
                    file.write(data)
                await self.reading.wait()
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            pass

    async def close(self) -> None:
        """Close the pipe."""
        await self._stream.aclose()


class SoakDeployment(SpoiltDeployment):
    """A deployment whose processes write to pipes and may open few files."""

    def __init__(self, folder: Path, network: Network, nursery: trio.Nursery) -> None:
        super().__init__(folder, network)
        self.pipes: dict[str, LogPipe] = {}
        self._nursery = nursery

    def start(self, host: str, *, may_form_group: bool = False) -> None:
        """Start the program of a host."""
        is_entry = host in self.network.list_entries()
        path = self.restore_settings(host)
        if may_form_group:
            self.write_settings(host, may_form_group=True)
        reading, writing = os.pipe()
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [
                    *("/bin/sh", "-c", f'ulimit -n {OPEN_FILES} && exec "$@"', "sh"),
                    *(sys.executable, "-m", "rhubarbfield"),
                    "job-entry" if is_entry else "job-controller",
                    *("--settings", path),
                ],
                stdout=writing,
                stderr=log,
                env={**os.environ, "PYTHONPATH": ":".join(sys.path)},
            )
        os.close(writing)
        pipe = self.pipes[host] = LogPipe(reading, self._folder / f"{host}.log")
        self._nursery.start_soon(pipe.run)

    def _record_end(self, host: str, code: int) -> None:
        super()._record_end(host, code)
        # A process that is started while its settings are spoilt refuses them.
        if self.ends and self.ends[-1].code == EXIT_USAGE:
            self.ends.pop()

    async def end_all(self) -> list[str]:
        """Stop all processes as planned; return what went wrong."""
        self._stopping = True
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_SECONDS):
            while any(each.poll() is None for each in self._processes.values()):
                await trio.sleep(0.05)
        return [
            f"{host} stopped with {process.returncode}"
            for host, process in self._processes.items()
            if process.returncode not in ENDS_BY_SIGNAL
        ]


class WatchedRunner(StandInRunner):
    """A runner that notes tasks which run on another one at the same time."""

    def __init__(self, host: str, name: str, others: list[WatchedRunner]) -> None:
        super().__init__(host, RUNNER_PORT, name)
        self._others = others
        self.doubles: list[str] = []

    def _start(self, body: dict[str, Any]) -> Any:
        task = body["Task"]
        for other in self._others:
            run = other.active.get(task)
            if other is not self and run and run["ends"] > trio.current_time():
                self.doubles.append(f"{task} runs on {self.name} and {other.name}")
        return super()._start(body)


class Soak:
    """One soak.

    Parameters
    ----------
    folder, network, rng
        Where it runs, and the source of what happens.
    """

    def __init__(self, folder: Path, network: Network, rng: random.Random) -> None:
        self._folder = folder
        self.network = network
        self.random = rng
        self.accepted: list[str] = []
        self.odd_jobs: list[str] = []
        self.faults: list[str] = []
        self.happened: list[str] = []

    async def run(self, kinds: Sequence[str], seconds: float) -> list[str]:
        """Disturb a deployment for some seconds; return what went wrong."""
        async with trio.open_nursery() as nursery:
            self.deployment = SoakDeployment(self._folder, self.network, nursery)
            try:
                await self._run(nursery, kinds, seconds)
            finally:
                self.deployment.stop()
            nursery.cancel_scope.cancel()
        return self.faults

    async def _run(
        self, nursery: trio.Nursery, kinds: Sequence[str], seconds: float
    ) -> None:
        runners: list[WatchedRunner] = []
        controls = [
            f"{host}:{self.network.control_port}"
            for host in self.network.list_controllers()
        ]
        for host in self.network.list_hosts():
            self.deployment.start(host, may_form_group=True)
        nursery.start_soon(self.deployment.watch)
        if not await self._within(START_SECONDS, self.deployment.wait_ready):
            self.faults.append("not up")
            return
        await self._put_configuration(controls)
        for number in range(RUNNERS):
            host = f"{self.network.prefix}.{51 + number}"
            runners.append(WatchedRunner(host, f"i-{number}", runners))
            await nursery.start(runners[-1].run, controls)
        async with trio.open_nursery() as clients:
            for number in range(CLIENTS):
                clients.start_soon(self._submit_jobs, number)
            await self._disturb(kinds, seconds)
            if not await self._within(RECOVERY_SECONDS, self._recover):
                self.faults.append(f"not serving after {RECOVERY_SECONDS} s")
            clients.cancel_scope.cancel()
        missing = await self._find_unfinished()
        if missing:
            self.faults.append(f"{len(missing)} of {len(self.accepted)}: {missing[:3]}")
        for runner in runners:
            self.faults += runner.doubles
        self.faults += [
            f"{end.host} ended with {end.code}: {end.error}"
            for end in self.deployment.ends
        ]
        self.faults += await self.deployment.end_all()

    async def _within(self, seconds: float, run: Any) -> bool:
        with trio.move_on_after(seconds):
            await run()
            return True
        return False

    async def _disturb(self, kinds: Sequence[str], seconds: float) -> None:
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            for _ in range(BUSY_DISTURBANCES):
                nursery.start_soon(self._disturb_until, until, kinds)

    async def _disturb_until(self, until: float, kinds: Sequence[str]) -> None:
        while trio.current_time() < until:
            name = self.random.choice(kinds)
            self.happened.append(name)
            await DISTURBANCES[name](self)  # type: ignore[arg-type]
            await trio.sleep(self.random.uniform(0, 0.5))

    async def _recover(self) -> None:
        await self.deployment.wait_ready()
        before = len(self.accepted)
        async with httpx.AsyncClient(timeout=4) as client:
            # They may be more work than the runners can do.
            for job in self.odd_jobs:
                entry = self.random.choice(self.network.list_entries())
                await self._call(client, "DELETE", entry, job, None)
            while True:
                new = self.accepted[before:]
                for job in new:
                    if await self._read_state(client, job) == "completed":
                        return
                await trio.sleep(0.1)

    async def _put_configuration(self, controls: list[str]) -> None:
        async with httpx.AsyncClient(timeout=4, follow_redirects=True) as client:
            while True:
                for control in controls:
                    url = f"http://{control}/config"
                    response = await client.put(url, json=CONFIGURATION)
                    if response.is_success:
                        return
                await trio.sleep(0.2)

    async def _submit_jobs(self, number: int) -> None:
        """Submit jobs over connections that are kept while they work."""
        async with httpx.AsyncClient(timeout=4) as client:
            count = 0
            while True:
                count += 1
                job = f"{number + 1:08x}{count:08x}"
                entry = self.random.choice(self.network.list_entries())
                response = await self._call(client, "POST", entry, job, JOB)
                if response is not None and response.is_success:
                    self.accepted.append(job)
                await trio.sleep(JOB_GAP_SECONDS)

    async def _call(
        self, client: httpx.AsyncClient, method: str, entry: str, job: str, body: Any
    ) -> httpx.Response | None:
        url = f"http://{entry}:{self.network.callers_port}/p/{job}"
        headers = {"Host": "h.example", "X-Deadline-Ms": "3000"}
        try:
            return await client.request(method, url, headers=headers, json=body)
        except httpx.HTTPError:
            return None

    async def _read_state(self, client: httpx.AsyncClient, job: str) -> str:
        for entry in self.network.list_entries():
            response = await self._call(client, "GET", entry, job, None)
            if response is not None and response.is_success:
                return str(response.json()["State"])
            if response is not None and response.status_code == httpx.codes.GONE:
                return "gone"
        return "unknown"

    async def _find_unfinished(self) -> list[str]:
        unfinished = {job: "unread" for job in self.accepted}
        async with httpx.AsyncClient(timeout=4) as client:
            with trio.move_on_after(COMPLETION_SECONDS):
                while unfinished:
                    for job in list(unfinished):
                        unfinished[job] = await self._read_state(client, job)
                        if unfinished[job] == "completed":
                            del unfinished[job]
                    await trio.sleep(0.2)
        return [f"{job} {state}" for job, state in unfinished.items()]

    def stop_reading(self, host: str, *, closed: bool) -> None:
        """Let nobody read the log of a host's process."""
        pipe = self.deployment.pipes[host]
        if closed:
            trio.lowlevel.spawn_system_task(pipe.close)
        else:
            pipe.reading = trio.Event()

    def read_on(self, host: str) -> None:
        """Read the log of a host's process again, if it is not closed."""
        self.deployment.pipes[host].reading.set()


async def run_seed(
    seed: int, seconds: float, logs: Path | None = None
) -> tuple[list[str], list[str]]:
    """Run the soak of a seed; return its disturbances and what went wrong."""
    rng = random.Random(seed)
    kinds = rng.sample(sorted(DISTURBANCES), rng.randint(3, len(DISTURBANCES)))
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), pick_network(seed), rng)
        faults = await soak.run(kinds, seconds)
        if faults and logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                (logs / f"{seed}-{log.name}").write_bytes(log.read_bytes())
    return [f"{len(soak.accepted)} jobs", *sorted(set(soak.happened))], faults


def main(_: list[str]) -> None:
    """Run the soaks of the seeds that the flags name."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    values = flags.FLAGS
    failed = 0
    for seed in range(values.first, values.first + values.seeds):
        logs = Path(values.logs) if values.logs else None
        happened, faults = trio.run(run_seed, seed, values.seconds, logs)
        failed += bool(faults)
        text = "; ".join(faults) or "well"
        print(f"seed {seed} ({', '.join(happened)}): {text}", flush=True)
    print(f"{values.seeds - failed} of {values.seeds} soaks went well")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 20, "Number of soaks.")
    flags.DEFINE_integer("first", 1, "First seed.")
    flags.DEFINE_float("seconds", 20.0, "Duration of the disturbances of each.")
    flags.DEFINE_string("logs", "", "Folder for the logs of soaks that went wrong.")
    app.run(main)
