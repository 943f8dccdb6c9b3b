"""Tests of settings files that are cut off, absent or too large for a moment."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import yaml

from rhubarbfield.exceptions import UsageError
from rhubarbfield.scheduling.deployment import (
    DeploymentSettings,
    load_deployment_settings,
)
from rhubarbfield.scheduling.serving import SettingsFile
from tests.platform.programs import Deployment, pick_network

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "settings.yaml"
VALUES = {
    "NodeName": "front-avellaneda-1",
    "Zone": "avellaneda",
    "Ip": "10.1.0.13",
    "InternalPorts.0": "7720",
    "BindAddrs.Front": "10.1.0.13:8161",
    "BindAddrs.ReadyAddr": "10.1.0.13:8167",
    "BindAddrs.ControlAddr": "",
    "Bootstrap|json": "true",
    "DataDir": "/data",
    "FaultTolerance.Machines": "1",
    "HeartbeatMs": "1100",
    "Limits.MemoryMb": "300",
    "Limits.DiskMb": "0",
    "Bounds.MaxHoldMs": "10000",
}
SEEDS = '"10.1.0.16:8166","10.2.0.32:8166","10.3.0.38:8166"'
LARGE_BYTES = 10_000_000
START_SECONDS = 15.0


def render_template() -> bytes:
    """Return the settings of an entry, as the platform renders them."""
    text = TEMPLATE.read_text(encoding="utf-8")
    text = re.sub(r"\{\{#SeedNodes\}\}.*\{\{/SeedNodes\}\}", SEEDS, text)
    return re.sub(r"\{\{(.+?)\}\}", lambda match: VALUES[match[1]], text).encode()


class AwaitedSettingsTest(unittest.TestCase):
    def test_stop_while_settings_are_awaited_ends_a_daemon_at_once(self) -> None:
        for program in ("job-entry", "job-controller", "entry", "controller"):
            command = [sys.executable, "-m", "rhubarbfield", program]
            with (
                self.subTest(program),
                subprocess.Popen(
                    [*command, "--settings", "missing.yaml"],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.PIPE,
                    text=True,
                ) as process,
            ):
                assert process.stderr is not None
                self.assertIn("settings-awaited", process.stderr.readline())
                process.terminate()
                rest = process.stderr.read()
                self.assertEqual(process.wait(), 0, rest)
                self.assertIn("stopped-while-starting", rest)


class CutSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.yaml"
        self.rendered = render_template()
        self.path.write_bytes(self.rendered)
        self.settings = load_deployment_settings(self.path)
        self.applied: list[DeploymentSettings] = []
        self.file = SettingsFile(self.path, self.settings, self.applied.append)

    def list_prefixes(self) -> list[bytes]:
        """Return all beginnings of the file that lack more than the line's end."""
        content = self.rendered.rstrip()
        return [content[:length] for length in range(len(content))]

    def test_no_beginning_of_a_settings_file_is_accepted_at_a_start(self) -> None:
        for prefix in self.list_prefixes():
            self.path.write_bytes(prefix)
            with self.subTest(end=prefix[-20:]), self.assertRaises(UsageError):
                load_deployment_settings(self.path)

    def test_no_beginning_of_a_settings_file_is_applied_by_a_reload(self) -> None:
        for prefix in self.list_prefixes():
            self.path.write_bytes(prefix)
            self.file.reload()
        self.assertEqual(self.applied, [])

    def test_file_that_cannot_be_settings_is_refused_without_delay(self) -> None:
        for content in (
            b"\0" * 100,
            b"\xff\xfe",
            self.rendered + b"\0",
            self.rendered + b"# long\n" * (LARGE_BYTES // 7),
            b"- " * 100_000,
        ):
            self.path.write_bytes(content)
            started_at = time.monotonic()
            with self.subTest(start=content[:10]):
                self.file.reload()
                self.assertLess(time.monotonic() - started_at, 1)
        self.assertEqual(self.applied, [])

    def test_file_that_is_replaced_by_a_folder_is_refused(self) -> None:
        self.path.unlink()
        self.path.mkdir()
        self.file.reload()
        self.assertEqual(self.applied, [])


class SettingsAtStartTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        network = pick_network()
        described = Deployment(self.folder, network).describe(
            network.list_entries()[0], may_form_group=True
        )
        self.content = yaml.safe_dump(described)
        self.path = self.folder / "settings.yaml"

    def start(self) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "rhubarbfield",
                "job-entry",
                "--settings",
                self.path,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={"PYTHONPATH": ":".join(sys.path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close if process.stdout else str)
        return process

    def test_program_waits_for_settings_that_are_half_written_at_its_start(
        self,
    ) -> None:
        self.path.write_text(self.content[: len(self.content) // 2])
        process = self.start()
        assert process.stdout is not None
        awaited = json.loads(process.stdout.readline())
        self.assertEqual(awaited["event"], "settings-awaited")
        self.path.write_text(self.content)
        starting = json.loads(process.stdout.readline())
        self.assertEqual(starting["event"], "daemon-starting")

    def test_program_whose_settings_stay_invalid_ends_with_2(self) -> None:
        process = self.start()
        output, _ = process.communicate(timeout=START_SECONDS)
        self.assertEqual(process.returncode, 2)
        self.assertIn("settings-awaited", output)
        self.assertIn("can't be read", output.splitlines()[-1])


if __name__ == "__main__":
    unittest.main()
