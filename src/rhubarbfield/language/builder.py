"""Build typed statements from parse trees and collect the invalid values."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import timedelta

from lark import Token, Tree
from returns.result import Failure, Result, Success

from rhubarbfield.language.problems import SyntaxProblem
from rhubarbfield.language.statements import Statement, Value

MB_PER_GB = 1024
SECONDS_PER_UNIT = {"s": 1, "min": 60, "h": 3600}
_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.:/-]{0,127}")

Node = Tree[Token]


class StatementBuilder:
    """Converts the values of one statement and collects problems.

    Parameters
    ----------
    text
        Source text, quoted in problems.

    Attributes
    ----------
    problems
        Problems found so far.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self.problems: list[SyntaxProblem] = []

    def add_problem(self, token: Token, message: str) -> None:
        """Record that the value of ``token`` is not allowed."""
        position = token.start_pos or 0
        self.problems.append(SyntaxProblem(message, self._text, position))

    def read_name(self, node: Node) -> str:
        """Return a name without quotes."""
        token = get_first_token(node)
        name = token.strip('"')
        if not _NAME.fullmatch(name):
            self.add_problem(token, "a name has 1 to 128 letters, digits or _ . : / -")
        return name

    def read_integer(self, token: Token, maximum: int, minimum: int = 1) -> int:
        """Return an integer from ``minimum`` to ``maximum``."""
        number = float(token)
        if not number.is_integer() or not minimum <= number <= maximum:
            self.add_problem(
                token, f"a whole number from {minimum} to {maximum} is allowed"
            )
            return minimum
        return int(number)

    def read_number(self, token: Token, maximum: float) -> float:
        """Return a number above 0 and up to ``maximum``."""
        number = float(token)
        if not 0 < number <= maximum:
            self.add_problem(token, f"a number above 0 and up to {maximum} is allowed")
        return number

    def read_size(self, node: Node, maximum_mb: int) -> int:
        """Return a size from 1 to ``maximum_mb`` in megabytes."""
        number, unit = get_tokens(node)
        size = float(number) * (MB_PER_GB if unit.lower() == "gb" else 1)
        if not size.is_integer() or not 1 <= size <= maximum_mb:
            self.add_problem(number, f"a size from 1 mb to {maximum_mb} mb is allowed")
            return 1
        return int(size)

    def read_duration(self, node: Node, maximum: timedelta) -> timedelta:
        """Return a duration above zero and up to ``maximum``."""
        number, unit = get_tokens(node)
        seconds = float(number) * SECONDS_PER_UNIT[unit.lower()]
        if not 0 < seconds <= maximum.total_seconds():
            self.add_problem(
                number, f"a duration above 0 and up to {maximum} is allowed"
            )
            return maximum
        return timedelta(seconds=seconds)

    def read_value(self, node: Node) -> Value:
        """Return a number, a boolean or a string."""
        token = get_first_token(node)
        if token.type == "NUMBER":
            return float(token) if "." in token else int(token)
        if token.type in {"TRUE", "FALSE"}:
            return token.type == "TRUE"
        return token.strip('"')


BuildFunction = Callable[[StatementBuilder, Node], Statement]
_builders: dict[str, BuildFunction] = {}


def builds(rule: str) -> Callable[[BuildFunction], BuildFunction]:
    """Register the decorated function to build statements of the grammar's ``rule``."""

    def register(function: BuildFunction) -> BuildFunction:
        _builders[rule] = function
        return function

    return register


def build_statement(tree: Node, text: str) -> Result[Statement, SyntaxProblem]:
    """Build the statement of a parse tree.

    Parameters
    ----------
    tree
        Parse tree of the whole text.
    text
        Source text, quoted in problems.

    Returns
    -------
    Result
        The statement, or the problem that comes first in the text.
    """
    node = get_subtrees(tree)[0]
    builder = StatementBuilder(text)
    statement = _builders[str(node.data)](builder, node)
    if builder.problems:
        return Failure(min(builder.problems, key=lambda found: found.position))
    return Success(statement)


def get_subtrees(node: Node, rule: str = "") -> list[Node]:
    """Return the children that are trees; only those of ``rule`` if given."""
    return [
        child
        for child in node.children
        if isinstance(child, Tree) and rule in ("", child.data)
    ]


def get_tokens(node: Node) -> list[Token]:
    """Return the children that are tokens."""
    return [child for child in node.children if isinstance(child, Token)]


def get_first_token(node: Node) -> Token:
    """Return the first child that is a token."""
    return get_tokens(node)[0]


def has_token(node: Node, kind: str) -> bool:
    """Return whether a token of the terminal ``kind`` is among the children."""
    return any(token.type == kind for token in get_tokens(node))
