"""The secret that peers and operators share."""

from __future__ import annotations

from pathlib import Path
from typing import NewType

from returns.result import Failure, Result, Success

from rhubarbfield.settings.problems import SettingsErrors, SettingsProblem

LEAST_SECRET_BYTES = 32
MOST_SECRET_BYTES = 1_024

Secret = NewType("Secret", bytes)


def load_secret(path: str | Path) -> Result[Secret, SettingsErrors]:
    """Read the shared secret; white space around it does not count.

    Parameters
    ----------
    path
        The file that ``secret_file`` of the settings names.

    Returns
    -------
    Result
        The secret, or why the file can't serve. Its text is never shown.
    """
    try:
        with Path(path).open("rb") as file:
            secret = file.read(MOST_SECRET_BYTES + 1).strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a usable name"
        return _refuse(path, f"cannot be read: {reason}")
    if not LEAST_SECRET_BYTES <= len(secret) <= MOST_SECRET_BYTES:
        return _refuse(
            path,
            f"a secret has {LEAST_SECRET_BYTES} to {MOST_SECRET_BYTES} bytes",
        )
    if not secret.isascii() or not secret.decode().isprintable():
        return _refuse(path, "a secret is one line of printable ASCII characters")
    return Success(Secret(secret))


def _refuse(path: str | Path, allowed: str) -> Result[Secret, SettingsErrors]:
    problem = SettingsProblem("secret_file", 0, "", allowed)
    return Failure(SettingsErrors(str(path), (problem,)))
