"""Signals that a daemon gets while its event loop does not run.

By default they end the process without a line in its log. This module imports nothing
that takes time, so that they are recorded from the beginning of the program on.
"""

import signal
from collections.abc import Sequence

DAEMONS = frozenset({"entry", "controller", "job-entry", "job-controller", "stand-in"})
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)

_recorded: list[int] = []


def record_signals(arguments: Sequence[str]) -> None:
    """Record signals from now on if the program is a daemon.

    Other programs end by a signal as usual.

    Parameters
    ----------
    arguments
        Arguments after the name of the program; the first is the subcommand.
    """
    if arguments and arguments[0] in DAEMONS:
        for number in HANDLED_SIGNALS:
            signal.signal(number, _record)


def ignore_signals() -> None:
    """Ignore further signals if the program records them.

    Its exit code is certain by now, and the interpreter gives signals with a handler
    their default effect while it ends.
    """
    for number in HANDLED_SIGNALS:
        if signal.getsignal(number) is _record:
            signal.signal(number, signal.SIG_IGN)


def take_signals() -> list[int]:
    """Return the recorded signals, each once, in order; they are handled by then."""
    taken = list(_recorded)
    del _recorded[: len(taken)]
    return taken


def find_stop() -> int | None:
    """Return the recorded signal that requests a stop, or None."""
    return next((number for number in _recorded if number in STOP_SIGNALS), None)


def _record(number: int, _frame: object) -> None:
    if number not in _recorded:
        _recorded.append(number)
