"""Start of a measurement from the command line."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import NoReturn

from rhubarbfield.exceptions import UsageError


def run_command(main: Callable[[Sequence[str]], int]) -> NoReturn:
    """Call ``main`` with the arguments of the process and exit.

    A usage error is printed to standard error as one message.
    """
    try:
        sys.exit(main(sys.argv[1:]))
    except UsageError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)
