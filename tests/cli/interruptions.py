"""Programs of ours as processes that get signals at chosen moments.

A signal is sent by the process to itself, so that the moment doesn't depend on the
machine: while a module is imported, or as the interpreter ends.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path
from typing import IO

from rhubarbfield.testing.fleet import FleetPlan, write_fleet
from tests.platform.programs import Deployment, pick_network
from tests.processes.fleet import PortBlock

TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.02
SECRET = "s" * 40
HOOK = '''
import os, sys

LIGHT = {"rhubarbfield", "rhubarbfield.__main__", "rhubarbfield.earlysignals"}
AT, NUMBER = os.environ["SIGNAL_AT"], int(os.environ["SIGNAL_NUMBER"])


class Sender:
    """Sends a signal to its own process."""

    def find_spec(self, name, path=None, target=None):
        is_ours = "rhubarbfield" in sys.modules and name not in LIGHT
        library = name.partition(".")[0] not in sys.stdlib_module_names
        if AT == name or AT == "each import" and is_ours and library:
            os.kill(os.getpid(), NUMBER)

    def __del__(self, kill=os.kill, pid=os.getpid()):
        if AT == "end":
            kill(pid, NUMBER)


if AT == "end":
    sender = Sender()
else:
    sys.meta_path.insert(0, Sender())
'''


class Programs:
    """Programs with settings, logs and the hook that sends signals.

    Parameters
    ----------
    folder
        An empty folder.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        network = pick_network()
        deployment = Deployment(folder, network)
        self._ports = PortBlock()
        plan = FleetPlan(domains={"north": ("a1",)}, first_port=self._ports.first)
        instance = write_fleet(folder, plan)["a1"].settings_file
        controller, entry = network.list_controllers()[0], network.list_entries()[0]
        self.data_folder = folder / controller
        secret = folder / "stand-in-secret"
        secret.write_text(SECRET, encoding="utf-8")
        stand_in = ["--name", "x", "--secret_file", str(secret), "--to", "127.0.0.1:1"]
        settings = "--settings"
        self.arguments = {
            "job-entry": [
                settings,
                str(deployment.write_settings(entry, may_form_group=True)),
            ],
            "job-controller": [
                settings,
                str(deployment.write_settings(controller, may_form_group=True)),
            ],
            "entry": [settings, str(instance)],
            "controller": [settings, str(instance)],
            "stand-in": ["worker", *stand_in],
        }
        hook = folder / "hook"
        hook.mkdir()
        (hook / "sitecustomize.py").write_text(HOOK, encoding="utf-8")
        self._path = ":".join([str(hook), *sys.path])

    def close(self) -> None:
        """Give the ports of the programs back."""
        self._ports.close()

    def start(
        self, *arguments: str, number: int = 0, at: str = "", stdout: IO[bytes] | None
    ) -> subprocess.Popen[bytes]:
        """Start a program that gets a signal at a moment: a module, or ``end``."""
        return subprocess.Popen(
            [sys.executable, "-m", "rhubarbfield", *arguments],
            stdout=stdout,
            stderr=subprocess.STDOUT,
            env={
                **os.environ,
                "PYTHONPATH": self._path,
                "SIGNAL_AT": at,
                "SIGNAL_NUMBER": str(number),
            },
        )

    def run(self, *arguments: str, number: int, at: str) -> tuple[int, str]:
        """Run a program to its end; return its exit code and what it wrote."""
        log = self.folder / "log"
        with log.open("wb") as file:
            process = self.start(*arguments, number=number, at=at, stdout=file)
        try:
            code = process.wait(TIMEOUT_SECONDS)
        finally:
            process.kill()
            process.wait()
        return code, log.read_text(encoding="utf-8")

    def run_until(
        self, seen: str, sent: int, *arguments: str, number: int = 0, at: str = ""
    ) -> tuple[int, str]:
        """Run a daemon, send a signal once its log has ``seen``, wait for its end."""
        log = self.folder / "log"
        with log.open("wb") as file:
            process = self.start(*arguments, number=number, at=at, stdout=file)
        try:
            deadline = time.monotonic() + TIMEOUT_SECONDS
            while seen not in log.read_text(encoding="utf-8"):
                if process.poll() is not None or time.monotonic() > deadline:
                    break
                time.sleep(POLL_SECONDS)
            else:
                process.send_signal(sent)
            code = process.wait(TIMEOUT_SECONDS)
        finally:
            process.kill()
            process.wait()
        return code, log.read_text(encoding="utf-8")
