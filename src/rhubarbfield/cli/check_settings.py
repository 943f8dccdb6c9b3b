"""The subcommand that validates settings files."""

from __future__ import annotations

from absl import flags

from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import EXIT_USAGE, UsageError


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean(
        "with_files",
        False,
        "Check also the files that the settings name.",
        flag_values=values,
    )


@subcommand(
    "check-settings",
    help="Check files of settings whole, and print every error.",
    usage="[--with_files] FILE…",
    flags=_define_flags,
)
def check_settings(invocation: Invocation) -> int:
    """Validate each file and print every error."""
    if not invocation.arguments:
        raise UsageError("a file is missing", "name the files to check")
    results = [_check_file(invocation, path) for path in invocation.arguments]
    return 0 if all(results) else EXIT_USAGE


def _check_file(invocation: Invocation, path: str) -> bool:
    from returns.result import Failure

    from rhubarbfield.settings import find_file_problems, load_settings

    outcome = load_settings(path)
    if isinstance(outcome, Failure):
        invocation.write_error(f"{path} is invalid\n{outcome.failure().format()}")
        return False
    problems = (
        find_file_problems(outcome.unwrap()) if invocation.flags.with_files else ()
    )
    for problem in problems:
        invocation.write_error(f"{path}: {problem.format()}")
    if not problems:
        invocation.write(f"{path}: good")
    return not problems
