"""Put each listed fault into a copy of the code and run the check meant for it.

``python -m tests.faults`` tries all; ``python -m tests.faults WORD`` those
whose file of faults or name contains WORD. Prints ``caught`` or ``missed``
for each; the exit code is 1 if any was missed.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import yaml

ROOT = Path(__file__).resolve().parent.parent.parent
LISTS = Path(__file__).resolve().parent
AT_ONCE = 3
LIMIT_SECONDS = 300


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault.

    Attributes
    ----------
    file, find, replace
        Where, which text, which stands there exactly once, and what instead.
    test
        Pattern of the tests that must then fail.
    """

    name: str
    file: str
    find: str
    replace: str
    test: str


def list_faults(word: str) -> list[Fault]:
    """Return the faults whose list or name contains ``word``."""
    faults: list[Fault] = []
    for path in sorted(LISTS.glob("*.yaml")):
        listed = yaml.safe_load(path.read_text(encoding="utf-8"))
        for fault in msgspec.convert(listed, list[Fault]):
            if word in path.stem or word in fault.name:
                faults.append(fault)
    return faults


def try_fault(fault: Fault) -> str:
    """Return ``caught``, ``missed`` or why the fault can't be tried."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("src", "tests", "examples", "docs"):
            shutil.copytree(ROOT / part, copy / part)
        target = copy / fault.file
        text = target.read_text(encoding="utf-8")
        if text.count(fault.find) != 1:
            return f"stale: the text stands {text.count(fault.find)} times"
        target.write_text(text.replace(fault.find, fault.replace), encoding="utf-8")
        return run_test(copy, fault.test)


def run_test(copy: Path, pattern: str) -> str:
    """Run the tests of a copy; a fault that hangs them is caught, too."""
    environment = dict(os.environ, PYTHONPATH=str(copy / "src"))
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests", pattern],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=LIMIT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "caught (the test hung)"
    last = done.stdout.strip().splitlines()[-1:] or ["nothing ran"]
    if last[0].startswith("0 passed, 0 failed"):
        return "stale: the pattern matches no test"
    return "caught" if done.returncode else "missed"


def main() -> int:
    """Try the faults that the command line names."""
    faults = list_faults(sys.argv[1] if len(sys.argv) > 1 else "")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        results = list(pool.map(try_fault, faults))
    for fault, result in zip(faults, results, strict=True):
        print(f"{result:<8} {fault.name}")
    caught = sum(result.startswith("caught") for result in results)
    print(f"{caught} caught, {len(results) - caught} not")
    return 0 if caught == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
