"""Builds of a deployment beside programs that are starting."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILDS = 5


class Checkout:
    """A checkout with the script and a small package, its libraries installed."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        for name in ("scripts", "deploy", "src/rhubarbfield/part", "target/deps"):
            (folder / name).mkdir(parents=True)
        shutil.copy(ROOT / "scripts/build-deployment", folder / "scripts")
        requirements = folder / "deploy/requirements.txt"
        requirements.touch()
        os.utime(requirements, (0, 0))  # older than the libraries that it lists
        (folder / "target/deps/.installed").touch()
        self.write("first")

    def write(self, text: str) -> None:
        """Write a version of the package's module."""
        module = self._folder / "src/rhubarbfield/part/module.py"
        module.write_text(f"VERSION = {text!r}\n", encoding="utf-8")

    def build(self) -> None:
        """Run the script."""
        subprocess.run([self._folder / "scripts/build-deployment"], check=True)

    def read(self) -> str:
        """Return the installed module."""
        module = self._folder / "target/deps/rhubarbfield/part/module.py"
        return module.read_text(encoding="utf-8")


class BuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.checkout = Checkout(self.folder)

    def test_build_takes_no_module_from_programs_that_start(self) -> None:
        self.checkout.build()
        missing: list[str] = []
        stop = threading.Event()

        def read_repeatedly() -> None:
            while not stop.is_set():
                try:
                    self.checkout.read()
                except FileNotFoundError as error:
                    missing.append(str(error))

        reader = threading.Thread(target=read_repeatedly)
        reader.start()
        try:
            for number in range(BUILDS):
                self.checkout.build()
                self.checkout.write(f"version {number}")
                self.checkout.build()
        finally:
            stop.set()
            reader.join()
        self.assertEqual(missing, [])
        self.assertIn(f"version {BUILDS - 1}", self.checkout.read())

    def test_build_replaces_a_package_that_was_copied_in_place(self) -> None:
        old = self.folder / "target/deps/rhubarbfield/part"
        old.mkdir(parents=True)
        (old / "module.py").write_text("VERSION = 'old'\n", encoding="utf-8")
        self.checkout.build()
        self.assertIn("first", self.checkout.read())

    def test_program_imports_the_version_that_it_was_started_with(self) -> None:
        source = ROOT / "src/rhubarbfield"
        shutil.copytree(source, self.folder / "src/rhubarbfield", dirs_exist_ok=True)
        self.checkout.build()
        program = (
            "import sys, rhubarbfield; print(flush=True); sys.stdin.readline();"
            "import rhubarbfield.part.module as module; print(module.VERSION)"
        )
        with subprocess.Popen(
            [sys.executable, "-c", program],
            env={"PYTHONPATH": str(self.folder / "target/deps")},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            assert process.stdin is not None and process.stdout is not None
            process.stdout.readline()
            self.checkout.write("second")
            self.checkout.build()
            version, _ = process.communicate("\n")
        self.assertEqual(version.strip(), "first")
        self.assertIn("second", self.checkout.read())

    def test_builds_at_the_same_time_leave_one_whole_version(self) -> None:
        builds = [threading.Thread(target=self.checkout.build) for _ in range(4)]
        for build in builds:
            build.start()
        for build in builds:
            build.join()
        self.assertIn("first", self.checkout.read())


if __name__ == "__main__":
    unittest.main()
