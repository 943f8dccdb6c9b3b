"""Look for listed faults by random runs, in place of their directed tests.

``python -m tests.faults.random_runs --seeds 20 WORD`` injects each fault whose list or
name contains WORD and which names random runs, plays their seeds until one fails, and
prints which, or that the fault was missed.
"""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from absl import app, flags

from tests.faults.__main__ import Fault, StaleFaultError, inject_fault, list_faults

FAILED_SEED = re.compile(r"seed (\d+): (?!.*passed)")
COUNTED_BY_HOURS = "tests.replication.longrun"


def make_command(run: str, first: int, seeds: int) -> list[str]:
    """Return the command that plays seeds of a random run, given with its flags."""
    module, *options = run.split()
    name = "--seed" if module == COUNTED_BY_HOURS else "--first"
    seeding = [f"{name}={first}", f"--seeds={seeds}"]
    return [sys.executable, "-u", "-m", module, *seeding, *options]


def find_failed_seed(copy: Path, run: str, first: int, seeds: int) -> str:
    """Return the first seed of a random run that fails, or why there is none."""
    with subprocess.Popen(
        make_command(run, first, seeds),
        cwd=copy,
        env=dict(os.environ, PYTHONPATH=str(copy / "src")),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        assert process.stdout is not None
        passed = 0
        for line in process.stdout:
            if failed := FAILED_SEED.match(line):
                process.send_signal(signal.SIGTERM)
                return f"seed {failed[1]}: {line.partition(': ')[2].strip()[:100]}"
            passed += line.startswith("seed ")
    if process.returncode:
        return f"seed {first + passed} or later: ended with {process.returncode}"
    return f"missed in {seeds} seeds"


def search(fault: Fault, first: int, seeds: int) -> list[str]:
    """Return what each random run that a fault names found of it."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            inject_fault(fault, Path(folder))
        except StaleFaultError as error:
            return [str(error)]
        return [
            f"{run}: {find_failed_seed(Path(folder), run, first, seeds)}"
            for run in fault.random_runs
        ]


def main(arguments: Sequence[str]) -> None:
    """Search for the faults that match the first argument and print the results."""
    options = flags.FLAGS
    word = arguments[1] if len(arguments) > 1 else ""
    faults = [each for each in list_faults(word) if each.random_runs]

    def report(fault: Fault) -> None:
        found = search(fault, options.first, options.seeds)
        print("\n  ".join([fault.name, *found]), flush=True)

    with ThreadPoolExecutor(options.concurrent) as pool:
        list(pool.map(report, faults))


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 20, "Number of seeds of each run.")
    flags.DEFINE_integer("first", 1, "First seed.")
    flags.DEFINE_integer("concurrent", 2, "Faults that are tried at a time.")
    app.run(main)
