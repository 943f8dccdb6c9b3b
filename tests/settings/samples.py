"""Shipped example settings, and helpers that modify them."""

from __future__ import annotations

from pathlib import Path

from rhubarbfield.settings import Settings, SettingsProblem, parse_settings

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
LENDING = EXAMPLES / "lending-a1.yaml"
CONSORTIUM = EXAMPLES / "consortium-a1.yaml"


def read_changed(*changes: tuple[str, str]) -> str:
    """Return the text of the lending example with parts replaced."""
    text = LENDING.read_text(encoding="utf-8")
    for old, new in changes:
        if old not in text:
            raise AssertionError(f"{old!r} is not in the example")
        text = text.replace(old, new)
    return text


def make_settings(*changes: tuple[str, str]) -> Settings:
    """Return the settings of the changed example."""
    return parse_settings(read_changed(*changes), "changed").unwrap()


def find_problems(*changes: tuple[str, str]) -> dict[str, SettingsProblem]:
    """Return the problems of the changed example, by path."""
    errors = parse_settings(read_changed(*changes), "changed").failure()
    return {problem.path: problem for problem in errors.problems}
