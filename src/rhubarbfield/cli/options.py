"""Flags and helpers shared by several subcommands."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

from absl import flags

from rhubarbfield.cli.registry import Invocation
from rhubarbfield.exceptions import UsageError

if TYPE_CHECKING:
    from rhubarbfield.settings import Settings


def define_settings_flag(values: flags.FlagValues) -> None:
    """Define ``--settings``."""
    flags.DEFINE_string(
        "settings", None, "File with the settings of an instance.", flag_values=values
    )


def read_settings(invocation: Invocation) -> Settings:
    """Load and validate the settings file given by ``--settings``.

    Raises
    ------
    UsageError
        If the flag is missing or the file has errors.
    """
    from returns.result import Failure, Success

    from rhubarbfield.settings import load_settings

    path = invocation.flags.settings
    if not path:
        raise UsageError("--settings is missing", "give the file of an instance")
    match load_settings(path):
        case Success(settings):
            return settings
        case Failure(errors):
            raise UsageError(f"the settings are invalid\n{errors.format()}")
    raise AssertionError


def load_function(module: str, name: str) -> Any:
    """Import a function when a subcommand needs it, to keep startup short.

    Parameters
    ----------
    module
        Dotted name of the module inside the package.
    name
        Name of the function.

    Raises
    ------
    UsageError
        If this build of the program does not include the module.
    """
    full_name = f"rhubarbfield.{module}"
    try:
        return getattr(importlib.import_module(full_name), name)
    except ModuleNotFoundError as error:
        if error.name != full_name:
            raise
        raise UsageError(f"this build of the program has no {module}") from None
