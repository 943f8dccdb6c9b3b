"""Kinds of fields that the settings are made of."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

LARGEST_PORT = 65_535
NAME_PATTERN = r"^[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?$"
HOST_PATTERN = r"^[0-9A-Fa-f:.]{2,45}$"


class Section(BaseModel):
    """Base of all sections: closed to unknown keys and immutable."""

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
Port = Annotated[int, Field(ge=1, le=LARGEST_PORT)]
FilePath = Annotated[str, Field(min_length=1, max_length=4096)]
Duration = Annotated[timedelta, BeforeValidator(_convert_seconds)]


def seconds(key: str, default: float, *, least: float, most: float, about: str) -> Any:
    """Describe a duration that the file gives in seconds.

    Parameters
    ----------
    key
        The name in the file, which ends in ``_seconds``.
    default, least, most
        In seconds.
    about
        One line for the page of settings.
    """
    return Field(
        default=timedelta(seconds=default),
        alias=key,
        ge=timedelta(seconds=least),
        le=timedelta(seconds=most),
        description=about,
    )


def amount(default: float, *, least: float, most: float, about: str) -> Any:
    """Describe a bounded number; its unit, if any, ends its name."""
    return Field(default=default, ge=least, le=most, description=about)


def required(about: str) -> Any:
    """Describe a field that the file has to give."""
    return Field(description=about)


def optional(about: str) -> Any:
    """Describe a field that may be absent."""
    return Field(default=None, description=about)
