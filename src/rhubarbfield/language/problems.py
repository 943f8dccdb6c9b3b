"""Syntax problems and suggestions for misspelled words."""

from __future__ import annotations

import difflib

import msgspec

MAX_SHOWN_CHARACTERS = 160


class SyntaxProblem(msgspec.Struct, frozen=True):
    """Why a text can't be parsed as a statement.

    Attributes
    ----------
    message
        What is wrong, as a sentence without a full stop.
    text
        The whole text.
    position
        Index of the character where the problem is, from 0.
    expected
        What is allowed at this position, in words for the user.
    nearest
        Most similar keyword; empty if none is similar enough.
    """

    message: str
    text: str
    position: int
    expected: tuple[str, ...] = ()
    nearest: str = ""

    def format(self) -> str:
        """Return the problem as text, with a caret below its position."""
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
    """Return the most similar of ``words``, or an empty string."""
    close = difflib.get_close_matches(word.lower(), words, n=1, cutoff=0.6)
    return close[0] if close else ""
