"""Which settings may change while a daemon runs."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from pydantic import BaseModel
from returns.result import Failure, Result, Success

from rhubarbfield.settings.document import shorten
from rhubarbfield.settings.loading import load_settings
from rhubarbfield.settings.model import Settings
from rhubarbfield.settings.problems import SettingsErrors, SettingsProblem

RELOADABLE_PATHS = (
    "routing",
    "placement",
    "logging",
    "timing.readiness_off_seconds",
    "timing.longest_stop_seconds",
)


class SettingChange(msgspec.Struct, frozen=True):
    """A key whose value differs.

    Attributes
    ----------
    path
        The key, joined by dots.
    before, after
        The values, as text.
    """

    path: str
    before: str
    after: str


def diff_reloadable(
    old: Settings, new: Settings, source: str = "settings"
) -> Result[tuple[SettingChange, ...], SettingsErrors]:
    """Compare the settings in force with others to be taken over.

    Parameters
    ----------
    old
        What is in force.
    new
        What was read.
    source
        What to call the new settings in errors.

    Returns
    -------
    Result
        What changes; or, if any change needs a restart, every such change.
        In that case nothing may be taken over.
    """
    changes = tuple(_compare(old, new, ""))
    refused = tuple(change for change in changes if not _is_reloadable(change.path))
    if not refused:
        return Success(changes)
    problems = tuple(
        SettingsProblem(
            change.path,
            0,
            shorten(change.after),
            f"only a restart can change this from {shorten(change.before)}",
        )
        for change in refused
    )
    return Failure(SettingsErrors(source, problems))


def reload_settings(current: Settings) -> Result[Settings, SettingsErrors]:
    """Read the file of ``current`` again, to take over what may change.

    Parameters
    ----------
    current
        The settings in force, as read from their file.

    Returns
    -------
    Result
        The new settings; or everything that is wrong with the file or needs
        a restart, and then nothing may be taken over.
    """
    source = current.source
    return load_settings(source).bind(
        lambda new: diff_reloadable(current, new, source).map(lambda _: new)
    )


def _is_reloadable(path: str) -> bool:
    return any(
        path == allowed or path.startswith(f"{allowed}.")
        for allowed in RELOADABLE_PATHS
    )


def _compare(old: BaseModel, new: BaseModel, prefix: str) -> Iterator[SettingChange]:
    for name, field in type(old).model_fields.items():
        path = f"{prefix}{field.alias or name}"
        before, after = getattr(old, name), getattr(new, name)
        if isinstance(before, BaseModel) and isinstance(after, BaseModel):
            yield from _compare(before, after, f"{path}.")
        elif before != after:
            yield SettingChange(path, str(before), str(after))
