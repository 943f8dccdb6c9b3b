"""Tables that answer queries: filtering, sorting and formatting."""

from __future__ import annotations

import operator
from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.language.problems import find_nearest
from rhubarbfield.language.statements import (
    AllOf,
    AnyOf,
    Comparator,
    Comparison,
    Condition,
    Negation,
    Show,
    Value,
)
from rhubarbfield.types import LogIndex

Cell = str | int | float | bool | None
Row = tuple[Cell, ...]
Predicate = Callable[[Row], bool]


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a query.

    Attributes
    ----------
    columns
        Names of the columns.
    rows
        Rows with one cell per column.
    position
        Log position that the rows reflect.
    stale
        Whether changes after ``position`` may have been accepted already.
    note
        Additional remark for the operator; empty for none.
    """

    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    position: LogIndex = LogIndex(0)
    stale: bool = False
    note: str = ""


class TableFormat(StrEnum):
    """Output format of a table."""

    TEXT = "text"
    JSON = "json"


class UnknownColumn(msgspec.Struct, frozen=True):
    """A query refers to a column that its subject does not have.

    Attributes
    ----------
    column
        Column named in the query.
    columns
        Existing columns.
    nearest
        Most similar existing column; empty if none is similar enough.
    """

    column: str
    columns: tuple[str, ...]
    nearest: str

    def format(self) -> str:
        """Return the problem as one line of text."""
        hint = f"; did you mean {self.nearest}?" if self.nearest else ""
        known = ", ".join(self.columns)
        return f"there is no column {self.column}{hint} (columns: {known})"


_COMPARISONS: dict[Comparator, Callable[[Value, Value], bool]] = {
    Comparator.EQUAL: operator.eq,
    Comparator.UNEQUAL: operator.ne,
    Comparator.LESS: operator.lt,
    Comparator.AT_MOST: operator.le,
    Comparator.GREATER: operator.gt,
    Comparator.AT_LEAST: operator.ge,
}


def select_rows(table: Table, query: Show) -> Result[Table, UnknownColumn]:
    """Filter, sort and limit the rows of ``table`` as ``query`` states.

    Parameters
    ----------
    table
        All rows of the subject.
    query
        Condition, sort keys and limit.

    Returns
    -------
    Result
        The selected rows, or the column that does not exist.
    """
    for column in _list_columns(query):
        if column not in table.columns:
            nearest = find_nearest(column, table.columns)
            return Failure(UnknownColumn(column, table.columns, nearest))
    rows = list(table.rows)
    if query.where is not None:
        holds = _make_predicate(query.where, table.columns)
        rows = [row for row in rows if holds(row)]
    for key in reversed(query.sort):
        index = table.columns.index(key.column)
        rows.sort(key=lambda row: _make_sort_key(row[index]), reverse=key.descending)
    return Success(msgspec.structs.replace(table, rows=tuple(rows[: query.limit])))


def _list_columns(query: Show) -> list[str]:
    columns = [key.column for key in query.sort]
    pending = [query.where] if query.where is not None else []
    while pending:
        condition = pending.pop()
        match condition:
            case Comparison():
                columns.append(condition.column)
            case AllOf() | AnyOf():
                pending.extend(condition.conditions)
            case Negation():
                pending.append(condition.condition)
    return columns


def _make_predicate(condition: Condition, columns: Sequence[str]) -> Predicate:
    match condition:
        case Comparison():
            return _make_comparison(condition, columns.index(condition.column))
        case AllOf():
            parts = [_make_predicate(part, columns) for part in condition.conditions]
            return lambda row: all(part(row) for part in parts)
        case AnyOf():
            parts = [_make_predicate(part, columns) for part in condition.conditions]
            return lambda row: any(part(row) for part in parts)
        case Negation():
            negated = _make_predicate(condition.condition, columns)
            return lambda row: not negated(row)
    raise AssertionError(condition)


def _make_comparison(comparison: Comparison, index: int) -> Predicate:
    wanted, comparator = comparison.value, comparison.comparator
    if comparator is Comparator.CONTAINS:
        part = str(wanted).lower()
        return lambda row: row[index] is not None and part in str(row[index]).lower()
    compare = _COMPARISONS[comparator]
    is_text, text = isinstance(wanted, str), str(wanted)

    def holds(row: Row) -> bool:
        cell = row[index]
        if cell is None:
            return comparator is Comparator.UNEQUAL
        if isinstance(cell, str) == is_text:
            return compare(cell, wanted)
        return compare(str(cell), text)

    return holds


def _make_sort_key(cell: Cell) -> tuple[int, float, str]:
    if cell is None:
        return (0, 0.0, "")
    if isinstance(cell, str):
        return (2, 0.0, cell)
    return (1, float(cell), "")


def format_table(table: Table, table_format: TableFormat = TableFormat.TEXT) -> str:
    """Return ``table`` as aligned text or as JSON."""
    if table_format is TableFormat.JSON:
        return msgspec.json.format(msgspec.json.encode(table), indent=2).decode()
    return _format_text(table)


def _format_text(table: Table) -> str:
    cells = [[_format_cell(cell) for cell in row] for row in table.rows]
    widths = [
        max(len(column), *(len(row[index]) for row in cells), 0)
        for index, column in enumerate(table.columns)
    ]
    lines = [_format_line(table.columns, widths)]
    lines.append(_format_line(["-" * width for width in widths], widths))
    lines.extend(_format_line(row, widths) for row in cells)
    lines.append(_describe_position(table))
    if table.note:
        lines.append(table.note)
    return "\n".join(lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def _format_cell(cell: Cell) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    return "".join(letter if letter.isprintable() else "?" for letter in str(cell))


def _describe_position(table: Table) -> str:
    count = f"{len(table.rows)} row{'' if len(table.rows) == 1 else 's'}"
    freshness = "STALE: later changes may exist" if table.stale else "current"
    return f"{count}, as of position {table.position} ({freshness})"
