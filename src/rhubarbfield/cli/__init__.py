"""The command line: one program with subcommands."""

from rhubarbfield.cli.program import main, run
from rhubarbfield.cli.registry import Call, Subcommand, list_subcommands, subcommand

__all__ = ["main", "run", "subcommand", "Subcommand", "Call", "list_subcommands"]
