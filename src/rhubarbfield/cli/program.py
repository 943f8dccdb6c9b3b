"""Main function: parse arguments, run a subcommand, return its exit code."""

from __future__ import annotations

import difflib
import importlib
import sys
import traceback
from collections.abc import Sequence
from typing import NoReturn, TextIO, TypeVar

from absl import flags

from rhubarbfield.cli.help import HELP_FLAG, format_overview, format_subcommand
from rhubarbfield.cli.registry import (
    Invocation,
    Subcommand,
    find_subcommand,
    list_subcommands,
)
from rhubarbfield.exceptions import (
    EXIT_BROKEN_INVARIANT,
    EXIT_FAILURE,
    RhubarbfieldError,
    UsageError,
)

EXIT_INTERRUPTED = 130
ErrorT = TypeVar("ErrorT", bound=BaseException)
_MODULES = (
    "daemons",
    "job_daemons",
    "operators",
    "check_settings",
    "explain_log",
    "evaluation",
    "standins",
)


def main() -> NoReturn:
    """Run the program with the arguments of the process."""
    sys.exit(run(sys.argv[1:], sys.stdout, sys.stderr))


def run(arguments: Sequence[str], stdout: TextIO, stderr: TextIO) -> int:
    """Run one subcommand.

    Errors of usage and internal errors are printed as a message, without a
    traceback.

    Parameters
    ----------
    arguments
        Arguments after the name of the program.
    stdout, stderr
        Streams for output and error messages.

    Returns
    -------
    int
        The exit code: 0 success, 1 refused or failed, 2 wrong usage, 70 broken
        invariant or internal error, 75 temporary failure, 130 interrupted.
    """
    _register_subcommands()
    try:
        code = _dispatch(arguments, stdout, stderr)
        stdout.flush()
    except BrokenPipeError:
        return EXIT_FAILURE
    except (Exception, KeyboardInterrupt, BaseExceptionGroup) as error:
        return _report(error, stderr)
    return code


def find_error(error: BaseException, kind: type[ErrorT]) -> ErrorT | None:
    """Return ``error`` or the first error inside its groups of type ``kind``.

    Parameters
    ----------
    error
        The raised exception; concurrent tasks raise exception groups.
    kind
        Exception type to search for.
    """
    if isinstance(error, kind):
        return error
    if not isinstance(error, BaseExceptionGroup):
        return None
    found = (find_error(part, kind) for part in error.exceptions)
    return next((one for one in found if one is not None), None)


def find_exit_code(error: BaseException) -> int:
    """Return the exit code of a program that ends by ``error``."""
    known = find_error(error, RhubarbfieldError)
    if known is not None:
        return known.exit_code
    if find_error(error, KeyboardInterrupt) is not None:
        return EXIT_INTERRUPTED
    if find_error(error, OSError) is not None:
        return EXIT_FAILURE
    return EXIT_BROKEN_INVARIANT


def _register_subcommands() -> None:
    for name in _MODULES:
        importlib.import_module(f"rhubarbfield.cli.{name}")


def _dispatch(arguments: Sequence[str], stdout: TextIO, stderr: TextIO) -> int:
    if not arguments:
        raise UsageError("a subcommand is missing", format_overview())
    name, *rest = arguments
    if name in ("--help", "-h"):
        name = HELP_FLAG
    found = find_subcommand(name)
    if found is None:
        raise UsageError(f"there is no subcommand {name!r}", _suggest(name))
    values = _parse_flags(found, rest)
    if values[HELP_FLAG].value:
        stdout.write(f"{format_subcommand(found)}\n")
        return 0
    invocation = Invocation(
        arguments=tuple(values.remaining), flags=values, stdout=stdout, stderr=stderr
    )
    return found.run(invocation)


def _suggest(name: str) -> str:
    names = [one.name for one in list_subcommands()]
    nearest = difflib.get_close_matches(name, names, n=1)
    if nearest:
        return f"did you mean {nearest[0]}?"
    return f"subcommands: {', '.join(names)}"


class _SubcommandFlags(flags.FlagValues):
    """Flags of one subcommand and its remaining arguments."""

    remaining: list[str]


def _parse_flags(found: Subcommand, arguments: Sequence[str]) -> _SubcommandFlags:
    values = _SubcommandFlags()
    flags.DEFINE_boolean(HELP_FLAG, False, "Tell about it.", flag_values=values)
    found.define_flags(values)
    if found.passes_flags and HELP_FLAG not in {one.strip("-") for one in arguments}:
        object.__setattr__(values, "remaining", list(arguments))
        values.mark_as_parsed()
        return values
    values.set_gnu_getopt(True)
    try:
        remaining = values([found.name, *arguments])
    except flags.Error as error:
        message = " ".join(str(error).split())
        hint = f"rhubarbfield help {found.name} lists its flags"
        raise UsageError(message, hint) from None
    object.__setattr__(values, "remaining", remaining[1:])
    return values


def _report(error: BaseException, stderr: TextIO) -> int:
    code = find_exit_code(error)
    known = find_error(error, RhubarbfieldError)
    if known is not None:
        stderr.write(f"rhubarbfield: {known.format_message()}\n")
        return code
    if find_error(error, KeyboardInterrupt) is not None:
        return code
    os_error = find_error(error, OSError)
    if os_error is not None:
        stderr.write(f"rhubarbfield: operating system error: {os_error}\n")
        return code
    frame = traceback.extract_tb(error.__traceback__)[-1]
    location = f"{frame.name}, line {frame.lineno}"
    stderr.write(
        f"rhubarbfield: internal error in {location}: {type(error).__name__}: {error}\n"
    )
    return code
