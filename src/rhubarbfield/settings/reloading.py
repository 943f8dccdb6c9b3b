"""Reloading of settings while a daemon runs."""

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
    """A key whose value differs between two versions of the settings.

    Attributes
    ----------
    path
        Dotted path of the key.
    before, after
        Old and new value, as text.
    """

    path: str
    before: str
    after: str


def diff_reloadable(
    old: Settings, new: Settings, source: str = "settings"
) -> Result[tuple[SettingChange, ...], SettingsErrors]:
    """Compare the settings in force with new ones.

    Parameters
    ----------
    old
        Settings in force.
    new
        Settings read from the file.
    source
        Name of the new settings in error messages.

    Returns
    -------
    Result
        The changes; or, if any of them needs a restart, an error for each
        such change. None of the new settings may be applied then.
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
    """Read the file of ``current`` again.

    Parameters
    ----------
    current
        The settings last read from the file.

    Returns
    -------
    Result
        The new settings; or every error in the file and every change that
        needs a restart. None of the new settings may be applied then.
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
