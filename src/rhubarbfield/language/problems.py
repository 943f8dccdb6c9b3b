"""What can be wrong with a typed text."""

from __future__ import annotations

import difflib

import msgspec

MAX_SHOWN_CHARACTERS = 160


class SyntaxProblem(msgspec.Struct, frozen=True):
    """Why a text is no statement.

    Attributes
    ----------
    message
        What is wrong, as a sentence without a stop.
    text
        The whole text.
    position
        Where, counted in characters from 0.
    expected
        What could stand there instead, in the words of a person.
    nearest
        The keyword that was probably meant; empty if none is near.
    """

    message: str
    text: str
    position: int
    expected: tuple[str, ...] = ()
    nearest: str = ""

    def format(self) -> str:
        """Return the problem with a caret below the place, for a person."""
        lines = [self.message, *self._format_excerpt()]
        if self.nearest:
            lines.append(f"did you mean {self.nearest}?")
        if self.expected:
            lines.append(f"expected here: {', '.join(self.expected)}")
        return "\n".join(lines)

    def _format_excerpt(self) -> list[str]:
        line = self.text.replace("\n", " ").replace("\t", " ").replace("\r", " ")
        start = max(0, self.position - MAX_SHOWN_CHARACTERS // 2)
        shown = line[start : start + MAX_SHOWN_CHARACTERS]
        return [f"  {shown}", f"  {' ' * (self.position - start)}^"]


def find_nearest(word: str, words: tuple[str, ...]) -> str:
    """Return the one of ``words`` that ``word`` is probably a slip for."""
    close = difflib.get_close_matches(word.lower(), words, n=1, cutoff=0.6)
    return close[0] if close else ""
