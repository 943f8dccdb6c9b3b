"""Load a settings file and report all its errors at once."""

from __future__ import annotations

import difflib
from datetime import timedelta
from pathlib import Path as FilesystemPath
from typing import Any, get_args

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from rhubarbfield.settings.consistency import check_consistency
from rhubarbfield.settings.document import (
    Document,
    Path,
    format_path,
    read_document,
    shorten,
)
from rhubarbfield.settings.model import Settings
from rhubarbfield.settings.problems import SettingsErrors, SettingsProblem

_ALLOWED_BY_TYPE = {
    "missing": "is required",
    "int_parsing": "has to be a whole number",
    "int_type": "has to be a whole number",
    "int_from_float": "has to be a whole number",
    "float_parsing": "has to be a number",
    "float_type": "has to be a number",
    "finite_number": "has to be a finite number",
    "time_delta_parsing": "has to be a number of seconds",
    "time_delta_type": "has to be a number of seconds",
    "string_type": "has to be a text",
    "string_too_short": "must not be empty",
    "string_pattern_mismatch": "has to match {pattern}",
    "greater_than_equal": "has to be at least {ge}",
    "less_than_equal": "has to be at most {le}",
    "enum": "has to be one of {expected}",
    "tuple_type": "has to be a list",
    "dict_type": "has to be a section with keys",
    "model_type": "has to be a section with keys",
    "model_attributes_type": "has to be a section with keys",
}


def load_settings(
    path: str | FilesystemPath,
) -> Result[Settings, SettingsErrors]:
    """Load and validate the settings file at ``path``.

    Parameters
    ----------
    path
        Path of the YAML file.

    Returns
    -------
    Result
        The settings, or every error found.
    """
    source = str(path)
    try:
        text = FilesystemPath(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        problem = SettingsProblem("", 0, "", f"cannot be read: {reason}")
        return Failure(SettingsErrors(source, (problem,)))
    return parse_settings(text, source)


def parse_settings(text: str, source: str) -> Result[Settings, SettingsErrors]:
    """Parse and validate the text of a settings file.

    Parameters
    ----------
    text
        YAML source.
    source
        Name of the text in error messages.

    Returns
    -------
    Result
        The settings, or every error found.
    """
    match read_document(text):
        case Success(document):
            problems, settings = _validate(document)
        case Failure(found):
            problems, settings = list(found), None
    if settings is None or problems:
        ordered = sorted(problems, key=lambda problem: problem.line)
        return Failure(SettingsErrors(source, tuple(ordered)))
    return Success(settings.with_source(source))


def _validate(document: Document) -> tuple[list[SettingsProblem], Settings | None]:
    value = document.value if document.value is not None else {}
    try:
        settings = Settings.model_validate(value)
    except ValidationError as error:
        details = error.errors(include_url=False)
        return [_describe(document, detail) for detail in details], None
    problems = [
        SettingsProblem(
            format_path(found.path),
            document.find_line(found.path),
            shorten(found.seen),
            found.allowed,
        )
        for found in check_consistency(settings)
    ]
    return problems, settings


def _describe(document: Document, detail: ErrorDetails) -> SettingsProblem:
    path: Path = tuple(part for part in detail["loc"] if part != "[key]")
    unknown = detail["type"] == "extra_forbidden"
    allowed = _describe_unknown_key(path) if unknown else describe_error(detail)
    seen = (
        ""
        if detail["type"] == "missing"
        else _describe_seen(document, path, detail["input"])
    )
    return SettingsProblem(
        format_path(path), document.find_line(path), shorten(seen), allowed
    )


def _describe_seen(document: Document, path: Path, value: object) -> str:
    value = document.texts.get(path, value)
    if isinstance(value, dict):
        return "a section"
    if isinstance(value, list):
        return "a list"
    return "nothing" if value is None else str(value)


def describe_error(detail: ErrorDetails) -> str:
    """Return which values are allowed where pydantic reported an error.

    Parameters
    ----------
    detail
        One error of pydantic's validation.
    """
    template = _ALLOWED_BY_TYPE.get(detail["type"])
    if template is None:
        return detail["msg"]
    context = {
        name: _format_bound(value) for name, value in detail.get("ctx", {}).items()
    }
    return template.format(**context)


def _format_bound(value: object) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds():g}"
    return str(value)


def _describe_unknown_key(path: Path) -> str:
    known = sorted(_find_keys(Settings, path[:-1]))
    nearest = difflib.get_close_matches(str(path[-1]), known, n=1, cutoff=0.5)
    if nearest:
        return f"is not a known key; did you mean {nearest[0]}?"
    return f"is not a known key; known here: {', '.join(known)}"


def _find_keys(model: type[BaseModel], path: Path) -> list[str]:
    for part in path:
        fields = {field.alias or name: field for name, field in _list_fields(model)}
        if part in fields:
            model = find_model(fields[str(part)].annotation) or model
    return [field.alias or name for name, field in _list_fields(model)]


def _list_fields(model: type[BaseModel]) -> list[tuple[str, Any]]:
    return list(model.model_fields.items())


def find_model(annotation: Any) -> type[BaseModel] | None:
    """Return the section type inside a field's type, or None.

    Parameters
    ----------
    annotation
        Type of the field; containers and unions are searched too.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (find_model(argument) for argument in get_args(annotation))
    return next((model for model in found if model is not None), None)
