"""Tests that the operations page lists every logged event."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCES = (
    "scheduling/*.py",
    "platform/*.py",
    "replication/*.py",
    "cli/*.py",
    "loopmonitor.py",
    "signals.py",
    "standins.py",
    "containment.py",
    "waits.py",
)
EVENT = re.compile(
    r"(?:log_event\(\s*\w+,\s*[\w.]+,\s*|logger\.\w+\(\s*|_log_failure\(\s*|WaitReport\(\s*\w+,\s*)"
    r"\"([a-z]+(?:-[a-z]+)+)"
)


class EventsTest(unittest.TestCase):
    def test_every_event_is_listed(self) -> None:
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        listed = set(re.findall(r"`([a-z]+(?:-[a-z]+)+)`", page))
        logged = {
            event
            for source in SOURCES
            for path in (ROOT / "src" / "rhubarbfield").glob(source)
            for event in EVENT.findall(path.read_text(encoding="utf-8"))
        }
        self.assertGreater(len(logged), 15)
        self.assertEqual(logged - listed, set())


if __name__ == "__main__":
    unittest.main()
