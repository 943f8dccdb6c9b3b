"""Standard streams of a program that was started without some of them."""

import os
import sys


def open_missing_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    Otherwise the next file or socket that is opened gets its number, and what the
    program writes.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest number that is free
    if sys.stdout is None:
        sys.stdout = os.fdopen(1, "w", closefd=False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(2, "w", closefd=False)
