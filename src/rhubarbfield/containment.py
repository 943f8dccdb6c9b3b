"""Containment of errors at the unit of work in which they were raised.

Which errors are contained, and which stop the process, is in
``docs/design/platform.md``.
"""

from __future__ import annotations

import logging
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from prometheus_client import Counter

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.logs import LogValue, log_event

logger = logging.getLogger(__name__)

CONTAINED_ERRORS = Counter(
    "rhubarbfield_contained_errors",
    "Errors that cost the unit of work that raised them, and no other.",
    ["unit"],
)
# After these the promises of the process are not certain any more.
FATAL_ERRORS = (BrokenInvariantError, MemoryError)


class Unit(StrEnum):
    """Unit of work, as a label of the metric."""

    REQUEST = "request"
    HEARTBEAT = "heartbeat"
    JOB = "job"
    SESSION = "session"
    ACTIVITY = "activity"
    COMMAND = "command"
    OBSERVER = "observer"
    CONNECTION = "connection"


def is_fatal(error: Exception) -> bool:
    """Return whether an error has to stop the process, or a group holds such a one."""
    return isinstance(error, FATAL_ERRORS) or (
        isinstance(error, ExceptionGroup) and error.subgroup(FATAL_ERRORS) is not None
    )


def contain(unit: Unit, error: Exception, /, **ids: LogValue) -> None:
    """Log and count an error that costs only one unit of work.

    Parameters
    ----------
    unit
        Kind of the unit.
    error
        The error; raised again if it has to stop the process.
    **ids
        Ids of what the unit worked on.
    """
    if is_fatal(error):
        raise error
    CONTAINED_ERRORS.labels(unit.value).inc()
    log_event(
        logger,
        logging.ERROR,
        "work-failed",
        unit=unit.value,
        error=repr(error),
        place=_find_place(error),
        **ids,
    )


@contextmanager
def contained(unit: Unit, /, **ids: LogValue) -> Iterator[None]:
    """Contain an error that the block raises; see :func:`contain`."""
    try:
        yield
    except Exception as error:
        contain(unit, error, **ids)


def _find_place(error: BaseException) -> str:
    """Return module, line and function in which an error was raised."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return (
        f"{frame.filename.rpartition('rhubarbfield/')[2]}:{frame.lineno} {frame.name}"
    )
