"""Run the tests and print ``N passed, N failed`` as the last line.

``python -m tests`` runs all tests; ``python -m tests PATTERN`` runs those whose
dotted name contains PATTERN. Tests listed in ``KNOWN-RED.txt`` at the root run
too; their failures are printed but not counted.
"""

from __future__ import annotations

import gc
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def iterate_cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a nested suite, in order."""
    cases: list[unittest.TestCase] = []
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            cases.extend(iterate_cases(part))
        else:
            cases.append(part)
    return cases


def read_known_red() -> set[str]:
    """Return the test ids at the start of the entries of ``KNOWN-RED.txt``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split(",")[0].strip() for line in lines if line.startswith("tests.")}


def get_case_id(case: unittest.TestCase) -> str:
    """Return the id of a case, without the parameters of a subtest."""
    whole: unittest.TestCase = getattr(case, "test_case", case)
    return whole.id()


def load_cases(folder: Path, pattern: str) -> list[unittest.TestCase]:
    """Return the matching tests of a folder, in order.

    The modules are kept from the garbage collector, as those of a daemon are: a
    collection that examines them holds a loop for longer than a test may wait.
    """
    loader = unittest.TestLoader()
    discovered = loader.discover(str(folder), top_level_dir=str(ROOT))
    gc.collect()
    gc.freeze()
    return [case for case in iterate_cases(discovered) if pattern in case.id()]


def run_all(pattern: str) -> int:
    """Run the matching tests and return the exit code."""
    cases = load_cases(ROOT / "tests", pattern)
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(cases))
    bad = {get_case_id(case) for case, _ in [*result.failures, *result.errors]}
    bad |= {get_case_id(case) for case in result.unexpectedSuccesses}
    known = bad & read_known_red()
    for test_id in sorted(known):
        print(f"known red, passed over: {test_id}")
    failed = len(bad - known)
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(run_all(sys.argv[1] if len(sys.argv) > 1 else ""))
