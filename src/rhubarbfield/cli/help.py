"""Help texts, and the subcommands ``help`` and ``version``."""

from __future__ import annotations

from absl import flags

from rhubarbfield import __version__
from rhubarbfield.cli.registry import (
    Invocation,
    Subcommand,
    find_subcommand,
    list_subcommands,
    subcommand,
)
from rhubarbfield.exceptions import UsageError

HELP_FLAG = "help"


@subcommand("version", help="Print the version of the program.")
def print_version(invocation: Invocation) -> int:
    """Print the version."""
    invocation.write(f"rhubarbfield {__version__}")
    return 0


@subcommand(HELP_FLAG, help="Tell about a subcommand, or all.", usage="[SUBCOMMAND]")
def print_help(invocation: Invocation) -> int:
    """Print the help of one subcommand, or the list of all."""
    if not invocation.arguments:
        invocation.write(format_overview())
        return 0
    name = invocation.arguments[0]
    found = find_subcommand(name)
    if found is None:
        raise UsageError(
            f"there is no subcommand {name!r}", "rhubarbfield help lists them"
        )
    invocation.write(format_subcommand(found))
    return 0


def format_overview() -> str:
    """Return the usage of the program and the list of subcommands."""
    width = max(len(one.name) for one in list_subcommands())
    lines = [
        "usage: rhubarbfield SUBCOMMAND [flags] [arguments]",
        "",
        "A scheduler for latency-critical services and batch work.",
        "",
    ]
    lines += [f"  {one.name:<{width}}  {one.help}" for one in list_subcommands()]
    lines += ["", "rhubarbfield help SUBCOMMAND tells more."]
    return "\n".join(lines)


def format_subcommand(found: Subcommand) -> str:
    """Return the usage of a subcommand and its flags."""
    values = flags.FlagValues()
    found.define_flags(values)
    usage = f"usage: rhubarbfield {found.name} {found.usage}".rstrip()
    lines = [usage, "", found.help]
    names = sorted(name for name in values if name != HELP_FLAG)
    if names:
        lines.append("")
    lines += [_format_flag(values[name]) for name in names]
    return "\n".join(lines)


def _format_flag(flag: flags.Flag) -> str:
    default = f" (default: {flag.default})" if flag.default not in (None, []) else ""
    text = str(flag.help).split(";\n", maxsplit=1)[0]
    return f"  --{flag.name}  {text}{default}"
