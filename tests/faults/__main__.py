"""Inject each listed fault into a copy of the code and run its tests.

``python -m tests.faults`` tries all faults; ``python -m tests.faults WORD``
those whose list or name contains WORD. Prints ``caught`` or ``missed`` for each
fault, or why it couldn't be tried; the exit code is 1 unless all were caught.
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
LISTS_FOLDER = Path(__file__).resolve().parent
CONCURRENT_FAULTS = 3
TEST_TIMEOUT_SECONDS = 300


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault and the tests that must detect it.

    Attributes
    ----------
    name
        What goes wrong with the fault.
    file
        Path of the source file, relative to the root.
    find
        Text to replace; it must occur exactly once in the file.
    replace
        Text to put in its place.
    test
        Pattern of the tests, at least one of which must fail with the fault.
    random_runs
        Random runs, with their flags, whose play reaches the code of the fault.
    """

    name: str
    file: str
    find: str
    replace: str
    test: str
    random_runs: tuple[str, ...] = ()


class StaleFaultError(Exception):
    """The text that a fault replaces doesn't occur once in its file."""


def list_faults(word: str) -> list[Fault]:
    """Return the faults whose list or name contains ``word``."""
    faults: list[Fault] = []
    for path in sorted(LISTS_FOLDER.glob("*.yaml")):
        listed = yaml.safe_load(path.read_text(encoding="utf-8"))
        for fault in msgspec.convert(listed, list[Fault]):
            if word in path.stem or word in fault.name:
                faults.append(fault)
    return faults


def try_fault(fault: Fault) -> str:
    """Return ``caught``, ``missed`` or the reason why the fault couldn't be tried."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            inject_fault(fault, Path(folder))
        except StaleFaultError as error:
            return str(error)
        return run_test(Path(folder), fault.test)


def inject_fault(fault: Fault, copy: Path) -> None:
    """Copy the code to a folder, and put a fault in.

    Raises
    ------
    StaleFaultError
        If the text to replace does not occur exactly once.
    """
    for part in ("src", "tests", "examples", "docs"):
        shutil.copytree(ROOT / part, copy / part)
    target = copy / fault.file
    text = target.read_text(encoding="utf-8")
    if text.count(fault.find) != 1:
        raise StaleFaultError(f"stale: the text occurs {text.count(fault.find)} times")
    target.write_text(text.replace(fault.find, fault.replace), encoding="utf-8")


def run_test(copy: Path, pattern: str) -> str:
    """Run the tests of a copy that match ``pattern``; a timeout counts as caught."""
    environment = dict(os.environ, PYTHONPATH=str(copy / "src"))
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests", pattern],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "caught (the test hung)"
    last = done.stdout.strip().splitlines()[-1:] or ["nothing ran"]
    if last[0].startswith("0 passed, 0 failed"):
        return "stale: the pattern matches no test"
    return "caught" if done.returncode else "missed"


def main() -> int:
    """Try the faults that match the first argument and print the results."""
    faults = list_faults(sys.argv[1] if len(sys.argv) > 1 else "")
    with ThreadPoolExecutor(CONCURRENT_FAULTS) as pool:
        results = list(pool.map(try_fault, faults))
    for fault, result in zip(faults, results, strict=True):
        print(f"{result:<8} {fault.name}")
    caught = sum(result.startswith("caught") for result in results)
    print(f"{caught} caught, {len(results) - caught} not")
    return 0 if caught == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
