"""Structured logs: one event per line, as JSON.

An event has a stable name, a level and the ids it concerns. Values of fields
that may hold secrets are redacted.
"""

from __future__ import annotations

import logging
import re
import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import TextIO

import msgspec

ROOT_LOGGER = "rhubarbfield"
REDACTED = "[left out]"
MAX_VALUE_CHARACTERS = 2_000
SECRET_FIELDS = frozenset(
    {"authorization", "cookie", "key_file", "password", "secret", "token"}
)
_IDS_ATTRIBUTE = "rhubarbfield_ids"
_FIELD = re.compile(r"(\w+)=%[dsrf]")
_EVENT = re.compile(r"[a-z0-9]+(-[a-z0-9]+)+")
_LEVELS = logging.getLevelNamesMapping()

LogValue = str | int | float | bool | None | timedelta | datetime | Enum


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of ``record``, without a line end."""
        name, ids = _split_event(record)
        area = record.name.removeprefix(f"{ROOT_LOGGER}.")
        event = _make_event(record.created, record.levelname, area, name, ids)
        if record.exc_info and record.exc_info[1] is not None:
            event["error"] = _truncate(repr(record.exc_info[1]))
            event["trace"] = _truncate(self.formatException(record.exc_info))
        return msgspec.json.encode(event).decode()


def format_event(area: str, level: int, event: str, /, **ids: LogValue) -> str:
    """Return the line of an event that is not sent through a logger."""
    name = logging.getLevelName(level)
    return msgspec.json.encode(
        _make_event(time.time(), name, area, event, ids)
    ).decode()


def find_event(record: logging.LogRecord) -> str:
    """Return the event name of ``record``."""
    return _split_event(record)[0]


def configure_logging(
    level: str = "info", stream: TextIO | None = None
) -> logging.Handler:
    """Write all log events of the program to ``stream``.

    Calling it again replaces the previous configuration.

    Parameters
    ----------
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    stream
        Stream to write to; standard error if None.

    Returns
    -------
    logging.Handler
        The handler.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    install_handler(handler, level)
    return handler


def install_handler(handler: logging.Handler, level: str) -> None:
    """Make ``handler`` the only log handler, and set the levels."""
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    set_level(level)


def set_level(level: str) -> None:
    """Set the minimum level of the program's own events; keep the handler."""
    logging.getLogger(ROOT_LOGGER).setLevel(_LEVELS[level.upper()])


def get_logger(area: str) -> logging.Logger:
    """Return the logger for an area of the program, such as ``routing``."""
    return logging.getLogger(f"{ROOT_LOGGER}.{area}")


def log_event(
    logger: logging.Logger, level: int, event: str, /, **ids: LogValue
) -> None:
    """Log one event.

    Parameters
    ----------
    logger
        Logger from :func:`get_logger`.
    level
        Level from :mod:`logging`, such as ``logging.INFO``.
    event
        Stable event name, in lower case with hyphens.
    **ids
        Fields of the event: ids of requests, tasks or leases, and other values.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", event, extra={_IDS_ATTRIBUTE: ids})


def _make_event(
    at: float, level: str, area: str, name: str, ids: Mapping[str, object]
) -> dict[str, object]:
    event: dict[str, object] = {
        "at": _format_time(at),
        "level": level.lower(),
        "area": area,
        "event": name,
    }
    for field, value in ids.items():
        event[field if field not in event else f"{field}_"] = _format_value(
            field, value
        )
    return event


def _split_event(record: logging.LogRecord) -> tuple[str, dict[str, object]]:
    """Return the event name of ``record`` and its ids.

    Besides events of :func:`log_event`, messages are parsed that consist of a
    name and ``id=%s`` fields only, as in ``"job-delegated job=%s domain=%s"``.
    Any other text after a hyphenated name becomes the field ``detail``.
    """
    ids = getattr(record, _IDS_ATTRIBUTE, None)
    if ids is not None:
        return record.getMessage(), ids
    name, *fields = str(record.msg).split() or [""]
    values = record.args if isinstance(record.args, tuple) else ()
    matches = [_FIELD.fullmatch(field) for field in fields]
    if not fields or len(values) != len(fields) or None in matches:
        event, _, detail = record.getMessage().partition(" ")
        named = _EVENT.fullmatch(event) is not None and detail
        return (event, {"detail": detail}) if named else (record.getMessage(), {})
    names = [match.group(1) for match in matches if match is not None]
    return name, dict(zip(names, values, strict=True))


def _format_value(name: str, value: object) -> object:
    if name.lower() in SECRET_FIELDS:
        return REDACTED
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, Enum):
        return value.name.lower()
    if value is None or isinstance(value, bool | int | float):
        return value
    return _truncate(str(value))


def _truncate(text: str) -> str:
    safe = text.encode(errors="backslashreplace").decode()
    return safe[:MAX_VALUE_CHARACTERS]


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
