"""Errors that know how to show themselves to a person.

Outcomes that a caller is expected to handle are values
(:class:`returns.result.Result`) and carry one of the typed failures of the
module that returns them. The exceptions here are for the edges: wrong usage
of the program, and invariants found broken.
"""

from __future__ import annotations

from typing import NoReturn

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_BROKEN_INVARIANT = 70


class RhubarbfieldError(Exception):
    """Base of all errors raised on purpose.

    Parameters
    ----------
    message
        One sentence for a person, without a trailing stop.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show to a person."""
        return self.message


class UsageError(RhubarbfieldError):
    """The program was called in a way it does not accept.

    Parameters
    ----------
    message
        What was wrong.
    hint
        What to type instead, if there is something to suggest.
    """

    exit_code = EXIT_USAGE

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.hint = hint

    def format_message(self) -> str:
        """Return the message with its hint on a line of its own."""
        return f"{self.message}\n{self.hint}" if self.hint else self.message


class BrokenInvariantError(RhubarbfieldError):
    """Something that must always hold does not; the process has to stop.

    Parameters
    ----------
    invariant
        The short name of what must hold.
    seen
        What was found instead.
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
        Whether the invariant was found to hold.
    invariant
        Its short name.
    seen
        What was found; formatted only when the invariant is broken.
    """
    if not holds:
        _raise_broken(invariant, observed)


def _raise_broken(invariant: str, observed: object) -> NoReturn:
    raise BrokenInvariantError(invariant, str(observed))
