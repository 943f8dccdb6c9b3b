"""Parse YAML into plain values and record the line of every key."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import yaml
from returns.result import Failure, Result, Success

from rhubarbfield.settings.problems import SettingsProblem

MAX_TEXT_CHARACTERS = 1_000_000
MAX_NESTING_DEPTH = 16
MAX_SHOWN_CHARACTERS = 60
_NULLS = frozenset({"", "~", "null"})

Path = tuple[str | int, ...]


class Document(msgspec.Struct, frozen=True):
    """A parsed YAML document.

    Attributes
    ----------
    value
        Mappings, lists, strings and None; numbers stay strings.
    lines
        Line of each key and list item, counted from 1, by path.
    texts
        Source text of each scalar, by path.
    """

    value: object
    lines: dict[Path, int]
    texts: dict[Path, str]

    def find_line(self, path: Path) -> int:
        """Return the line of ``path`` or of its nearest parent; 0 if there is none."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 0)


def shorten(value: object) -> str:
    """Return ``value`` on one line of at most ``MAX_SHOWN_CHARACTERS``."""
    text = " ".join(str(value).split())
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 1] + "…"


def format_path(path: Path) -> str:
    """Return a path in dotted form, such as ``fleet.instances[2].host``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".")


def read_document(text: str) -> Result[Document, tuple[SettingsProblem, ...]]:
    """Read one YAML document.

    Anchors, aliases, tags, duplicate keys and deep nesting are rejected: settings
    need none of them, and each can obscure which value is in force.

    Parameters
    ----------
    text
        The YAML source.

    Returns
    -------
    Result
        The document, or the problems found.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        allowed = f"the file may have at most {MAX_TEXT_CHARACTERS} characters"
        return Failure((SettingsProblem("", 0, str(len(text)), allowed),))
    try:
        problems = tuple(_check_events(text))
        node = None if problems else yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        return Failure((_describe_yaml_error(error),))
    if problems:
        return Failure(problems)
    reader = _NodeReader()
    value = reader.build(node, ()) if node is not None else None
    if reader.problems:
        return Failure(tuple(reader.problems))
    return Success(Document(value, reader.lines, reader.texts))


def _check_events(text: str) -> Iterator[SettingsProblem]:
    depth = 0
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        line = event.start_mark.line + 1 if event.start_mark else 0
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            yield SettingsProblem("", line, "", "anchors and aliases are not allowed")
        tag = getattr(event, "tag", None)
        if tag:
            yield SettingsProblem("", line, shorten(tag), "tags are not allowed")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_NESTING_DEPTH:
            allowed = f"at most {MAX_NESTING_DEPTH} levels of nesting are allowed"
            yield SettingsProblem("", line, "", allowed)
            return


def _describe_yaml_error(error: yaml.YAMLError) -> SettingsProblem:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 0
    what = getattr(error, "problem", None) or getattr(error, "reason", None)
    return SettingsProblem("", line, "", f"this is not YAML: {what or error}")


class _NodeReader:
    def __init__(self) -> None:
        self.lines: dict[Path, int] = {}
        self.texts: dict[Path, str] = {}
        self.problems: list[SettingsProblem] = []

    def build(self, node: yaml.Node, path: Path) -> object:
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.build(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        return self._build_scalar(node, path)

    def _build_scalar(self, node: yaml.Node, path: Path) -> str | None:
        plain = getattr(node, "style", None) is None
        if plain and node.value.lower() in _NULLS:
            return None
        self.texts[path] = str(node.value)
        return self.texts[path]

    def _build_mapping(self, node: yaml.MappingNode, path: Path) -> dict[str, object]:
        mapping: dict[str, object] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_problem(path, line, "", "a key has to be a plain word")
                continue
            key = str(key_node.value)
            if key in mapping:
                first = self.lines[(*path, key)]
                allowed = f"this key is already defined in line {first}"
                self._add_problem((*path, key), line, key, allowed)
                continue
            self.lines[(*path, key)] = line
            mapping[key] = self.build(value_node, (*path, key))
        return mapping

    def _add_problem(self, path: Path, line: int, seen: str, allowed: str) -> None:
        problem = SettingsProblem(format_path(path), line, shorten(seen), allowed)
        self.problems.append(problem)
