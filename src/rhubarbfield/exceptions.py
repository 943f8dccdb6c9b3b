"""Exceptions with a message for the command line.

Failures that the calling code is expected to handle are returned as
:class:`returns.result.Result` with a typed failure. The exceptions here are
for wrong usage of the program and for broken invariants.
"""

from __future__ import annotations

from typing import NoReturn

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_BROKEN_INVARIANT = 70


class RhubarbfieldError(Exception):
    """Base of the exceptions of this package.

    Parameters
    ----------
    message
        One sentence for the user, without a full stop.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show to the user."""
        return self.message


class UsageError(RhubarbfieldError):
    """The program was called with invalid arguments, flags or files.

    Parameters
    ----------
    message
        What is wrong.
    hint
        How to correct it; empty for no hint.
    """

    exit_code = EXIT_USAGE

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.hint = hint

    def format_message(self) -> str:
        """Return the message, with the hint on a separate line."""
        return f"{self.message}\n{self.hint}" if self.hint else self.message


class BrokenInvariantError(RhubarbfieldError):
    """An invariant does not hold; the process has to stop.

    Parameters
    ----------
    invariant
        Short name of the invariant.
    observed
        Description of the state that breaks it.
    """

    exit_code = EXIT_BROKEN_INVARIANT

    def __init__(self, invariant: str, observed: str) -> None:
        super().__init__(f"invariant {invariant!r} is broken: {observed}")
        self.invariant = invariant
        self.observed = observed


def check_invariant(holds: bool, invariant: str, observed: object) -> None:
    """Raise :class:`BrokenInvariantError` unless ``holds``.

    Parameters
    ----------
    holds
        Whether the invariant holds.
    invariant
        Short name of the invariant.
    observed
        The observed state; converted to text only if the invariant is broken.
    """
    if not holds:
        _raise_broken(invariant, observed)


def _raise_broken(invariant: str, observed: object) -> NoReturn:
    raise BrokenInvariantError(invariant, str(observed))
