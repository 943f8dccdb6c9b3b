"""Tests that the shipped traces have their expected outcomes."""

from __future__ import annotations

import logging
import unittest
from collections.abc import Callable
from io import StringIO
from pathlib import Path

from rhubarbfield.replay import replay_traces

TRACES = Path(__file__).resolve().parents[2] / "examples" / "traces"
FILES = sorted(TRACES.glob("*.jsonl"))


class ShippedTracesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_there_is_one_for_each_kind_of_failure(self) -> None:
        self.assertGreaterEqual(len(FILES), 12)

    def test_the_guide_shows_the_first_trace(self) -> None:
        guide = (TRACES.parents[1] / "docs" / "traces.md").read_text("utf-8")
        shipped = (TRACES / "a-first-trace.jsonl").read_text("utf-8")
        self.assertEqual(guide.split("```")[1].lstrip(), shipped)


def make_test(file: Path) -> Callable[[ShippedTracesTest], None]:
    def test(self: ShippedTracesTest) -> None:
        output = StringIO()
        code = replay_traces([str(file)], output)
        self.assertEqual(code, 0, output.getvalue())

    return test


for found in FILES:
    name = "test_" + found.stem.replace("-", "_")
    setattr(ShippedTracesTest, name, make_test(found))
