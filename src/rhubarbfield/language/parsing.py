"""Parse the text of an operator into a statement."""

from __future__ import annotations

import re
from functools import lru_cache
from importlib import resources

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from returns.result import Failure, Result

from rhubarbfield.language import commands, queries  # noqa: F401 - fill the registry
from rhubarbfield.language.builder import build_statement
from rhubarbfield.language.problems import SyntaxProblem, find_nearest
from rhubarbfield.language.statements import Statement

MAX_TEXT_CHARACTERS = 8_000
MAX_PARENTHESES = 40
_WORD = re.compile(r"[\w.:-]+")
_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "NUMBER": "a number",
    "QUANTITY": "a number with its unit",
    "TEXT": 'a text in "quotes"',
    "OPERATOR": "=, !=, <, <=, >, >= or ~",
    "SIZE_UNIT": "mb or gb",
    "DURATION_UNIT": "s, min or h",
    "ASCENDING": "asc",
    "DESCENDING": "desc",
    "COMMA": "a comma",
    "LPAR": "(",
    "RPAR": ")",
    "$END": "the end",
}


def parse(text: str) -> Result[Statement, SyntaxProblem]:
    """Parse one query or command.

    Parameters
    ----------
    text
        Text of the statement. Keywords are case-insensitive, names are not.

    Returns
    -------
    Result
        The statement, or the problem and its position.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        message = f"the text is longer than {MAX_TEXT_CHARACTERS} characters"
        return Failure(SyntaxProblem(message, text, MAX_TEXT_CHARACTERS))
    if text.count("(") > MAX_PARENTHESES:
        message = f"there are more than {MAX_PARENTHESES} parentheses"
        return Failure(SyntaxProblem(message, text, text.rindex("(")))
    try:
        tree = _load_parser().parse(text)
    except UnexpectedCharacters as error:
        return Failure(_describe(text, error.pos_in_stream or 0, error.allowed or ()))
    except UnexpectedEOF as error:
        return Failure(_describe(text, len(text.rstrip()), error.expected))
    except UnexpectedToken as error:
        position = _find_position(text, error.token)
        return Failure(_describe(text, position, error.accepts or error.expected))
    return build_statement(tree, text)


@lru_cache(maxsize=1)
def _load_parser() -> Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark")
    return Lark(
        grammar.read_text(encoding="utf-8"),
        parser="lalr",
        lexer="contextual",
        maybe_placeholders=False,
    )


def _find_position(text: str, token: Token) -> int:
    if token.type == "$END" or token.start_pos is None:
        return len(text.rstrip())
    return token.start_pos


def _describe(text: str, position: int, terminals: object) -> SyntaxProblem:
    names = sorted(terminals) if isinstance(terminals, set | frozenset | list) else []
    expected = tuple(_TERMINAL_DESCRIPTIONS.get(name, name.lower()) for name in names)
    match = _WORD.match(text, position)
    if match is None:
        rest = text[position : position + 1].strip()
        message = f"{rest!r} cannot stand here" if rest else "the statement ends early"
        return SyntaxProblem(message, text, position, expected)
    nearest = find_nearest(match.group(), expected)
    message = f"{match.group()[:60]!r} cannot stand here"
    return SyntaxProblem(message, text, position, expected, nearest)
