"""End-to-end test of entry and controller processes with a stand-in runner."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import httpx
import trio
import yaml
from prometheus_client.parser import text_string_to_metric_families

from tests.platform.runner import StandInRunner

# Addresses of this process alone, as other checkouts may run the test meanwhile.
NETWORK = f"127.{1 + os.getpid() // 254 % 254}.{1 + os.getpid() % 254}"
CONTROLLERS = tuple(f"{NETWORK}.{number}" for number in (31, 32, 33))
ENTRY = f"{NETWORK}.34"
RUNNER = f"{NETWORK}.35"
PEER_PORT, CONTROL_PORT, CALLERS_PORT, READY_PORT = 17751, 17752, 17753, 17754
METRICS_PORT = 17756
CONTROLS = [f"{host}:{CONTROL_PORT}" for host in CONTROLLERS]
TIMEOUT_SECONDS = 60.0
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r",
            "Hostname": "h.example",
            "PathPrefix": "/p/",
            "TimeoutMs": 3000,
            "Service": "s",
            "MaxAttempts": 2,
            "Stretch": 2.0,
        }
    ],
    "Services": [{"Name": "s", "EnforcesCapacity": True}],
    "Limits": {},
}
JOB = {
    "Spec": "x",
    "Steps": [
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 300},
        {"Count": 1, "Cpu": 1000, "MemMb": 100, "StartAfter": [0]},
    ],
}


class Programs:
    """Processes of controllers and entries on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, program: str, host: str, *, may_form_group: bool = True) -> None:
        is_entry = program == "job-entry"
        settings = {
            "instance": f"{program}-{host}",
            "failure_domain": "z1",
            "host": host,
            "peer_port": PEER_PORT,
            "callers": f"{host}:{CALLERS_PORT}" if is_entry else "",
            "readiness": f"{host}:{READY_PORT}" if is_entry else "",
            "control": "" if is_entry else f"{host}:{CONTROL_PORT}",
            "metrics": f"{host}:{METRICS_PORT}",
            "seeds": CONTROLS,
            "may_form_group": may_form_group,
            "data_folder": "" if is_entry else str(self._folder / host),
            "workers": {"report_ms": 500, "longest_lease_ms": 6000},
        }
        path = self._folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        with (self._folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-m", "rhubarbfield", program, "--settings", path],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": ":".join(sys.path)},
            )

    def kill(self, host: str) -> None:
        process = self.processes.pop(host)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self, host: str) -> int:
        process = self.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=20)

    def kill_all(self) -> None:
        for host in list(self.processes):
            self.kill(host)

    def read_log(self, host: str) -> str:
        return (self._folder / f"{host}.log").read_text(encoding="utf-8")


async def put_configuration(client: httpx.AsyncClient) -> None:
    while True:
        for control in CONTROLS:
            try:
                response = await client.put(
                    f"http://{control}/config", json=CONFIGURATION
                )
            except httpx.HTTPError:
                continue
            if response.status_code == httpx.codes.OK:
                return
        await trio.sleep(0.2)


async def call_job(
    client: httpx.AsyncClient, method: str, job: str, body: object = None
) -> httpx.Response:
    """Repeat a call until the entry gives a definite answer."""
    while True:
        try:
            response = await client.request(
                method,
                f"http://{ENTRY}:{CALLERS_PORT}/p/{job}",
                headers={"Host": "h.example", "X-Deadline-Ms": "3000"},
                json=body,
            )
        except httpx.HTTPError:
            await trio.sleep(0.2)
            continue
        if response.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
            return response
        await trio.sleep(0.3)


async def run_job(client: httpx.AsyncClient, job: str) -> None:
    response = await call_job(client, "POST", job, JOB)
    assert response.status_code == httpx.codes.OK, response.text
    while True:
        state = (await call_job(client, "GET", job)).json()["State"]
        if state == "completed":
            return
        await trio.sleep(0.2)


class Samples:
    """Samples of a metrics page."""

    def __init__(self, text: str) -> None:
        self._samples = [
            sample
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        ]

    def __getitem__(self, key: tuple[str, dict[str, str]]) -> float:
        name, labels = key
        return sum(
            sample.value
            for sample in self._samples
            if sample.name == name and sample.labels == labels
        )


async def read_metrics(client: httpx.AsyncClient, host: str) -> Samples:
    response = await client.get(f"http://{host}:{METRICS_PORT}/metrics")
    assert response.status_code == httpx.codes.OK, response.text
    return Samples(response.text)


async def find_leader(client: httpx.AsyncClient) -> str:
    while True:
        for host in CONTROLLERS:
            try:
                response = await client.get(
                    f"http://{host}:{CONTROL_PORT}/config", follow_redirects=False
                )
            except httpx.HTTPError:
                continue
            if response.status_code == httpx.codes.OK:
                return host
        await trio.sleep(0.2)


class WholePathTest(unittest.TestCase):
    def test_jobs_complete_when_leaders_are_killed_or_stopped(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            programs = Programs(Path(folder))
            try:
                trio.run(self._run_scenario, programs)
            except BaseException:
                for host in (*CONTROLLERS, ENTRY):
                    print(programs.read_log(host)[-3000:])
                raise
            finally:
                programs.kill_all()

    async def _run_scenario(self, programs: Programs) -> None:
        for host in CONTROLLERS:
            programs.start("job-controller", host)
        programs.start("job-entry", ENTRY)
        runner = StandInRunner(RUNNER, 17755)
        timeout = httpx.Timeout(4.0)
        async with (
            httpx.AsyncClient(follow_redirects=True, timeout=timeout) as client,
            trio.open_nursery() as nursery,
        ):
            with trio.fail_after(TIMEOUT_SECONDS):
                await put_configuration(client)
                await nursery.start(runner.run, CONTROLS)
                await run_job(client, "00000000000000a1")
                await self._check_answers(client)
                await self._check_heartbeats(runner)
                await self._check_metrics(client)
                killed = await find_leader(client)
                programs.kill(killed)
                await run_job(client, "00000000000000a2")
                programs.start("job-controller", killed, may_form_group=False)
                stopped = await find_leader(client)
                self.assertEqual(
                    await trio.to_thread.run_sync(programs.stop, stopped), 0
                )
                await run_job(client, "00000000000000a3")
            nursery.cancel_scope.cancel()
        self.assertEqual(len(runner.started), 9)
        self.assertEqual(len(set(runner.started)), 9)

    async def _check_metrics(self, client: httpx.AsyncClient) -> None:
        """Check the metrics after the first job."""
        entry = await read_metrics(client, ENTRY)
        submitted = {"verb": "submit", "outcome": "accepted"}
        self.assertEqual(
            entry["rhubarbfield_scheduling_request_seconds_count", submitted], 2
        )
        leader = await read_metrics(client, await find_leader(client))
        for program in (entry, leader):
            self.assertGreater(program["rhubarbfield_loop_pass_seconds_count", {}], 0)
        for name, labels, expected in (
            ("runs_placed_total", {}, 3),
            ("runs_ended_total", {"end": "done"}, 3),
            ("jobs_total", {"decision": "completed"}, 1),
            ("first_start_seconds_count", {}, 1),
            ("leading", {}, 1),
            ("workers", {}, 1),
            ("configuration_version", {}, CONFIGURATION["Version"]),
        ):
            found = leader[f"rhubarbfield_scheduling_{name}", labels]
            self.assertEqual(found, expected, name)
        routed = "rhubarbfield_scheduling_worker_calls_routed_total"
        self.assertGreater(leader[routed, {"route": "relayed"}], 0)

    async def _check_heartbeats(self, runner: StandInRunner) -> None:
        """Check that each controller acknowledges heartbeats itself."""
        async with httpx.AsyncClient(follow_redirects=False) as client:
            for control in CONTROLS:
                while not await runner.send_heartbeat(client, [control]):
                    await trio.sleep(0.2)

    async def _check_answers(self, client: httpx.AsyncClient) -> None:
        unknown = await call_job(client, "GET", "00000000000000ff")
        self.assertEqual(unknown.status_code, httpx.codes.GONE)
        again = await call_job(client, "POST", "00000000000000a1", JOB)
        self.assertEqual(again.status_code, httpx.codes.OK)
        bad = await call_job(client, "POST", "00000000000000a9", {"Spec": 1})
        self.assertEqual(bad.status_code, httpx.codes.BAD_REQUEST)
        waiting = await call_job(client, "GET", "")
        self.assertEqual(waiting.json(), {"WaitingCount": 0})
        ready = await client.get(f"http://{ENTRY}:{READY_PORT}/readyz")
        self.assertEqual(ready.status_code, httpx.codes.OK)


if __name__ == "__main__":
    unittest.main()
