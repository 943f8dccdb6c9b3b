"""Test of the file store in a process that is killed while it writes."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from rhubarbfield.storage import FileStore

ROOT = Path(__file__).resolve().parent.parent.parent


class KilledWriterTest(unittest.TestCase):
    def test_entries_reported_as_durable_survive_a_kill(self) -> None:
        for lines in (1, 75, 210):
            with tempfile.TemporaryDirectory() as folder:
                with subprocess.Popen(
                    [sys.executable, "-m", "tests.storage.writer", folder],
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                    text=True,
                ) as process:
                    assert process.stdout is not None
                    for _ in range(lines):
                        durable = int(process.stdout.readline())
                    process.kill()
                store = FileStore(Path(folder))
                loaded = store.load()
                store.close()
                self.assertIsInstance(loaded, Success)
                stored = loaded.unwrap()
                last = stored.base.index + len(stored.entries)
                self.assertGreaterEqual(last, durable)
