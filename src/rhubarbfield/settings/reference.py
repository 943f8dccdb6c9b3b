"""Reference table of all settings keys.

``python -m rhubarbfield.settings.reference`` prints it for the settings page.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from rhubarbfield.settings.loading import find_model
from rhubarbfield.settings.model import Settings

_HEADER = "| key | default | bounds | what it is |\n|---|---|---|---|\n"


def format_reference(model: type[BaseModel]) -> str:
    """Return a Markdown table with a row for each key of ``model``.

    Parameters
    ----------
    model
        A section; keys of nested sections are included.
    """
    rows = "".join(f"{row}\n" for row in _iterate_rows(model, ""))
    return f"{_HEADER}{rows}"


def _iterate_rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in model.model_fields.items():
        key = f"{prefix}{field.alias or name}"
        inner = find_model(field.annotation)
        if inner is not None:
            repeated = _describe_repetition(field)
            yield from _iterate_rows(inner, f"{key}{repeated}.")
            continue
        default, bounds = _describe_default(field), _describe_bounds(field)
        yield f"| `{key}` | {default} | {bounds} | {field.description} |"


def _describe_repetition(field: FieldInfo) -> str:
    text = str(field.annotation)
    if text.startswith("tuple"):
        return "[]"
    return ".DOMAIN" if text.startswith("dict") else ""


def _describe_default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    return "absent" if field.default is None else _format(field.default)


def _describe_bounds(field: FieldInfo) -> str:
    minimums = [one.ge for one in field.metadata if hasattr(one, "ge")]
    maximums = [one.le for one in field.metadata if hasattr(one, "le")]
    if minimums and maximums:
        return f"{_format(minimums[0])} to {_format(maximums[0])}"
    members = getattr(field.annotation, "__members__", None)
    if members:
        return ", ".join(str(member.value) for member in members.values())
    return ""


def _format(value: Any) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds():g}"
    return str(getattr(value, "value", value))


if __name__ == "__main__":
    sys.stdout.write(format_reference(Settings))
