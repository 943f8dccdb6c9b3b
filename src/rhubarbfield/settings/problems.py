"""Errors found in a settings file."""

from __future__ import annotations

import msgspec


class SettingsProblem(msgspec.Struct, frozen=True):
    """One error in a settings file.

    Attributes
    ----------
    path
        Dotted path of the key; empty for the file as a whole.
    line
        Line number counted from 1; 0 if unknown.
    seen
        The value found, shortened; empty if there is none.
    allowed
        What is allowed, as a sentence part.
    """

    path: str
    line: int
    seen: str
    allowed: str

    def format(self) -> str:
        """Return the problem as one line of text."""
        location = f"line {self.line}: " if self.line else ""
        key = f"{self.path}: " if self.path else ""
        seen = f" (seen: {self.seen})" if self.seen else ""
        return f"{location}{key}{self.allowed}{seen}"


class SettingsErrors(msgspec.Struct, frozen=True):
    """All errors of one settings file.

    Attributes
    ----------
    source
        Name of the file.
    problems
        The errors in order of their lines; never empty.
    """

    source: str
    problems: tuple[SettingsProblem, ...]

    def format(self) -> str:
        """Return one line of text for each problem."""
        return "\n".join(
            f"{self.source}: {problem.format()}" for problem in self.problems
        )
