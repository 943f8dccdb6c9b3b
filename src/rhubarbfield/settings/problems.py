"""What can be wrong with a file of settings."""

from __future__ import annotations

import msgspec


class SettingsProblem(msgspec.Struct, frozen=True):
    """One thing that is wrong.

    Attributes
    ----------
    path
        The key, joined by dots; empty for the file as a whole.
    line
        Counted from 1; 0 if no line can be named.
    seen
        What stands there, shortened; empty if nothing does.
    allowed
        A sentence part that says what is allowed.
    """

    path: str
    line: int
    seen: str
    allowed: str

    def format(self) -> str:
        """Return one line for a person."""
        place = f"line {self.line}: " if self.line else ""
        key = f"{self.path}: " if self.path else ""
        seen = f" (seen: {self.seen})" if self.seen else ""
        return f"{place}{key}{self.allowed}{seen}"


class SettingsErrors(msgspec.Struct, frozen=True):
    """Everything that is wrong with one file.

    Attributes
    ----------
    source
        The name of the file.
    problems
        In order of their lines; never empty.
    """

    source: str
    problems: tuple[SettingsProblem, ...]

    def format(self) -> str:
        """Return one line for each problem, for a person."""
        return "\n".join(
            f"{self.source}: {problem.format()}" for problem in self.problems
        )
