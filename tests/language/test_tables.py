"""Tests of selecting rows and formatting tables."""

from __future__ import annotations

import unittest

import msgspec
from returns.result import Failure

from rhubarbfield.language import (
    Show,
    Table,
    TableFormat,
    format_table,
    parse,
    select_rows,
)
from rhubarbfield.types import LogIndex

TABLE = Table(
    columns=("job", "tenant", "tasks", "domain"),
    rows=(
        ("1-a", "iris", 10, None),
        ("2-b", "iris", 9, "leiria"),
        ("3-c", "rosa", 100, "tomar"),
    ),
    position=LogIndex(7),
)


def select(text: str) -> list[object]:
    query = parse(text).unwrap()
    assert isinstance(query, Show)
    return [row[0] for row in select_rows(TABLE, query).unwrap().rows]


class SelectRowsTest(unittest.TestCase):
    def test_rows_are_filtered_by_condition(self) -> None:
        for condition, expected in (
            ("tenant = iris", ["1-a", "2-b"]),
            ("tenant = iris and tasks >= 10", ["1-a"]),
            ("tasks > 50 or job = 2-b", ["2-b", "3-c"]),
            ("not (tenant = iris)", ["3-c"]),
            ("domain = leiria", ["2-b"]),
            ("domain != leiria", ["1-a", "3-c"]),
            ("tenant ~ IR", ["1-a", "2-b"]),
            ("tasks = ten", []),
        ):
            self.assertEqual(select(f"show jobs where {condition}"), expected)

    def test_numbers_are_sorted_as_numbers_and_the_limit_applies_last(self) -> None:
        self.assertEqual(select("show jobs sort by tasks"), ["2-b", "1-a", "3-c"])
        self.assertEqual(
            select("show jobs sort by tenant desc, tasks limit 2"), ["3-c", "2-b"]
        )
        self.assertEqual(select("show jobs sort domain limit 1"), ["1-a"])

    def test_an_unknown_column_gets_a_suggestion(self) -> None:
        query = parse("show jobs where tenat = iris").unwrap()
        assert isinstance(query, Show)
        outcome = select_rows(TABLE, query)
        assert isinstance(outcome, Failure)
        self.assertIn("did you mean tenant?", outcome.failure().format())


class FormatTableTest(unittest.TestCase):
    def test_text_is_aligned_and_names_its_position(self) -> None:
        lines = format_table(TABLE).splitlines()
        self.assertEqual(lines[0], "job  tenant  tasks  domain")
        self.assertEqual(lines[2], "1-a  iris    10     -")
        self.assertEqual(lines[-1], "3 rows, as of position 7 (current)")

    def test_a_stale_table_is_marked(self) -> None:
        stale = msgspec.structs.replace(TABLE, stale=True)
        self.assertIn("STALE", format_table(stale))

    def test_control_characters_are_replaced(self) -> None:
        table = Table(columns=("a",), rows=(("\x1b[31mred\n",),))
        self.assertNotIn("\x1b", format_table(table))

    def test_json_round_trips(self) -> None:
        text = format_table(TABLE, TableFormat.JSON)
        self.assertEqual(msgspec.json.decode(text, type=Table), TABLE)
