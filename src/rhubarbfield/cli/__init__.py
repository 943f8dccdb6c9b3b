"""Command line program with subcommands."""

from rhubarbfield.cli.program import main, run
from rhubarbfield.cli.registry import (
    Invocation,
    Subcommand,
    list_subcommands,
    subcommand,
)

__all__ = ["main", "run", "subcommand", "Subcommand", "Invocation", "list_subcommands"]
