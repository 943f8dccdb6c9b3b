"""Run the program as ``python -m rhubarbfield``, or as an installed command."""

from __future__ import annotations

import sys

from rhubarbfield.earlysignals import ignore_signals, record_signals

TYPE_CHECKING = False  # true for type checkers; typing takes long to import
if TYPE_CHECKING:
    from typing import NoReturn


def main() -> NoReturn:
    """Run the program with the arguments of the process."""
    record_signals(sys.argv[1:])
    try:
        from rhubarbfield.standardstreams import open_missing_streams

        open_missing_streams()
        from rhubarbfield.cli import main as run_command_line

        run_command_line()
    finally:
        ignore_signals()


if __name__ == "__main__":
    main()
