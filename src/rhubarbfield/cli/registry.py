"""The subcommands of the program, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TextIO

import msgspec
from absl import flags

FlagDefiner = Callable[[flags.FlagValues], None]


class Invocation(msgspec.Struct, frozen=True, kw_only=True):
    """One call of a subcommand.

    Attributes
    ----------
    arguments
        What was given besides flags.
    flags
        The values of the flags that the subcommand defines.
    stdout, stderr
        Where to write answers and complaints.
    """

    arguments: tuple[str, ...]
    flags: Any
    stdout: TextIO
    stderr: TextIO

    def write(self, text: str) -> None:
        """Write an answer, with a line end."""
        self.stdout.write(f"{text}\n")

    def write_error(self, text: str) -> None:
        """Write what went wrong, with a line end."""
        self.stderr.write(f"rhubarbfield: {text}\n")


SubcommandFunction = Callable[[Invocation], int]


class Subcommand(msgspec.Struct, frozen=True, kw_only=True):
    """Something that the program can be told to do.

    Attributes
    ----------
    name
        What is typed.
    help
        One sentence for the list of subcommands.
    usage
        What follows the name.
    define_flags
        Defines its flags on the values it is given.
    run
        Does it, and returns the exit code.
    passes_flags
        Whether all flags are left among the arguments.
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
        What is typed.
    help
        One sentence for the list of subcommands.
    usage
        What follows the name.
    flags
        Defines its flags on the values it is given.
    passes_flags
        Whether all flags are left among the arguments.
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
    """Return the subcommand of that name, if there is one."""
    return _subcommands.get(name)
