"""Registry of the subcommands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TextIO

import msgspec
from absl import flags

FlagDefiner = Callable[[flags.FlagValues], None]


class Invocation(msgspec.Struct, frozen=True, kw_only=True):
    """One invocation of a subcommand.

    Attributes
    ----------
    arguments
        Positional arguments.
    flags
        Values of the subcommand's flags.
    stdout, stderr
        Streams for output and error messages.
    """

    arguments: tuple[str, ...]
    flags: Any
    stdout: TextIO
    stderr: TextIO

    def write(self, text: str) -> None:
        """Write ``text`` and a newline to the output."""
        self.stdout.write(f"{text}\n")

    def write_error(self, text: str) -> None:
        """Write an error message, prefixed with the name of the program."""
        self.stderr.write(f"rhubarbfield: {text}\n")


SubcommandFunction = Callable[[Invocation], int]


class Subcommand(msgspec.Struct, frozen=True, kw_only=True):
    """A registered subcommand.

    Attributes
    ----------
    name
        Name on the command line.
    help
        One sentence for the list of subcommands.
    usage
        Arguments shown after the name in the usage line.
    define_flags
        Defines the flags of the subcommand on a set of flags.
    run
        Runs the subcommand and returns the exit code.
    passes_flags
        Whether flags are passed on as arguments instead of being parsed.
    """

    name: str
    help: str
    usage: str
    define_flags: FlagDefiner
    run: SubcommandFunction
    passes_flags: bool = False


_subcommands: dict[str, Subcommand] = {}


def _define_no_flags(_values: flags.FlagValues) -> None:
    pass


def subcommand(
    name: str,
    *,
    help: str,
    usage: str = "",
    flags: FlagDefiner = _define_no_flags,
    passes_flags: bool = False,
) -> Callable[[SubcommandFunction], SubcommandFunction]:
    """Register the decorated function as a subcommand.

    Parameters
    ----------
    name
        Name on the command line.
    help
        One sentence for the list of subcommands.
    usage
        Arguments shown after the name in the usage line.
    flags
        Defines the flags of the subcommand on a set of flags.
    passes_flags
        Whether flags are passed on as arguments instead of being parsed.
    """

    def register(run: SubcommandFunction) -> SubcommandFunction:
        _subcommands[name] = Subcommand(
            name=name,
            help=help,
            usage=usage,
            define_flags=flags,
            run=run,
            passes_flags=passes_flags,
        )
        return run

    return register


def list_subcommands() -> tuple[Subcommand, ...]:
    """Return all subcommands, in order of registration."""
    return tuple(_subcommands.values())


def find_subcommand(name: str) -> Subcommand | None:
    """Return the subcommand called ``name``, or None."""
    return _subcommands.get(name)
