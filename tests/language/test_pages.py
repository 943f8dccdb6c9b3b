"""Tests that the examples on the operators' pages can be parsed."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from returns.result import Failure

from rhubarbfield.language import parse

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGES = ("language.md", "operators.md", "settings.md")
FIRST_WORDS = (
    "show|explain|create|cancel|drain|undrain|quarantine|release|set|remove"
    "|configure|declare"
)
EXAMPLE = re.compile(rf"^    ((?:{FIRST_WORDS}) .+)$|`((?:{FIRST_WORDS}) [^`]+)`", re.M)
PLACEHOLDER = re.compile(r"[A-Z]{2,}|…|\||\b[TNR]\b")


def read_examples(page: str) -> list[str]:
    text = (DOCS / page).read_text(encoding="utf-8")
    found = [block or inline for block, inline in EXAMPLE.findall(text)]
    parts = [part for line in found for part in re.split(r" {2,}", line.strip())]
    statement = re.compile(rf"(?:{FIRST_WORDS}) \S+ \S+")
    return [
        part for part in parts if statement.match(part) and not PLACEHOLDER.search(part)
    ]


class PagesTest(unittest.TestCase):
    def test_every_example_can_be_parsed(self) -> None:
        count = 0
        for page in PAGES:
            for example in read_examples(page):
                outcome = parse(example)
                if isinstance(outcome, Failure):
                    self.fail(f"{page}: {outcome.failure().format()}")
                count += 1
        self.assertGreater(count, 30)
