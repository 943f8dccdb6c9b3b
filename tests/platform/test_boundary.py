"""Tests that the platform's names are used by the adapter only."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "src" / "rhubarbfield"
MAX_ADAPTER_LINES = 1_200  # it translates only and contains no decisions
PLATFORM_NAMES = re.compile(
    r"AckedUpto|ActiveRuns|EndedRuns|FencingToken|DeadlineMs|HeartbeatUrl|WaitingCount"
    r"|SavesProgress|StartAfter|LongRunning|AllowDuplicates|AntiAffinity|EstimatedMs"
    r"|TargetMs|MayMiss|RemainingMs|PathPrefix|EnforcesCapacity|ContactMs"
)


class BoundaryTest(unittest.TestCase):
    def test_platform_names_appear_only_in_the_adapter(self) -> None:
        adapter = PACKAGE / "platform"
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if adapter not in path.parents
            for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(found, [])

    def test_adapter_stays_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines())
            for path in (PACKAGE / "platform").rglob("*.py")
        )
        print(f"lines in platform/: {lines}")
        self.assertLess(lines, MAX_ADAPTER_LINES)


if __name__ == "__main__":
    unittest.main()
