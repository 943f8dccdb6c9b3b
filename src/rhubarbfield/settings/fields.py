"""Field types of the settings."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from rhubarbfield.types import MAX_PORT

NAME_PATTERN = r"^[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?$"
HOST_PATTERN = r"^[0-9A-Fa-f:.]{2,45}$"


class Section(BaseModel):
    """Base of all sections; rejects unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def _convert_seconds(value: object) -> object:
    if isinstance(value, timedelta):
        return value
    try:
        return timedelta(seconds=float(str(value)))
    except (ValueError, OverflowError):
        return value


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Host = Annotated[str, Field(pattern=HOST_PATTERN)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
FilePath = Annotated[str, Field(min_length=1, max_length=4096)]
Duration = Annotated[timedelta, BeforeValidator(_convert_seconds)]


def duration_field(
    key: str, default: float, *, minimum: float, maximum: float, description: str
) -> Any:
    """Return a duration field whose value in the file is in seconds.

    Parameters
    ----------
    key
        Name in the file, which ends in ``_seconds``.
    default, minimum, maximum
        Default and inclusive bounds, in seconds.
    description
        One line for the settings reference.
    """
    return Field(
        default=timedelta(seconds=default),
        alias=key,
        ge=timedelta(seconds=minimum),
        le=timedelta(seconds=maximum),
        description=description,
    )


def number_field(
    default: float, *, minimum: float, maximum: float, description: str
) -> Any:
    """Return a bounded number field; the field's name ends in its unit, if any."""
    return Field(default=default, ge=minimum, le=maximum, description=description)


def required_field(description: str) -> Any:
    """Return a field without a default."""
    return Field(description=description)


def optional_field(description: str) -> Any:
    """Return a field that is None when absent."""
    return Field(default=None, description=description)
