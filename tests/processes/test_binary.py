"""Tests of the shipped single-file binary."""

from __future__ import annotations

import os
import subprocess
import tempfile
import time
import unittest
from pathlib import Path

from rhubarbfield import __version__
from rhubarbfield.testing.fleet import FleetPlan, write_fleet
from tests.processes.fleet import PortBlock, wait_until

ROOT = Path(__file__).resolve().parent.parent.parent
BUILD_TIMEOUT_SECONDS = 300
OBSERVATION_SECONDS = 2.0


def list_children(pid: int) -> list[str]:
    files = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for file in files for child in file.read_text().split()]


class BinaryTest(unittest.TestCase):
    def test_daemons_start_no_child_processes(self) -> None:
        with tempfile.TemporaryDirectory() as name, PortBlock() as first_port:
            folder = Path(name)
            binary = folder / "rhubarbfield"
            built = subprocess.run(
                ["bash", str(ROOT / "scripts" / "build"), str(binary)],
                capture_output=True,
                text=True,
                timeout=BUILD_TIMEOUT_SECONDS,
                check=False,
                env=dict(os.environ, SHIV_ROOT=str(folder / "unpacked")),
            )
            self.assertIn(f"rhubarbfield {__version__}", built.stdout, built.stderr)
            self.check_daemons(folder, binary, first_port)

    def check_daemons(self, folder: Path, binary: Path, first_port: int) -> None:
        plan = FleetPlan(domains={"north": ("a1",)}, first_port=first_port)
        instance = write_fleet(folder, plan)["a1"]
        environment = dict(os.environ, SHIV_ROOT=str(folder / "unpacked"))
        for daemon in ("controller", "entry"):
            command = [str(binary), daemon, "--settings", str(instance.settings_file)]
            log = (folder / daemon).open("wb")
            process = subprocess.Popen(command, stderr=log, env=environment)
            try:
                wait_until(
                    lambda d=daemon: b"-serving" in (folder / d).read_bytes(),
                    f"the {daemon} serves",
                )
                deadline = time.monotonic() + OBSERVATION_SECONDS
                while time.monotonic() < deadline:
                    self.assertEqual(list_children(process.pid), [])
                    time.sleep(0.05)
            finally:
                process.terminate()
                self.assertEqual(process.wait(30), 0)
                log.close()
