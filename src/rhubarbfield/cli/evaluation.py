"""Subcommands that replay traces and run measurements."""

from __future__ import annotations

import importlib.util
import pkgutil
import runpy
import sys
from collections.abc import Sequence
from importlib.abc import InspectLoader

from absl import flags

from rhubarbfield.cli.options import load_function
from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import EXIT_FAILURE, UsageError

_PACKAGE = "rhubarbfield.measurement"
_MAIN_GUARD = '__name__ == "__main__"'


def _define_replay_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "record",
        None,
        "File to which to record the run as a trace.",
        flag_values=values,
    )


@subcommand(
    "replay",
    help="Replay a trace and print what differs from its stated outcomes.",
    usage="TRACE…",
    flags=_define_replay_flags,
)
def run_replay(invocation: Invocation) -> int:
    """Replay each trace; return 1 if any outcome differs."""
    if not invocation.arguments:
        raise UsageError("a trace is missing", "name the files to replay")
    replay_traces = load_function("replay", "replay_traces")
    return int(
        replay_traces(
            invocation.arguments, invocation.stdout, record=invocation.flags.record
        )
    )


@subcommand(
    "measure",
    help="Run a measurement and print its table; without a name, list them.",
    usage="[NAME [flags of the measurement]]",
    passes_flags=True,
)
def run_measure(invocation: Invocation) -> int:
    """Run one measurement, or list them all."""
    names = list_measurements()
    if not invocation.arguments:
        invocation.write("\n".join(names))
        return 0
    name, *arguments = invocation.arguments
    if name not in names:
        hint = f"measurements: {', '.join(names)}"
        raise UsageError(f"there is no measurement {name!r}", hint)
    return _run_module(f"{_PACKAGE}.{name}", arguments)


def list_measurements() -> tuple[str, ...]:
    """Return the names of all measurements in this build."""
    package = importlib.import_module(_PACKAGE)
    names = sorted(one.name for one in pkgutil.iter_modules(package.__path__))
    return tuple(name for name in names if _has_main_guard(f"{_PACKAGE}.{name}"))


def _has_main_guard(module: str) -> bool:
    spec = importlib.util.find_spec(module)
    if spec is None or not isinstance(spec.loader, InspectLoader):
        return False
    return _MAIN_GUARD in (spec.loader.get_source(module) or "")


def _run_module(module: str, arguments: Sequence[str]) -> int:
    before = sys.argv
    sys.argv = [module, *arguments]
    try:
        runpy.run_module(module, run_name="__main__")
    except SystemExit as done:
        return done.code if isinstance(done.code, int) else EXIT_FAILURE
    finally:
        sys.argv = before
    return 0
