"""Tests that the operations page lists every metric."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCES = (
    "loopmonitor.py",
    "containment.py",
    "scheduling/metrics.py",
    "replication/metrics.py",
    "groups/replicated.py",
    "intake.py",
)
METRIC = re.compile(r"(?:Counter|Gauge|Histogram)\(\s*f?\"([\w{}]+)\"")
PREFIX = "rhubarbfield_scheduling"


class MetricsTest(unittest.TestCase):
    def test_every_metric_is_listed(self) -> None:
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        listed = set(re.findall(r"`(rhubarbfield_\w+)`", page))
        counted = set()
        for source in SOURCES:
            path = ROOT / "src" / "rhubarbfield" / source
            found = METRIC.findall(path.read_text(encoding="utf-8"))
            counted.update(name.replace("{_PREFIX}", PREFIX) for name in found)
        self.assertGreater(len(counted), 15)
        self.assertEqual(counted - listed, set())
        self.assertEqual(listed - counted, set())


if __name__ == "__main__":
    unittest.main()
