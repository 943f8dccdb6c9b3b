"""Checks of the files and folders that the settings refer to."""

from __future__ import annotations

import os
import stat
from collections.abc import Iterator
from pathlib import Path

from returns.result import Failure

from rhubarbfield.settings.model import Settings
from rhubarbfield.settings.problems import SettingsProblem
from rhubarbfield.settings.secrets import load_secret


def find_file_problems(settings: Settings) -> tuple[SettingsProblem, ...]:
    """Return the problems of the files and folders that ``settings`` refer to.

    Parameters
    ----------
    settings
        Settings that passed validation.
    """
    return tuple(_iterate_problems(settings))


def _iterate_problems(settings: Settings) -> Iterator[SettingsProblem]:
    secret = load_secret(settings.secret_file)
    if isinstance(secret, Failure):
        allowed = secret.failure().problems[0].allowed
        yield SettingsProblem("secret_file", 0, settings.secret_file, allowed)
    elif Path(settings.secret_file).stat().st_mode & stat.S_IROTH:
        allowed = "can be read by every user of the machine; use mode 600"
        yield SettingsProblem("secret_file", 0, settings.secret_file, allowed)
    if settings.tls is not None:
        for key in ("certificate_file", "key_file", "authority_file"):
            path = getattr(settings.tls, key)
            if not os.access(path, os.R_OK):
                yield SettingsProblem(f"tls.{key}", 0, path, "cannot be read")
    folder = settings.data_folder
    if folder is not None and not _is_writable_folder(Path(folder)):
        allowed = "is not a writable folder"
        yield SettingsProblem("data_folder", 0, folder, allowed)


def _is_writable_folder(folder: Path) -> bool:
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    return existing.is_dir() and os.access(existing, os.W_OK)
